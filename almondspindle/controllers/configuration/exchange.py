"""Tasks that exchange configuration versions with peers."""

import asyncio
from functools import singledispatchmethod
from typing import Protocol

from almondspindle.controllers.configuration.dissemination import (
    DisseminationController,
    PullJob,
    PushJob,
)
from almondspindle.controllers.configuration.messages import (
    ApplyDelta,
    ConfigReceived,
    DeltaOutcome,
    GetConfig,
    PeerVersion,
    PullEnded,
    StartPull,
)
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import (
    ConfigPush,
    ConfigResponse,
    ConfigUpToDate,
    ConfigVersionNotice,
    GetConfigRequest,
)
from almondspindle.core.events import CONFIG_PULL_FAILED, CONFIG_PULLED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError

WORKERS = 4  # concurrent calls to peers


class ConfigExchangeClient(Protocol):
    """Client for the configuration of peers. Calls return None without a response in time."""

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return the update from the requester's version to the peer's version."""
        ...

    async def push_config(self, address: str, push: ConfigPush) -> ConfigVersionNotice | None:
        """Push a version to a peer; return the version that the peer then has in force."""
        ...


class ConfigExchange:
    """Run the calls to peers that the dissemination controller queues, `WORKERS` at a time."""

    def __init__(
        self,
        dissemination: DisseminationController,
        configuration: ConfigurationController,
        client: ConfigExchangeClient,
    ) -> None:
        self._dissemination = dissemination
        self._configuration = configuration
        self._client = client

    async def run(self) -> None:
        """Run queued calls until cancelled."""
        await asyncio.gather(*(self._work() for _ in range(WORKERS)))

    async def run_pulls(self) -> None:
        """Start a pull and wait for the delay that the controller returns, until cancelled."""
        while True:
            delay_s = await self._dissemination.request(StartPull())
            await asyncio.sleep(delay_s)

    async def _work(self) -> None:
        while True:
            await self.run_job(await self._dissemination.jobs.get())

    @singledispatchmethod
    async def run_job(self, job: object) -> None:
        """Run `job` and report its result to the controllers."""
        raise InvariantError(f"unexpected job {type(job).__name__}")

    @run_job.register
    async def _(self, job: PushJob) -> None:
        notice = await self._client.push_config(job.address, job.push)
        if notice is not None and notice.version > job.push.version:
            self._dissemination.send(PeerVersion(notice.host, notice.version))

    @run_job.register
    async def _(self, job: PullJob) -> None:
        response = await self._client.get_config(job.address, job.req)
        if response is None:
            emit(CONFIG_PULL_FAILED, address=job.address)
        else:
            await self.apply_response(response)
            # Messages are handled in order: once this returns, the response has been processed.
            await self._configuration.request(GetConfig())
        self._dissemination.send(PullEnded(response is not None))

    @singledispatchmethod
    async def apply_response(self, response: object) -> None:
        """Pass a peer's response to the configuration controller."""
        raise InvariantError(f"unexpected response {type(response).__name__}")

    @apply_response.register
    async def _(self, response: ConfigUpToDate) -> None:
        return None

    @apply_response.register
    async def _(self, response: ConfigSet) -> None:
        emit(CONFIG_PULLED, version=response.version, whole=True)
        self._configuration.send(ConfigReceived(response))

    @apply_response.register
    async def _(self, response: ConfigDelta) -> None:
        # If another version came into force during the call, the delta no longer applies. The next
        # pull requests a delta from that version.
        outcome = await self._configuration.request(ApplyDelta(response))
        emit(CONFIG_PULLED, version=response.version, whole=False, taken=outcome)


class ConfigReceiver:
    """Handle the versions that peers push to this host."""

    def __init__(
        self,
        host: HostName,
        dissemination: DisseminationController,
        configuration: ConfigurationController,
    ) -> None:
        self._host = host
        self._dissemination = dissemination
        self._configuration = configuration

    async def handle_push(self, push: ConfigPush) -> ConfigVersionNotice:
        """Apply a pushed delta; pull the version if there is no delta or its base doesn't match.

        Return the version in force.

        The pull runs in the background, so the version returned may still be the old one.
        """
        outcome = DeltaOutcome.GAP
        if push.delta is not None:
            outcome = await self._configuration.request(ApplyDelta(push.delta))
        if outcome is DeltaOutcome.GAP:
            self._dissemination.send(PeerVersion(push.sender, push.version))
        in_force = await self._configuration.request(GetConfig())
        return ConfigVersionNotice(self._host, in_force.version)
