"""The components of `almondspindle-node` and their life cycle, from start-up to shutdown."""

import asyncio
import gc
import random
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

from almondspindle.adapters.exchange.datagrams import UdpReportTransport
from almondspindle.adapters.exchange.internal_server import InternalHttpServer, Reply
from almondspindle.adapters.exchange.topics import TOPIC_PATH, TopicClient, TopicServer
from almondspindle.adapters.http1.pool import ConnectionPool
from almondspindle.adapters.http1.server import HttpServer
from almondspindle.adapters.http1.target_client import PooledTargetClient
from almondspindle.chain.assign_version import AssignVersion
from almondspindle.chain.base import Chain, Filter
from almondspindle.chain.deadline import CheckDeadline
from almondspindle.chain.deliver import DeliverToTarget
from almondspindle.chain.match import MatchRoute
from almondspindle.chain.quarantine import RejectQuarantined
from almondspindle.chain.time_left import MeasureDuration, RejectUnfinishable
from almondspindle.controllers.durations.task import DurationsController
from almondspindle.controllers.exchange.messages import (
    OutsideReportReceived,
    ReportReceived,
    ZoneReportReceived,
)
from almondspindle.controllers.exchange.runners import Puller, Reporter
from almondspindle.controllers.exchange.task import ExchangeController
from almondspindle.controllers.placement.task import PlacementController
from almondspindle.controllers.quarantine.task import QuarantineController
from almondspindle.controllers.rollouts.runner import RolloutRunner
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.controllers.settings import SettingsChanged, SettingsWatcher
from almondspindle.controllers.view.announcer import Announcer
from almondspindle.controllers.view.copy_log import CopyLog
from almondspindle.controllers.view.messages import (
    GetTopicUpdate,
    HostsChanged,
    Publication,
    RolloutsChanged,
    RoutesChanged,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.controllers.view.task import ViewController
from almondspindle.controllers.view.watcher import (
    RetentionTimer,
    StoreTurns,
    TopicWatcher,
)
from almondspindle.core.clock import SystemClock
from almondspindle.core.events import (
    DELIVERED,
    DRAIN_BEGUN,
    NODE_STARTED,
    PROCESS_READY,
    PROCESS_STOPPED,
    PROCESS_STOPPING,
    ROUTED,
    STARTED_WITHOUT_SNAPSHOT,
    STOP_ABORTED_REQUESTS,
    TABLE_APPLIED,
)
from almondspindle.core.exit_codes import EXIT_FAILED, EXIT_OK
from almondspindle.core.inventory import CopyVersion, HostRecord, Topic, TopicUpdate
from almondspindle.core.log_writer import BoundedLogWriter
from almondspindle.core.logs import emit, log_to_stdout
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.registry import MetricRegistry
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.decisions.bulk_transfers import bulk_limit_bytes
from almondspindle.decisions.readiness import ReadinessState, not_ready_reason
from almondspindle.decisions.shutdown import schedule_stop
from almondspindle.platform import headers as codec
from almondspindle.platform.objects import decode_record
from almondspindle.platform.settings import read_settings, settings_path
from almondspindle.platform.store import PlatformStore
from almondspindle.programs.base import StopSignal
from almondspindle.programs.operator_pages import OperatorPages
from almondspindle.utils.loop_monitor import LoopMonitor
from almondspindle.utils.tasks import TaskSet

STDOUT_FD = 1
ROUTINE_EVENTS = (ROUTED, DELIVERED)
HTTP_UNAVAILABLE = 503
HTTP_OK = 200
# Longest wait for the first snapshot of the store before callers are served. Reading it takes about
# 10 ms. Callers give up when their request is not read within 1 s.
FIRST_SNAPSHOT_TIMEOUT_S = 0.5
# Longest wait for a slow reader of the log before the process exits. It is a part of the time that
# a planned stop leaves for the exit.
LAST_LINES_TIMEOUT_S = 0.2


class Node:
    """The controllers, filter chain, servers and connections of one node.

    The process runs one; tests run several in one process. `on_stopping` is called when a planned
    stop begins.
    """

    def __init__(
        self,
        cfg: NodeCfg,
        listener: socket.socket,
        on_stopping: Callable[[], None] = lambda: None,
    ) -> None:
        self._cfg = cfg
        self._listener = listener
        self._on_stopping = on_stopping
        self._ready = asyncio.Event()
        self._clock = SystemClock()
        self._metrics = MetricRegistry()
        self._readiness = ReadinessState()
        self._tasks = TaskSet()
        self._placement = PlacementController(cfg, self._clock, self._metrics)
        self._view = ViewController(cfg, self._clock, self._publish)
        self._quarantine = QuarantineController(cfg, self._clock)
        self._durations = DurationsController(self._clock)
        self._rollouts = RolloutsController(cfg, self._clock, self._placement.send, self._metrics)
        self._exchange = ExchangeController(
            cfg,
            self._clock,
            random.Random(cfg.host),
            self._placement.send,
            self._view.send,
            self._quarantine.send,
            self._placement.send,
            self._rollouts.send,
        )
        self._pool = ConnectionPool(self._clock, self._metrics)
        client = PooledTargetClient(
            self._pool,
            codec,
            self._clock,
            self._metrics,
            self._placement.send,
            self._placement.request,
        )
        self._reject_unfinishable = RejectUnfinishable(self._durations)
        deliver = DeliverToTarget(
            self._placement,
            self._quarantine,
            client,
            self._clock,
            self._metrics,
            self._rollouts.send,
        )
        filters: tuple[Filter, ...] = (
            MatchRoute(self._view),
            self._reject_unfinishable,
            RejectQuarantined(self._quarantine, self._metrics),
            CheckDeadline(),
        )
        if cfg.serves_rollouts:
            filters = (*filters, AssignVersion(self._rollouts))
        chain = Chain(
            filters=filters,
            terminal=MeasureDuration(deliver, self._durations, self._clock),
            clock=self._clock,
        )
        self._http_server = HttpServer(chain, codec, self._clock, self._metrics)
        self._store = PlatformStore(cfg.store_address)
        self._servers: list[InternalHttpServer] = []
        self._report_transport = UdpReportTransport(self._receive_report)
        self._settings = SettingsWatcher(cfg, read_settings, settings_path, self._apply_settings)

    @singledispatchmethod
    def _receive_report(self, report: object) -> None:
        raise InvariantError(f"unexpected report {type(report).__name__}")

    @_receive_report.register
    def _(self, report: HostReport) -> None:
        self._exchange.send(ReportReceived(report))

    @_receive_report.register
    def _(self, report: ZoneReport) -> None:
        self._exchange.send(ZoneReportReceived(report))

    @_receive_report.register
    def _(self, report: OutsideReport) -> None:
        self._exchange.send(OutsideReportReceived(report))

    @singledispatchmethod
    def _publish(self, publication: Publication) -> None:
        raise InvariantError(f"unexpected publication {type(publication).__name__}")

    @_publish.register
    def _(self, change: RoutesChanged) -> None:
        emit(TABLE_APPLIED, version=change.table.version, routes=len(change.table.routes))
        self._placement.send(change)
        self._http_server.set_limits(change.table.limits)
        self._update_readiness(replace(self._readiness, has_route_table=True))

    @_publish.register
    def _(self, change: RolloutsChanged) -> None:
        self._rollouts.send(change)

    @_publish.register
    def _(self, change: TargetsChanged) -> None:
        self._placement.send(change)
        self._quarantine.send(change)
        self._rollouts.send(change)
        if change.targets:
            self._update_readiness(replace(self._readiness, has_targets=True))

    @_publish.register
    def _(self, change: ZonesChanged) -> None:
        self._placement.send(change)

    @_publish.register
    def _(self, change: HostsChanged) -> None:
        self._placement.send(change)
        self._quarantine.send(change)
        self._exchange.send(change)
        self._rollouts.send(change)

    def _update_readiness(self, state: ReadinessState) -> None:
        self._readiness = state
        if not_ready_reason(state) is None and not self._ready.is_set():
            self._ready.set()
            emit(PROCESS_READY, address=self._cfg.listen_address)

    def reload_settings(self) -> None:
        """Read the settings file immediately instead of at the next poll. Called on SIGHUP."""
        self._settings.reload()

    def _apply_settings(self, cfg: NodeCfg) -> None:
        """Apply changed settings. Changes of listening addresses take effect only at a restart."""
        if cfg.store_address != self._cfg.store_address:
            self._store.set_address(cfg.store_address)
        self._cfg = cfg
        self._view.send(SettingsChanged(cfg))
        self._placement.send(SettingsChanged(cfg))
        self._exchange.send(SettingsChanged(cfg))
        self._rollouts.send(SettingsChanged(cfg))

    async def run(self, stop: asyncio.Event) -> int:
        """Serve until `stop` is set or a task fails, shut down, and return the exit status."""
        self._start()
        await self._report_transport.open(f"{self._cfg.ip}:{self._cfg.peer_port}")
        await self._wait_until_ready()
        await self._http_server.listen(self._listener)
        stopped = asyncio.ensure_future(stop.wait())
        failed = asyncio.ensure_future(self._tasks.wait_for_failure())
        await asyncio.wait({stopped, failed}, return_when=asyncio.FIRST_COMPLETED)
        status = EXIT_OK
        if failed.done():
            print(f"task {failed.result()} failed", file=sys.stderr)
            status = EXIT_FAILED
        # After a failure too, requests that targets work on are finished.
        await self._shut_down()
        return status

    async def _wait_until_ready(self) -> None:
        # The kernel queues connections meanwhile. If the store does not respond in time, the node
        # starts anyway and refuses requests with an explanation.
        try:
            async with asyncio.timeout(FIRST_SNAPSHOT_TIMEOUT_S):
                await self._ready.wait()
        except TimeoutError:
            emit(STARTED_WITHOUT_SNAPSHOT, waited_s=FIRST_SNAPSHOT_TIMEOUT_S)

    async def close(self) -> None:
        """Cancel all tasks and close all sockets immediately."""
        await self._tasks.cancel_all()
        self._http_server.abort()
        self._report_transport.close()
        for server in self._servers:
            server.close()

    def _start(self) -> None:
        cfg = self._cfg
        topics = TopicServer(self._get_topic_update)
        pages = OperatorPages(cfg.host, self._view, self._rollouts, self._metrics)
        for responders, address in (
            ({codec.READY_PATH: self._serve_readiness}, cfg.readiness_address),
            ({TOPIC_PATH: topics.respond}, f"{cfg.ip}:{cfg.peer_port}"),
            (pages.responders(), f"{cfg.ip}:{cfg.metrics_port}"),
        ):
            server = InternalHttpServer(responders, bulk_limit_bytes(cfg.link_mbps))
            server.listen(address)
            self._servers.append(server)
        record = HostRecord(cfg.host, f"{cfg.ip}:{cfg.peer_port}", cfg.zone, cfg.link_mbps)
        self._tasks.start_all(
            {
                "view": self._view,
                "placement": self._placement,
                "quarantine": self._quarantine,
                "durations": self._durations,
                "rollouts": self._rollouts,
                "exchange": self._exchange,
            }
        )
        self._tasks.start_all_restarting(
            {
                "pool": self._pool,
                "front": self._http_server,
                "settings": self._settings,
                "loop monitor": LoopMonitor(self._clock, self._metrics),
                "announcer": Announcer(
                    record,
                    self._store,
                    self._view,
                    StoreTurns(self._view, self._exchange),
                    self._clock,
                ),
                "lapses": RetentionTimer(self._view),
                "copy log": CopyLog(self._view),
                "puller": Puller(self._view, self._exchange, TopicClient(decode_record)),
                "reporter": Reporter(
                    cfg,
                    self._placement,
                    self._quarantine,
                    self._view,
                    self._exchange,
                    self._rollouts,
                    self._report_transport.send,
                ),
                **{f"watch {topic}": self._make_watcher(topic) for topic in cfg.topics},
            }
        )
        if cfg.serves_rollouts:
            runner = RolloutRunner(self._rollouts, self._placement, self._store)
            self._tasks.start_all_restarting({"rollout runner": runner})

    def _make_watcher(self, topic: Topic) -> TopicWatcher:
        return TopicWatcher(topic, self._store, self._view, self._exchange)

    async def _shut_down(self) -> None:
        now = self._clock.monotonic()
        schedule = schedule_stop(now, self._cfg.bounds.grace_s)
        self._readiness = replace(self._readiness, stopping_since=now)
        self._on_stopping()
        emit(PROCESS_STOPPING, in_flight=self._http_server.in_flight.count)
        self._reject_unfinishable.schedule = schedule
        self._http_server.start_draining(schedule)
        await asyncio.sleep(schedule.listen_until - now)
        await self._http_server.stop_accepting()
        emit(DRAIN_BEGUN, in_flight=self._http_server.in_flight.count)
        await self._http_server.finish_connections(schedule)
        unfinished = self._http_server.in_flight.count
        if unfinished:
            emit(STOP_ABORTED_REQUESTS, count=unfinished)
        emit(PROCESS_STOPPED)

    async def _serve_readiness(self, rest: str) -> Reply:
        reason = not_ready_reason(self._readiness)
        if reason is None:
            return Reply(HTTP_OK, b"ready\n")
        return Reply(HTTP_UNAVAILABLE, f"{reason}\n".encode())

    async def _get_topic_update(self, topic: Topic, since: CopyVersion) -> TopicUpdate:
        return await self._view.request(GetTopicUpdate(topic, since))


def serve(cfg: NodeCfg, listener: socket.socket) -> int:
    """Run a node that accepts callers at `listener` until a stop signal; return the exit status."""
    routine = frozenset(f"almondspindle:{event.number}" for event in ROUTINE_EVENTS)
    writer = BoundedLogWriter(STDOUT_FD, SystemClock().monotonic, routine)
    log_to_stdout(writer, cfg.host)
    emit(
        NODE_STARTED, front=cfg.listen_address, store=cfg.store_address, seeds=list(cfg.other_hosts)
    )
    status = asyncio.run(_run(cfg, listener, writer.lift_rate_limit))
    writer.close(LAST_LINES_TIMEOUT_S)
    return status


async def _run(cfg: NodeCfg, listener: socket.socket, on_stopping: Callable[[], None]) -> int:
    stop = StopSignal()
    node = Node(cfg, listener, on_stopping)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, node.reload_settings)
    # Objects created so far live as long as the process. Excluding them shortens each collection.
    gc.freeze()
    gc.enable()
    return await node.run(stop.event)
