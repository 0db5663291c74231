"""almondspindle-entry: accept requests of callers over HTTP and relay them to target owners."""

import asyncio
import secrets
import socket
import sys
from contextlib import suppress
from functools import partial, singledispatch

from tornado.httpserver import HTTPServer

from almondspindle.adapters.http_front.handlers import HandlerContext
from almondspindle.adapters.http_front.server import listen, make_app
from almondspindle.adapters.peer.claims import PeerClaimsClient
from almondspindle.adapters.peer.client import Channels, PeerOwnerClient
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.peer.subscription import Subscription
from almondspindle.adapters.peer.telemetry_client import PeerTallyClient
from almondspindle.chain.base import Chain, Filter
from almondspindle.chain.claim import ClaimKey
from almondspindle.chain.classify import ClassifyWork
from almondspindle.chain.deadline import CheckDeadline
from almondspindle.chain.identify import IdentifyTeam
from almondspindle.chain.limit import LimitTeam
from almondspindle.chain.measure import MeasuredChain
from almondspindle.chain.rank import RankCandidates
from almondspindle.chain.relay import RelayToOwner
from almondspindle.chain.require_key import RequireKey
from almondspindle.chain.resume import ResumingOwnerClient
from almondspindle.chain.settle import SettleClaim
from almondspindle.conf.base import load_settings
from almondspindle.conf.entry import EntryCfg
from almondspindle.controllers.claims.settlement import SettlementController, SettlementSender
from almondspindle.controllers.configuration.follower import ConfigFollower
from almondspindle.controllers.configuration.messages import GetConfig, SubscribeConfig
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.limits.messages import HostCountChanged
from almondspindle.controllers.limits.task import LimitsController
from almondspindle.controllers.retries.task import RetriesController
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import ConfigChanged, GetRoster, RosterChanged
from almondspindle.controllers.telemetry.collector import CollectorController
from almondspindle.controllers.telemetry.pusher import TallyPusher
from almondspindle.core.changes import ConfigDelta
from almondspindle.core.clock import SystemClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.events import (
    DRAIN_BEGUN,
    OUTCOMES_UNRECORDED,
    PROCESS_STOPPED,
    STOP_ABORTED_REQUESTS,
)
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit, log_to_stderr
from almondspindle.core.metrics import make_metrics
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.roster import Roster, RosterDelta, apply_delta
from almondspindle.decisions.ownership import OWNING_STATES
from almondspindle.programs.base import StopSignal, announce
from almondspindle.utils.sockets import accept_backlog
from almondspindle.utils.tasks import Runner, TaskSet

PROGRAM = "almondspindle-entry"
# Longest time that a graceful shutdown waits until the outcomes of commits are recorded.
SETTLE_TIMEOUT_S = 5.0
# Longest time that a graceful shutdown waits until aborted requests are refused.
REFUSAL_TIMEOUT_S = 1.0
INSTANCE_ID_BYTES = 4  # length of the random identifier that distinguishes entries of one host


class Entry:
    """The controllers, filter chain and HTTP server of one entry."""

    def __init__(self, cfg: EntryCfg) -> None:
        self._cfg = cfg
        self._host = HostName(cfg.host)
        self._clock = SystemClock()
        self._tasks = TaskSet()
        self._channels = Channels()
        self._metrics = make_metrics(cfg.statsd)
        self._roster = Roster()
        self._configuration = ConfigurationController(self._clock)
        self._directory = DirectoryController(self._clock, self._host)
        self._limits = LimitsController(self._clock)
        self._retries = RetriesController(self._clock)
        self._settlements = SettlementController(self._clock)
        self._claims_client = PeerClaimsClient(self._channels, self._directory, self._clock)
        self._collector = CollectorController(self._clock)
        self._pusher = TallyPusher(self._collector, PeerTallyClient(self._channels, cfg.routers))
        self._settle_claim = SettleClaim(self._inner_chain(), self._settlements, self._host)
        outer = Chain(self._filters(), self._settle_claim, self._clock)
        chain = MeasuredChain(outer, self._collector, self._clock)
        self._handler_context = HandlerContext(cfg, chain, self._clock, self._metrics)

    def _inner_chain(self) -> Chain:
        """Return the chain after the claim, which ranks targets and relays to their owners."""
        client = PeerOwnerClient(self._channels, self._clock, self._cfg.peer_silence_bound_s)
        owners = ResumingOwnerClient(
            client, self._directory, self._clock, self._metrics, self._cfg.resume_window_s
        )
        relay = RelayToOwner(owners, self._retries, self._clock, self._metrics)
        return Chain((RankCandidates(self._directory),), relay, self._clock)

    def _filters(self) -> tuple[Filter, ...]:
        """Return the outer filters.

        `ClaimKey` must be the last one: if a later filter refused the request, its claim would
        never be settled.
        """
        claim = ClaimKey(
            self._claims_client,
            self._settlements,
            self._configuration,
            self._host,
            self._clock,
            self._metrics,
        )
        return (
            CheckDeadline(),
            IdentifyTeam(self._configuration),
            LimitTeam(self._limits),
            ClassifyWork(self._configuration),
            RequireKey(),
            claim,
        )

    async def run(self) -> int:
        """Serve until a stop signal, drain requests in flight, and return the exit status."""
        stop = StopSignal()
        self._start_tasks()
        app = make_app(self._handler_context, self.not_ready_reason)
        server, sockets = listen(app, self._cfg.listen, self._cfg.max_header_bytes)
        port = sockets[0].getsockname()[1]
        announce(PROGRAM, f"{self._cfg.listen.rpartition(':')[0]}:{port}")
        status = await stop.wait(self._tasks)
        await self._shut_down(server, sockets)
        await self._tasks.cancel_all()
        await self._channels.close()
        emit(PROCESS_STOPPED)
        return status

    async def not_ready_reason(self) -> str | None:
        """Return why the entry accepts no new callers, or None if it does."""
        config = await self._configuration.request(GetConfig())
        if config.version == 0:
            return "no configuration has been read yet"
        roster = await self._directory.request(GetRoster())
        return None if roster.hosts else "no host is known yet"

    def _start_tasks(self) -> None:
        self._configuration.send(SubscribeConfig(self._distribute_config))
        listener = partial(dispatch_update, entry=self)
        subscriber = HostName(f"{self._cfg.host}:{secrets.token_hex(INSTANCE_ID_BYTES)}")
        subscription = Subscription(
            self._channels,
            self._cfg.routers,
            subscriber,
            listener,
            self._clock,
            self._cfg.peer_silence_bound_s,
        )
        self._follower = ConfigFollower(
            subscriber,
            self._configuration,
            PeerConfigClient(),
            lambda: subscription.address,
            lambda: self._directory.request(GetRoster()),
        )
        runners: dict[str, Runner] = {
            "configuration": self._configuration,
            "directory": self._directory,
            "settler": self._settlements,
            "settle-sender": SettlementSender(self._claims_client, self._settlements),
            "config-follower": self._follower,
            "limits": self._limits,
            "retries": self._retries,
            "collector": self._collector,
            "tally-pusher": self._pusher,
            "subscription": subscription,
        }
        self._tasks.start_all(runners)

    def _distribute_config(self, config: ConfigSet) -> None:
        for controller in (self._directory, self._limits, self._retries):
            controller.send(ConfigChanged(config))

    async def _drain(self) -> None:
        remaining = await self._handler_context.in_flight.wait_idle(self._cfg.stop_bound_s)
        if remaining:
            emit(STOP_ABORTED_REQUESTS, streams=remaining)
            self._handler_context.end_calls()
            await self._handler_context.in_flight.wait_idle(REFUSAL_TIMEOUT_S)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._settle_claim.wait_idle(), self._cfg.stop_bound_s)
        unsettled = await self._settlements.wait_idle(SETTLE_TIMEOUT_S)
        if unsettled:
            emit(OUTCOMES_UNRECORDED, endings=unsettled)

    async def _shut_down(self, server: HTTPServer, sockets: list[socket.socket]) -> None:
        """Shut down gracefully.

        Serve until the load balancer has removed this entry, stop listening, and wait for requests
        in flight.
        """
        self._handler_context.is_stopping = True
        server.conn_params.no_keep_alive = True
        await asyncio.sleep(self._cfg.balancer_lag_s)
        await accept_backlog(sockets)
        server.stop()
        emit(DRAIN_BEGUN, in_flight=self._handler_context.in_flight.count)
        await self._drain()
        await self._pusher.push_once()
        await server.close_all_connections()

    def apply_config(self, update: ConfigSet | ConfigDelta) -> None:
        """Pass a configuration or a delta of it, received from a router, to the follower."""
        self._follower.enqueue(update)

    def apply_roster(self, roster: Roster) -> None:
        """Pass a roster, received from a router, to the directory and the rate limiter."""
        self._roster = roster
        self._directory.send(RosterChanged(roster))
        live = [host for host in roster.hosts.values() if host.state in OWNING_STATES]
        self._limits.send(HostCountChanged(len(live)))

    def apply_roster_delta(self, delta: RosterDelta) -> None:
        """Apply a delta to the roster. The first update on each connection is a full roster."""
        self.apply_roster(apply_delta(self._roster, delta))


@singledispatch
def dispatch_update(update: object, *, entry: Entry) -> None:
    """Pass an update, received from a router, to the controller that it concerns."""
    raise InvariantError(f"unexpected update {type(update).__name__}")


@dispatch_update.register
def _(update: ConfigSet, *, entry: Entry) -> None:
    entry.apply_config(update)


@dispatch_update.register
def _(update: ConfigDelta, *, entry: Entry) -> None:
    entry.apply_config(update)


@dispatch_update.register
def _(update: Roster, *, entry: Entry) -> None:
    entry.apply_roster(update)


@dispatch_update.register
def _(update: RosterDelta, *, entry: Entry) -> None:
    entry.apply_roster_delta(update)


async def serve(cfg: EntryCfg) -> int:
    """Run an entry with the settings `cfg` until it stops; return the exit status."""
    return await Entry(cfg).run()


def main() -> None:
    """Run an entry with the settings of this process and exit with its status."""
    cfg = load_settings(EntryCfg)
    log_to_stderr(PROGRAM, cfg.host)
    sys.exit(asyncio.run(serve(cfg)))


if __name__ == "__main__":
    main()
