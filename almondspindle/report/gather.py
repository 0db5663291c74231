"""Query the telemetry of all listed hosts and build the report."""

import asyncio
from collections.abc import Sequence

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.telemetry_client import GET_TELEMETRY
from almondspindle.adapters.peer.telemetry_messages import GetTelemetry, HostTelemetry
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.adapters.platform.base import Platform
from almondspindle.adapters.platform.stored_config import parse_config
from almondspindle.controllers.configuration.watcher import CONFIG_OBJECT
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Host
from almondspindle.report.merge import build_report
from almondspindle.report.models import BurnReport

MAX_CONCURRENT_REQUESTS = 50  # one per host


async def gather_report(platform: Platform, channels: Channels) -> Result[BurnReport, str]:
    """Return the report over all listed hosts, or an error message."""
    config = await _read_config(platform)
    if config.is_error():
        return Error(config.error)
    roster = await platform.roster()
    if roster.is_error():
        return Error(f"cannot read the host list: {roster.error.message}")
    responses, unresponsive = await _query_hosts(channels, list(roster.ok.hosts.values()))
    return Ok(build_report(config.ok, responses, unresponsive))


async def _read_config(platform: Platform) -> Result[ConfigSet, str]:
    stored = await platform.read(CONFIG_OBJECT)
    if stored.is_error():
        return Error(f"cannot read the configuration: {stored.error.message}")
    return parse_config(stored.ok.value or b"{}", stored.ok.version)


async def _query_hosts(
    channels: Channels, hosts: Sequence[Host]
) -> tuple[list[HostTelemetry], dict[HostName, str]]:
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    results = await asyncio.gather(*(_query_host(channels, host, limit) for host in hosts))
    responses = [result for result in results if isinstance(result, HostTelemetry)]
    unresponsive = {
        host.name: str(result)
        for host, result in zip(hosts, results, strict=True)
        if not isinstance(result, HostTelemetry)
    }
    return responses, unresponsive


async def _query_host(channels: Channels, host: Host, limit: asyncio.Semaphore) -> object:
    """Return the telemetry of `host`, or an error if it does not respond."""
    async with limit:
        response = await call_unary(channels, host.address, GET_TELEMETRY, GetTelemetry())
    return response.ok if response.is_ok() else response.error
