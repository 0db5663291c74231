"""Connect to a fleet from the command line."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.peer.operator_client import PeerOperatorClient
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.conf.operator import OperatorCfg
from almondspindle.controllers.configuration.manager import ConfigManager
from almondspindle.core.clock import SystemClock
from almondspindle.operations.fleet import OperatedFleet


@asynccontextmanager
async def connected(cfg: OperatorCfg) -> AsyncIterator[OperatedFleet]:
    """Yield the fleet that `cfg` names, and close all connections at the end."""
    clock = SystemClock()
    platform = HttpPlatform(cfg.platform)
    channels = Channels()
    link = PeerConfigClient()
    operator = ConfigManager(platform, link, clock)
    try:
        yield OperatedFleet(cfg, platform, PeerOperatorClient(channels, link), operator, clock)
    finally:
        await channels.close()
