"""almondspindle-router: owner of targets and peer of the other routers."""

import asyncio
import sys

from almondspindle.adapters.peer.server import PeerServer, Publisher
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.adapters.target.http1 import HttpTargetLink
from almondspindle.chain.admit import AdmitToTarget
from almondspindle.chain.base import Chain
from almondspindle.chain.deadline import CheckDeadline
from almondspindle.chain.gate import GateTarget
from almondspindle.chain.send import SendToTarget
from almondspindle.conf.base import load
from almondspindle.conf.router import RouterCfg
from almondspindle.controllers.admission.messages import PolicyChanged
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.controllers.configuration.messages import SubscribeConfig
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.configuration.watcher import ConfigWatcher
from almondspindle.controllers.membership.reader import RosterReader
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import ConfigChanged, RosterRead
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.events import PROCESS_STOPPED, STOP_CUT_STREAMS
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit, log_to_stderr
from almondspindle.core.roster import Roster
from almondspindle.decisions.silence import SilenceBounds
from almondspindle.programs.base import StopSignal, announce
from almondspindle.utils.tasks import TaskSet

PROGRAM = "almondspindle-router"


class Router:
    """The controllers, owner chain and peer server of one router."""

    def __init__(self, cfg: RouterCfg) -> None:
        self._cfg = cfg
        self._tasks = TaskSet()
        self._publisher = Publisher()
        clock = SystemClock()
        self._platform = HttpPlatform(cfg.platform)
        self._configuration = ConfigurationController(clock)
        self._directory = DirectoryController(clock, HostName(cfg.host))
        self._admission = AdmissionController(clock)
        filters = (
            CheckDeadline(),
            GateTarget(self._directory),
            AdmitToTarget(self._admission),
        )
        bounds = SilenceBounds(cfg.first_byte_bound_s, cfg.between_bytes_bound_s)
        terminal = SendToTarget(HttpTargetLink(clock, bounds), self._admission)
        self._server = PeerServer(
            Chain(filters, terminal, clock), self._publisher, clock, cfg.heartbeat_interval_s
        )

    async def run(self) -> int:
        """Serve until a signal, finish what is in flight, and return the exit status."""
        stop = StopSignal()
        self._start_tasks()
        port = await self._server.start(self._cfg.listen)
        announce(PROGRAM, f"{self._cfg.listen.rpartition(':')[0]}:{port}")
        status = await stop.wait(self._tasks)
        await self._drain()
        await self._server.stop()
        await self._tasks.cancel_all()
        emit(PROCESS_STOPPED)
        return status

    async def _drain(self) -> None:
        left = await self._server.drain(self._cfg.stop_bound_s)
        if left:
            emit(STOP_CUT_STREAMS, streams=left)

    def _start_tasks(self) -> None:
        self._configuration.tell(SubscribeConfig(self._spread_config))
        watcher = ConfigWatcher(self._platform, self._configuration, self._cfg.watch_wait_s)
        reader = RosterReader(self._platform, self._cfg.roster_interval_s, self._spread_roster)
        self._tasks.start("configuration", self._configuration.run())
        self._tasks.start("directory", self._directory.run())
        self._tasks.start("admission", self._admission.run())
        self._tasks.start("config-watcher", watcher.run())
        self._tasks.start("roster-reader", reader.run())

    def _spread_config(self, config: ConfigSet) -> None:
        self._directory.tell(ConfigChanged(config))
        self._admission.tell(PolicyChanged(config))
        self._publisher.publish(config)

    def _spread_roster(self, roster: Roster) -> None:
        self._directory.tell(RosterRead(roster))
        self._publisher.publish(roster)


async def serve(cfg: RouterCfg) -> int:
    """Run a router with the settings `cfg` and return the exit status."""
    return await Router(cfg).run()


def main() -> None:
    """Run the program."""
    cfg = load(RouterCfg)
    log_to_stderr(PROGRAM, cfg.host)
    sys.exit(asyncio.run(serve(cfg)))


if __name__ == "__main__":
    main()
