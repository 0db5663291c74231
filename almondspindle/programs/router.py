"""almondspindle-router: owner of targets and peer of the other routers."""

import asyncio
import sys
from random import Random

from almondspindle.adapters.peer.claims import CLAIM_METHOD
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_link import PeerConfigLink
from almondspindle.adapters.peer.config_methods import ConfigMethods
from almondspindle.adapters.peer.handover import HandoverMethods, PeerHandoverLink
from almondspindle.adapters.peer.operator_methods import OperatorMethods
from almondspindle.adapters.peer.probes import UdpProbeLink
from almondspindle.adapters.peer.server import PeerServer, Publisher
from almondspindle.adapters.peer.tables import GrpcTableLink, serve_table
from almondspindle.adapters.peer.telemetry_methods import TelemetryMethods
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.adapters.target.http1 import HttpTargetLink
from almondspindle.adapters.target.load import HttpLoadLink
from almondspindle.chain.admit import AdmitToTarget
from almondspindle.chain.base import Chain
from almondspindle.chain.deadline import CheckDeadline
from almondspindle.chain.gate import GateTarget
from almondspindle.chain.send import SendToTarget
from almondspindle.chain.standing import CheckOwnStanding
from almondspindle.conf.base import load
from almondspindle.conf.router import RouterCfg
from almondspindle.controllers.admission.handover import HandoverTask
from almondspindle.controllers.admission.messages import (
    GetDigests,
    OwnedTargets,
    PeerDigests,
    PolicyChanged,
    SubscribePolls,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.controllers.claims.desk import ClaimsDesk
from almondspindle.controllers.claims.janitor import ClaimsJanitor
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.controllers.claims.writer import SegmentWriter
from almondspindle.controllers.configuration.courier import ConfigCourier, ConfigReceiver
from almondspindle.controllers.configuration.messages import (
    ConfigInForce,
    HostsRead,
    PeerVersion,
    SubscribeConfig,
)
from almondspindle.controllers.configuration.spreader import SpreadCfg, SpreadController
from almondspindle.controllers.configuration.starter import ConfigStarter
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.configuration.watcher import ConfigWatcher
from almondspindle.controllers.loads.messages import PollSoon, PollTargets
from almondspindle.controllers.loads.task import LoadsController
from almondspindle.controllers.membership.messages import ConfigKnown, MembershipListeners
from almondspindle.controllers.membership.prober import Prober
from almondspindle.controllers.membership.reader import ListReader
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import ConfigChanged, RosterRead, SubscribeOwned
from almondspindle.controllers.telemetry.task import TelemetryController
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.events import PROCESS_STOPPED, STOP_CUT_STREAMS
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.logs import emit, log_to_stderr
from almondspindle.core.members import MemberRecord, MembershipTimings
from almondspindle.core.metrics import make_metrics
from almondspindle.core.roster import Roster, RosterDelta
from almondspindle.decisions.configuration.delta import diff
from almondspindle.decisions.silence import SilenceBounds
from almondspindle.programs.base import StopSignal, announce
from almondspindle.utils.tasks import TaskSet

PROGRAM = "almondspindle-router"
MS_PER_S = 1000.0


class Router:
    """The controllers, owner chain and peer server of one router."""

    def __init__(self, cfg: RouterCfg) -> None:
        self._cfg = cfg
        self._tasks = TaskSet()
        self._publisher = Publisher()
        self._clock = clock = SystemClock()
        self._platform = HttpPlatform(cfg.platform)
        self._configuration = ConfigurationController(clock)
        self._directory = DirectoryController(clock, HostName(cfg.host))
        self._timings = MembershipTimings(
            period_s=cfg.probe_period_s, list_interval_s=cfg.roster_interval_s
        )
        self._membership = self._make_membership()
        self._link = UdpProbeLink()
        self._prober = Prober(
            self._membership, self._link, GrpcTableLink(), self._timings, clock, self._own_digests
        )
        self._admission = AdmissionController(clock, cfg.takeover_s)
        host = HostName(cfg.host)
        self._published = ConfigSet()
        self._watcher = ConfigWatcher(self._platform, self._configuration, cfg.watch_wait_s)
        spread_cfg = SpreadCfg(host, ZoneName(cfg.zone), tuple(cfg.seeds))
        self._spread = SpreadController(clock, spread_cfg, self._watcher.set_watching)
        link = PeerConfigLink()
        self._starter = ConfigStarter(self._platform, self._spread, self._configuration, link)
        self._courier = ConfigCourier(self._spread, self._configuration, link)
        receiver = ConfigReceiver(host, self._spread, self._configuration)
        filters = (
            CheckDeadline(),
            CheckOwnStanding(self._membership),
            GateTarget(self._directory),
            AdmitToTarget(self._admission),
        )
        bounds = SilenceBounds(cfg.first_byte_bound_s, cfg.between_bytes_bound_s)
        terminal = SendToTarget(HttpTargetLink(clock, bounds), self._admission, clock)
        self._loads = LoadsController(
            clock, self._tasks, HttpLoadLink(), cfg.load_poll_s, self._admission.tell
        )
        self._channels = Channels()
        link_to_previous = PeerHandoverLink(self._channels)
        self._handover = HandoverTask(host, self._admission, link_to_previous)
        self._telemetry = TelemetryController(clock)
        self._server = PeerServer(
            Chain(filters, terminal, clock), self._publisher, clock, cfg.heartbeat_interval_s
        )
        serve_table(self._server, self._prober.give_table)
        self._claims = ClaimsController(clock)
        metrics = make_metrics(cfg.statsd)
        self._claim_writer = SegmentWriter(self._platform, self._claims, clock, metrics)
        self._janitor = ClaimsJanitor(self._platform, self._directory, HostName(cfg.host), clock)
        self._server.add_method(CLAIM_METHOD, ClaimsDesk(self._claims).decide)
        ConfigMethods(self._spread, self._directory, receiver).register(self._server)
        HandoverMethods(self._admission).register(self._server)
        TelemetryMethods(host, self._telemetry).register(self._server)
        OperatorMethods(host, self._configuration, self._directory, self._admission).register(
            self._server
        )

    async def run(self) -> int:
        """Serve until a signal, finish what is in flight, and return the exit status."""
        stop = StopSignal()
        port = await self._server.start(self._cfg.listen)
        await self._link.open(self._cfg.listen, self._prober.hear, self._prober.help_probe)
        self._start_tasks()
        announce(PROGRAM, f"{self._cfg.listen.rpartition(':')[0]}:{port}")
        status = await stop.wait(self._tasks)
        await self._prober.announce_leaving()
        await self._drain()
        await self._server.stop()
        self._link.close()
        await self._tasks.cancel_all()
        await self._channels.close()
        emit(PROCESS_STOPPED)
        return status

    async def _drain(self) -> None:
        left = await self._server.drain(self._cfg.stop_bound_s)
        if left:
            emit(STOP_CUT_STREAMS, streams=left)

    def _start_tasks(self) -> None:
        self._configuration.tell(SubscribeConfig(self._spread_config))
        interval_s = self._timings.list_interval_s
        reader = ListReader(self._platform, self._membership, interval_s, self._clock)
        self._directory.tell(SubscribeOwned(self._spread_owned))
        self._admission.tell(SubscribePolls(lambda target: self._loads.tell(PollSoon(target))))
        self._tasks.start("configuration", self._configuration.run())
        self._tasks.start("directory", self._directory.run())
        self._tasks.start("admission", self._admission.run())
        self._tasks.start("membership", self._membership.run())
        self._tasks.start("claims", self._claims.run())
        self._tasks.start("claim-writer", self._claim_writer.run())
        self._tasks.start("claims-janitor", self._janitor.run())
        self._tasks.start("spread", self._spread.run())
        self._tasks.start("config-courier", self._courier.run())
        self._tasks.start("config-start", self._follow_config())
        self._tasks.start("handover", self._handover.run())
        self._tasks.start("loads", self._loads.run())
        self._tasks.start("telemetry", self._telemetry.run())
        self._tasks.start("list-reader", reader.run())
        self._tasks.start("prober", self._prober.run())

    def _make_membership(self) -> MembershipController:
        cfg = self._cfg
        boot = int(self._clock.wall() * MS_PER_S)
        own = MemberRecord(HostName(cfg.host), ZoneName(cfg.zone), cfg.listen, boot)
        listeners = MembershipListeners(
            on_roster=self._spread_roster,
            on_digests=lambda by_host: self._admission.tell(PeerDigests(by_host)),
            on_peer_version=lambda peer, version: self._spread.tell(PeerVersion(peer, version)),
        )
        return MembershipController(self._clock, own, self._timings, listeners, Random())

    async def _own_digests(self) -> tuple[ServiceDigest, ...]:
        """Return the sums over the targets that this host owns, which probes carry."""
        return await self._admission.ask(GetDigests())

    def _spread_config(self, config: ConfigSet) -> None:
        self._directory.tell(ConfigChanged(config))
        self._admission.tell(PolicyChanged(config))
        self._membership.tell(ConfigKnown(config))
        self._spread.tell(ConfigInForce(config))
        old = self._published
        self._published = config
        self._publisher.publish(config, diff(old, config) if old.version else None)

    def _spread_roster(self, roster: Roster, delta: RosterDelta) -> None:
        self._directory.tell(RosterRead(roster))
        self._spread.tell(HostsRead(tuple(roster.hosts.values())))
        self._publisher.publish(roster, delta)

    def _spread_owned(self, owned: tuple[OwnedTarget, ...]) -> None:
        self._admission.tell(OwnedTargets(owned))
        self._loads.tell(PollTargets(owned))
        self._handover.owned_changed()

    async def _follow_config(self) -> None:
        await self._starter.run()
        self._tasks.start("config-watcher", self._watcher.run())
        self._tasks.start("config-pulls", self._courier.run_pulls())


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
