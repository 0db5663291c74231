"""Connect the command line to a fleet."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.peer.operator_client import PeerOperatorClient
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.conf.operator import OperatorCfg
from almondspindle.controllers.configuration.manager import ConfigManager
from almondspindle.core.clock import SystemClock
from almondspindle.operations.fleet import RemoteFleet


@asynccontextmanager
async def connect(cfg: OperatorCfg) -> AsyncIterator[RemoteFleet]:
    """Yield the fleet of the platform in `cfg`; close its connections on exit."""
    clock = SystemClock()
    platform = HttpPlatform(cfg.platform)
    channels = Channels()
    config_client = PeerConfigClient()
    manager = ConfigManager(platform, config_client, clock)
    try:
        yield RemoteFleet(
            cfg, platform, PeerOperatorClient(channels, config_client), manager, clock
        )
    finally:
        await channels.close()
