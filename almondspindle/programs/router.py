"""almondspindle-router: own targets, admit requests to them, and gossip with the other routers."""

import asyncio
import sys
from random import Random

from almondspindle.adapters.peer.claims import CLAIM_METHOD
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.peer.config_methods import ConfigMethods
from almondspindle.adapters.peer.handover import HandoverMethods, PeerHandoverClient
from almondspindle.adapters.peer.host_tables import GrpcHostTableClient, serve_host_table
from almondspindle.adapters.peer.operator_methods import OperatorMethods
from almondspindle.adapters.peer.probes import UdpProbeTransport
from almondspindle.adapters.peer.server import PeerServer, Publisher
from almondspindle.adapters.peer.telemetry_methods import TelemetryMethods
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.adapters.target.http1 import HttpTargetClient
from almondspindle.adapters.target.load import HttpLoadReportClient
from almondspindle.chain.admit import AdmitToTarget
from almondspindle.chain.base import Chain
from almondspindle.chain.check_target import CheckTarget
from almondspindle.chain.deadline import CheckDeadline
from almondspindle.chain.require_ownership import RequireOwnership
from almondspindle.chain.send import SendToTarget
from almondspindle.conf.base import load_settings
from almondspindle.conf.router import RouterCfg
from almondspindle.controllers.admission.handover import HandoverTask
from almondspindle.controllers.admission.messages import (
    AdmissionConfigChanged,
    GetDigests,
    OwnedTargetsChanged,
    PeerDigests,
    SubscribePollRequests,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.controllers.claims.cleaner import ClaimsCleaner
from almondspindle.controllers.claims.methods import ClaimsMethods
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.controllers.claims.writer import SegmentWriter
from almondspindle.controllers.configuration.bootstrap import ConfigBootstrapper
from almondspindle.controllers.configuration.dissemination import (
    DisseminationCfg,
    DisseminationController,
)
from almondspindle.controllers.configuration.exchange import ConfigExchange, ConfigReceiver
from almondspindle.controllers.configuration.messages import (
    ConfigApplied,
    HostsUpdated,
    PeerVersion,
    SubscribeConfig,
)
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.configuration.watcher import ConfigWatcher
from almondspindle.controllers.loads.messages import PollSoon, PollTargets
from almondspindle.controllers.loads.task import LoadsController
from almondspindle.controllers.membership.messages import (
    MembershipConfigChanged,
    MembershipListeners,
)
from almondspindle.controllers.membership.prober import Prober
from almondspindle.controllers.membership.reader import ListReader
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import ConfigChanged, RosterChanged, SubscribeOwned
from almondspindle.controllers.telemetry.task import TelemetryController
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.events import PROCESS_STOPPED, STOP_ABORTED_REQUESTS
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.logs import emit, log_to_stderr
from almondspindle.core.members import MemberRecord, MembershipTimings
from almondspindle.core.metrics import make_metrics
from almondspindle.core.roster import Roster, RosterDelta
from almondspindle.decisions.configuration.delta import diff
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.programs.base import StopSignal, announce
from almondspindle.utils.tasks import Runner, TaskSet

PROGRAM = "almondspindle-router"
MS_PER_S = 1000.0


class Router:
    """The controllers, filter chain for owned targets, and peer server of one router."""

    def __init__(self, cfg: RouterCfg) -> None:
        self._cfg = cfg
        self._host = HostName(cfg.host)
        self._clock = SystemClock()
        self._tasks = TaskSet()
        self._channels = Channels()
        self._publisher = Publisher()
        self._platform = HttpPlatform(cfg.platform)
        self._configuration = ConfigurationController(self._clock)
        self._directory = DirectoryController(self._clock, self._host)
        self._admission = AdmissionController(self._clock, cfg.takeover_s)
        self._telemetry = TelemetryController(self._clock)
        self._make_membership()
        self._make_dissemination()
        self._make_load_tasks()
        self._make_claims()
        self._server = PeerServer(
            self._owner_chain(), self._publisher, self._clock, cfg.heartbeat_interval_s
        )
        self._register_methods()

    def _make_membership(self) -> None:
        cfg = self._cfg
        boot = int(self._clock.wall() * MS_PER_S)
        own = MemberRecord(self._host, ZoneName(cfg.zone), cfg.listen, boot)
        listeners = MembershipListeners(
            on_roster=self._distribute_roster,
            on_digests=lambda by_host: self._admission.send(PeerDigests(by_host)),
            on_peer_config_version=lambda peer, version: self._dissemination.send(
                PeerVersion(peer, version)
            ),
        )
        timings = MembershipTimings(
            period_s=cfg.probe_period_s, list_interval_s=cfg.roster_interval_s
        )
        self._membership = MembershipController(self._clock, own, timings, listeners, Random())
        self._list_reader = ListReader(
            self._platform, self._membership, timings.list_interval_s, self._clock
        )
        self._probe_transport = UdpProbeTransport()
        self._prober = Prober(
            self._membership,
            self._probe_transport,
            GrpcHostTableClient(),
            timings,
            self._clock,
            self._own_digests,
        )

    def _make_dissemination(self) -> None:
        cfg = self._cfg
        client = PeerConfigClient()
        self._published_config = ConfigSet()
        self._config_watcher = ConfigWatcher(self._platform, self._configuration, cfg.watch_wait_s)
        dissemination_cfg = DisseminationCfg(self._host, ZoneName(cfg.zone), tuple(cfg.seeds))
        self._dissemination = DisseminationController(
            self._clock, dissemination_cfg, self._config_watcher.set_watching
        )
        self._bootstrapper = ConfigBootstrapper(
            self._platform, self._dissemination, self._configuration, client
        )
        self._config_exchange = ConfigExchange(self._dissemination, self._configuration, client)

    def _make_load_tasks(self) -> None:
        self._loads = LoadsController(
            self._clock,
            self._tasks,
            HttpLoadReportClient(),
            self._cfg.load_poll_s,
            self._admission.send,
        )
        client = PeerHandoverClient(self._channels)
        self._handover = HandoverTask(self._host, self._admission, client)

    def _make_claims(self) -> None:
        metrics = make_metrics(self._cfg.statsd)
        self._claims = ClaimsController(self._clock)
        self._claim_writer = SegmentWriter(self._platform, self._claims, self._clock, metrics)
        self._claims_cleaner = ClaimsCleaner(
            self._platform, self._directory, self._host, self._clock
        )

    def _owner_chain(self) -> Chain:
        filters = (
            CheckDeadline(),
            RequireOwnership(self._membership),
            CheckTarget(self._directory),
            AdmitToTarget(self._admission),
        )
        timeouts = IdleTimeouts(self._cfg.first_byte_bound_s, self._cfg.between_bytes_bound_s)
        client = HttpTargetClient(self._clock, timeouts)
        return Chain(filters, SendToTarget(client, self._admission, self._clock), self._clock)

    def _register_methods(self) -> None:
        serve_host_table(self._server, self._prober.get_host_table)
        self._server.add_method(CLAIM_METHOD, ClaimsMethods(self._claims).decide)
        receiver = ConfigReceiver(self._host, self._dissemination, self._configuration)
        ConfigMethods(self._dissemination, self._directory, receiver).register(self._server)
        HandoverMethods(self._admission).register(self._server)
        TelemetryMethods(self._host, self._telemetry).register(self._server)
        OperatorMethods(self._host, self._configuration, self._directory, self._admission).register(
            self._server
        )

    async def run(self) -> int:
        """Serve until a stop signal, drain requests in flight, and return the exit status."""
        stop = StopSignal()
        port = await self._server.start(self._cfg.listen)
        await self._probe_transport.open(
            self._cfg.listen, self._prober.receive_probe, self._prober.probe_for_peer
        )
        self._start_tasks()
        announce(PROGRAM, f"{self._cfg.listen.rpartition(':')[0]}:{port}")
        status = await stop.wait(self._tasks)
        await self._prober.announce_leaving()
        await self._drain()
        await self._server.stop()
        self._probe_transport.close()
        await self._tasks.cancel_all()
        await self._channels.close()
        emit(PROCESS_STOPPED)
        return status

    async def _drain(self) -> None:
        remaining = await self._server.drain(self._cfg.stop_bound_s)
        if remaining:
            emit(STOP_ABORTED_REQUESTS, streams=remaining)

    def _start_tasks(self) -> None:
        self._configuration.send(SubscribeConfig(self._distribute_config))
        self._directory.send(SubscribeOwned(self._distribute_owned_targets))
        self._admission.send(
            SubscribePollRequests(lambda target: self._loads.send(PollSoon(target)))
        )
        runners: dict[str, Runner] = {
            "configuration": self._configuration,
            "directory": self._directory,
            "admission": self._admission,
            "membership": self._membership,
            "claims": self._claims,
            "claim-writer": self._claim_writer,
            "claims-cleaner": self._claims_cleaner,
            "spread": self._dissemination,
            "config-exchange": self._config_exchange,
            "handover": self._handover,
            "loads": self._loads,
            "telemetry": self._telemetry,
            "list-reader": self._list_reader,
            "prober": self._prober,
        }
        self._tasks.start_all(runners)
        self._tasks.start("config-start", self._start_config())

    async def _own_digests(self) -> tuple[ServiceDigest, ...]:
        """Return the load digests of the targets that this host owns. Probes carry them."""
        return await self._admission.request(GetDigests())

    def _distribute_config(self, config: ConfigSet) -> None:
        self._directory.send(ConfigChanged(config))
        self._admission.send(AdmissionConfigChanged(config))
        self._membership.send(MembershipConfigChanged(config))
        self._dissemination.send(ConfigApplied(config))
        previous = self._published_config
        self._published_config = config
        self._publisher.publish(config, diff(previous, config) if previous.version else None)

    def _distribute_roster(self, roster: Roster, delta: RosterDelta) -> None:
        self._directory.send(RosterChanged(roster))
        self._dissemination.send(HostsUpdated(tuple(roster.hosts.values())))
        self._publisher.publish(roster, delta)

    def _distribute_owned_targets(self, owned: tuple[OwnedTarget, ...]) -> None:
        self._admission.send(OwnedTargetsChanged(owned))
        self._loads.send(PollTargets(owned))
        self._handover.targets_changed()

    async def _start_config(self) -> None:
        await self._bootstrapper.run()
        self._tasks.start("config-watcher", self._config_watcher.run())
        self._tasks.start("config-pulls", self._config_exchange.run_pulls())


async def serve(cfg: RouterCfg) -> int:
    """Run a router with the settings `cfg` until it stops; return the exit status."""
    return await Router(cfg).run()


def main() -> None:
    """Run a router with the settings of this process and exit with its status."""
    cfg = load_settings(RouterCfg)
    log_to_stderr(PROGRAM, cfg.host)
    sys.exit(asyncio.run(serve(cfg)))


if __name__ == "__main__":
    main()
