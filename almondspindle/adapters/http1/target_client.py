"""Send calls to targets over pooled connections, and read their responses."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from almondspindle.adapters.http1.base import HeaderCodec, encode_head
from almondspindle.adapters.http1.pool import ConnectionPool, Lease
from almondspindle.adapters.http1.response_buffer import ResponseBuffer
from almondspindle.adapters.http1.target_connection import (
    BodyReceived,
    HeadReceived,
    ResponseBroken,
    ResponseComplete,
    TargetConnection,
)
from almondspindle.adapters.target.events import EventTooLong
from almondspindle.controllers.placement.messages import MayProbe
from almondspindle.core.calls import Call, ResponseHead, ResponseSink, WorkKind
from almondspindle.core.clock import Clock
from almondspindle.core.events import CONNECTION_FAILED
from almondspindle.core.identifiers import TargetName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import ATTEMPTS, MetricSender
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.placements import (
    AttemptEnd,
    AttemptReport,
    ResponseMetadata,
    TargetNotice,
)
from almondspindle.core.steps import TimedStep
from almondspindle.decisions.idle_timeout import IdleTimeouts
from almondspindle.decisions.response_bounds import (
    MAX_REJECTION_BYTES,
    MAX_RESPONSE_BYTES,
    KeptBytes,
)
from almondspindle.utils.idle_timer import IdleTimer

FIRST_REDIRECT_STATUS = 300
HTTP_OK = 200


class PooledTargetClient:
    """Send calls to targets over pooled connections.

    Each attempt writes its request at most once; this class never sends a request again.
    `on_notice` gets what a target says about itself as soon as the head of its response arrives,
    however the attempt ends. `may_probe` tells whether the target of an attempt may be asked by a
    new connection if it is down.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: HeaderCodec,
        clock: Clock,
        metrics: MetricSender,
        on_notice: Callable[[TargetNotice], None],
        may_probe: Callable[[MayProbe], Awaitable[bool]],
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._on_notice = on_notice
        self._may_probe = may_probe
        self._kept = KeptBytes()
        self._probes: dict[tuple[TargetName, str], asyncio.Task[bool]] = {}

    def begin_response(self, call: Call, sink: ResponseSink) -> ResponseBuffer:
        """Return a buffer for the response to `call` that is written to `sink`."""
        return ResponseBuffer(sink, last_event=call.resume_after)

    async def attempt(
        self,
        call: Call,
        progress: ResponseBuffer,
        timeouts: IdleTimeouts,
        may_leave: Callable[[int], Awaitable[bool]],
    ) -> AttemptReport:
        """Send `call` to its target once and feed the response to `progress`.

        After each idle time-out the attempt ends if `may_leave` allows it, and else waits on. That
        gets the number of time-outs since the last byte.
        """
        if call.target is None:
            raise InvariantError("a call was sent without a target")
        leased = await self._pool.lease(call.target, call.target_address)
        if leased.is_error():
            return AttemptReport(
                AttemptEnd.NOT_CONNECTED, started=progress.started, detail=leased.error
            )
        connection = leased.ok.connection
        exchange = _Exchange(
            call,
            progress,
            connection,
            leased.ok.is_reused,
            self._codec,
            self._clock,
            self._kept,
            may_leave,
            self._on_notice,
        )
        self._metrics.count(ATTEMPTS)
        try:
            report = await exchange.run(timeouts)
        finally:
            exchange.account(0)
            if exchange.may_reuse:
                self._pool.release(
                    call.target, call.target_address, connection, exchange.raw_headers
                )
            else:
                connection.close()
        if call.content_id and exchange.may_be_down(report.end):
            report = replace(report, target_is_down=await self._is_down(call, call.target))
        return _with_reuse_note(report, leased.ok)

    async def _is_down(self, call: Call, target: TargetName) -> bool:
        if call.ticket is not None and not await self._may_probe(MayProbe(call.ticket)):
            return False
        return await self._refuses_connections(target, call.target_address)

    async def _refuses_connections(self, target: TargetName, address: str) -> bool:
        """Ask a target by one new connection, however many attempts it has ended at a time."""
        key = (target, address)
        probe = self._probes.get(key)
        if probe is None:
            connecting = self._pool.refuses_connections(target, address)
            probe = self._probes[key] = asyncio.get_running_loop().create_task(connecting)
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)


def _media_type(head: ResponseMetadata | ResponseHead) -> str:
    values = (value for name, value in head.headers if name.lower() == "content-type")
    return next(values, "").partition(";")[0].strip().lower()


def _with_reuse_note(report: AttemptReport, lease: Lease) -> AttemptReport:
    """Return `report`, with a note in its detail if a reused connection broke."""
    if report.end is AttemptEnd.CONNECTION_BROKEN and lease.is_reused:
        return replace(report, detail=f"{report.detail} (reused connection)")
    return report


@dataclass(slots=True)
class _Exchange:
    """One request on one connection, and its response."""

    call: Call
    progress: ResponseBuffer
    connection: TargetConnection
    is_reused: bool  # whether the connection has carried requests before
    codec: HeaderCodec
    clock: Clock
    kept: KeptBytes
    may_leave: Callable[[int], Awaitable[bool]]
    on_notice: Callable[[TargetNotice], None]
    kept_here: int = 0  # bytes of this response in `kept`
    rejected_bytes: int = 0
    may_reuse: bool = False
    is_cut: bool = False  # whether the response ended before it was complete
    raw_headers: tuple[tuple[str, str], ...] = ()
    metadata: ResponseMetadata | None = None
    status: int = 0
    keep_alive: bool = False
    ends_at_close: bool = False
    report: AttemptReport | None = None
    parts: int = 0  # of the response that were received
    silences: int = 0  # idle time-outs since the last of them
    events: int = 0  # of a stream that were received
    sent_at: float = 0.0
    first_byte_s: float | None = None
    has_left: bool = False
    leaving: asyncio.Task[None] | None = None

    async def run(self, timeouts: IdleTimeouts) -> AttemptReport:
        """Send the request, process its response, and return the report of the attempt."""
        self.progress.has_body = False
        self.sent_at = self.clock.monotonic()
        headers = self.codec.request_headers(self.call, self.sent_at)
        try:
            head = encode_head(f"{self.call.method} {self.call.path} HTTP/1.1", headers)
        except ValueError as exc:
            self.may_reuse = not self.connection.is_unusable
            return self._report(AttemptEnd.UNSENDABLE, str(exc))
        self.connection.send(head + self.call.body, self.call.method == "HEAD")
        timer = IdleTimer(timeouts, self.clock, lambda: self._on_idle_timeout(timer))
        with timer:
            try:
                while self.report is None:
                    part = await self.connection.next_part()
                    self.parts += 1
                    self.silences = 0
                    timer.note_progress()
                    await self.process(part)
                    timer.start_waiting()
            finally:
                if self.leaving is not None:
                    await self.leaving
        if self.has_left and self.report.end is AttemptEnd.CONNECTION_BROKEN:
            return self._report(
                AttemptEnd.IDLE_TIMEOUT, "no bytes received within the idle time-out"
            )
        return self.report

    def may_be_down(self, end: AttemptEnd) -> bool:
        """Return whether the end of the attempt may be the end of the target.

        That is so if the response was cut, and if nothing but the end of the connection ended it,
        unless the target has said that it is about to stop.
        """
        if self.metadata is not None and self.metadata.is_leaving:
            return False
        was_cut = self.is_cut and end is AttemptEnd.CONNECTION_BROKEN
        return was_cut or (self.ends_at_close and end is AttemptEnd.ANSWERED)

    def account(self, size: int) -> None:
        """Record that `size` bytes of this response are kept in memory."""
        self.kept.total += size - self.kept_here
        self.kept_here = size

    def _on_idle_timeout(self, timer: IdleTimer) -> None:
        self.leaving = asyncio.get_running_loop().create_task(self._leave(timer))

    async def _leave(self, timer: IdleTimer) -> None:
        parts = self.parts
        self.silences += 1
        try:
            may_leave = await self.may_leave(self.silences)
        except Exception as exc:
            emit(CONNECTION_FAILED, request_id=self.call.request_id, reason=repr(exc))
            may_leave = False
        if self.report is not None:
            return
        if may_leave and self.parts == parts:
            self.has_left = True
            self.connection.close()
        else:
            timer.restart()

    @singledispatchmethod
    async def process(self, part: object) -> None:
        """Process the next part of the response."""
        raise InvariantError(f"unexpected response part {type(part).__name__}")

    @process.register
    async def _(self, part: HeadReceived) -> None:
        self.raw_headers = part.headers
        self.status = part.status
        self.keep_alive = part.keep_alive
        self.ends_at_close = part.ends_at_close
        with TimedStep(self.clock, "response head", target=self.call.target, status=part.status):
            metadata = self.codec.read_response_head(part.status, part.headers)
        self.metadata = metadata
        self._notify(metadata)
        fault = self._find_fault(metadata)
        if fault is not None:
            self._finish(AttemptEnd.CONNECTION_BROKEN, fault)
            return
        if metadata.is_not_run:
            return
        is_stream = self.call.work is WorkKind.CHAT and part.status == HTTP_OK
        if part.length is not None and part.length > MAX_RESPONSE_BYTES:
            self._finish(
                AttemptEnd.CONNECTION_BROKEN,
                f"response of {part.length} bytes is too large to buffer",
            )
            return
        target = self.call.target
        if target is None:
            raise InvariantError("a call was sent without a target")
        self.progress.begin(ResponseHead(part.status, metadata.headers, target), is_stream)

    @process.register
    async def _(self, part: BodyReceived) -> None:
        if self.metadata is not None and self.metadata.is_not_run:
            self.rejected_bytes += len(part.data)
            if self.rejected_bytes > MAX_REJECTION_BYTES:
                self._finish_rejected()
            return
        try:
            fault = await self.progress.feed(part.data)
        except EventTooLong:
            fault = "an event of the stream is too long"
        self.account(self.progress.kept_bytes)
        self.events += self.progress.events
        if self.first_byte_s is None and self.progress.has_body:
            self.first_byte_s = self.clock.monotonic() - self.sent_at
        self.connection.pace(self.progress.events)
        fault = fault or self.kept.find_fault(self.kept_here)
        if fault is not None:
            self._finish(AttemptEnd.CONNECTION_BROKEN, fault)

    @process.register
    async def _(self, part: ResponseComplete) -> None:
        metadata = self.metadata
        if metadata is None:
            raise InvariantError("a response ended before its head")
        is_rejected = metadata.is_not_run
        fault = None if is_rejected else self.progress.find_fault_at_end(self.ends_at_close)
        if fault is not None:
            self.is_cut = True
            self._finish(AttemptEnd.CONNECTION_BROKEN, fault)
            return
        self.may_reuse = self.keep_alive and self.connection.may_carry_another
        if is_rejected:
            self._finish_rejected()
            return
        self._finish(AttemptEnd.ANSWERED, "")

    @process.register
    async def _(self, part: ResponseBroken) -> None:
        self.is_cut = True
        self._finish(AttemptEnd.CONNECTION_BROKEN, part.reason)

    def _notify(self, metadata: ResponseMetadata) -> None:
        if self.call.ticket is None or not (metadata.is_leaving or metadata.pause):
            return
        is_misdirected = self.status == self.codec.MISDIRECTED
        self.on_notice(
            TargetNotice(
                self.call.ticket,
                metadata.instance,
                is_misdirected,
                metadata.is_leaving,
                metadata.pause,
            )
        )

    def _is_own(self, metadata: ResponseMetadata) -> bool:
        """Return whether the response is to this request, and not a late copy of an earlier one.

        A target that could not read the request rejects it without naming it. On a connection that
        has carried other requests, such a response may be to one of those.
        """
        if metadata.request_id is None:
            return metadata.is_not_run and not self.is_reused
        return metadata.request_id == self.call.request_id

    def _find_fault(self, metadata: ResponseMetadata) -> str | None:
        """Return why the response must not be forwarded, or None.

        It may not be the target's own response to this request, or not the rest of its stream.
        """
        if not self._is_own(metadata):
            return f"the response belongs to request {metadata.request_id}"
        if HTTP_OK <= self.status < FIRST_REDIRECT_STATUS and not metadata.is_stamped:
            return "successful response without the target's stamp"
        if HTTP_OK <= self.status < FIRST_REDIRECT_STATUS and metadata.is_encoded:
            return "the body has a content encoding"
        if metadata.is_not_run:
            return None
        if self.progress.started and self.status != HTTP_OK:
            return f"the target did not resume the stream: status {self.status}"
        first = self.progress.head
        if self.progress.started and first and _media_type(metadata) != _media_type(first):
            return f"the target did not resume the stream: {_media_type(metadata)}"
        return None

    def _finish_rejected(self) -> None:
        is_misdirected = self.status == self.codec.MISDIRECTED
        end = AttemptEnd.MISDIRECTED if is_misdirected else AttemptEnd.REJECTED
        self._finish(end, f"status {self.status}")

    def _finish(self, end: AttemptEnd, detail: str) -> None:
        if self.report is None:
            self.report = self._report(end, detail)

    def _report(self, end: AttemptEnd, detail: str) -> AttemptReport:
        return AttemptReport(
            end=end,
            status=self.status,
            started=self.progress.started,
            detail=detail,
            wrote_body=self.progress.has_body,
            cold_left_s=self.metadata.cold_left_s if self.metadata else None,
            events=self.events,
            first_byte_s=self.first_byte_s,
            occupancy=self.metadata.occupancy if self.metadata else None,
        )
