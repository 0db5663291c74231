"""The HTTP server for callers. Each connection has a task that runs requests through the chain."""

import asyncio
import socket
from contextlib import suppress
from functools import singledispatchmethod

from almondspindle.adapters.http1.base import HeaderCodec, encode_head
from almondspindle.adapters.http1.caller_connection import (
    CallerConnection,
    RequestReceived,
    RequestRefused,
)
from almondspindle.adapters.http1.sink import HttpSink, reason_phrase
from almondspindle.chain.base import Chain
from almondspindle.core.calls import Call, CallerDisconnected, Completion
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    CONNECTION_FAILED,
    DELIVERED,
    REQUEST_CUT,
    REQUEST_MALFORMED,
    REQUEST_REFUSED,
    RESPONSE_ABORTED,
    RESPONSE_UNSENT,
)
from almondspindle.core.logs import emit
from almondspindle.core.metrics import (
    EXCEPTIONS,
    REFUSALS,
    REQUESTS,
    RESPONSE_TIME,
    RESPONSES,
    TRUNCATED,
    MetricSender,
)
from almondspindle.core.outcomes import InvariantError, Refusal, RefusalCode, RunState
from almondspindle.core.routes import RequestLimits
from almondspindle.decisions.idle_connections import idle_until
from almondspindle.decisions.shutdown import StopSchedule
from almondspindle.utils.addresses import BACKLOG
from almondspindle.utils.in_flight import InFlightCounter
from almondspindle.utils.sockets import accept_backlog, has_unread_bytes

SWEEP_INTERVAL_S = 0.5
CLOSE_INTERVAL_S = 0.05
QUIET_S = 0.25  # idle time before a draining connection closes, as a request may be under way


class HttpServer:
    """Serve callers' connections. While draining, each closes after what has arrived on it."""

    def __init__(
        self, chain: Chain, codec: HeaderCodec, clock: Clock, metrics: MetricSender
    ) -> None:
        self._chain = chain
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self.limits = RequestLimits()
        self._idle_timeout_since = self.now()
        self.in_flight = InFlightCounter()
        self.is_draining = False
        self._schedule: StopSchedule | None = None
        self._timeouts: set[asyncio.Timeout] = set()  # of the calls in process
        self._all_closed = asyncio.Event()

    async def listen(self, listener: socket.socket) -> None:
        """Accept connections at `listener`, including those already in its backlog."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self, self.now()), sock=listener, backlog=BACKLOG
        )

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self._clock.monotonic()

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply `limits` to the requests that begin from now on, and to idle connections."""
        if limits.idle_timeout_s != self.limits.idle_timeout_s:
            self._idle_timeout_since = self.now()
        self.limits = limits

    def start_draining(self, schedule: StopSchedule) -> None:
        """Close each connection after the response to the last request that has arrived.

        Requests that are unfinished at `schedule.answer_by` are ended and refused.
        """
        self.is_draining = True
        self._schedule = schedule
        for timeout in self._timeouts:
            timeout.reschedule(self._loop_time(schedule.answer_by))

    async def stop_accepting(self) -> None:
        """Accept the connections in the listener's backlog, and no more after them."""
        if self._server is not None:
            await accept_backlog(self._server.sockets)
        self.stop_listening()

    async def finish_connections(self, schedule: StopSchedule) -> None:
        """Serve what arrives on open connections, until callers or the schedule ended them all."""
        while self._connections and (left_s := schedule.exit_by - self.now()) > 0:
            self._finish_waiting(self.now() >= schedule.answer_by)
            self._all_closed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._all_closed.wait(), min(left_s, CLOSE_INTERVAL_S))
        for connection in self._connections:
            unsent = connection.transport.get_write_buffer_size()
            if unsent:
                emit(RESPONSE_UNSENT, request_id=connection.last_request_id, bytes=unsent)

    def _finish_waiting(self, is_last_call: bool) -> None:
        """Close quiet connections. If `is_last_call`, end all that wait for bytes.

        A request without a whole head is not refused, since the refusal must name it.
        """
        for connection in list(self._connections):
            if not connection.is_waiting:
                continue
            is_quiet = self.now() - connection.waiting_since >= QUIET_S
            if is_last_call and connection.is_reading_request and connection.has_head:
                connection.refuse_unfinished("the host stops before the request has arrived")
            elif is_last_call or (is_quiet and not connection.is_reading_request):
                self._close_waiting(connection, "stopping")

    def _close_waiting(self, connection: CallerConnection, reason: str) -> None:
        """Close `connection`, unless bytes have arrived that it has not read yet."""
        if connection.transport.is_closing() or has_unread_bytes(connection.transport):
            return
        if connection.is_reading_request:
            waited_s = round(self.now() - connection.waiting_since, 3)
            emit(REQUEST_CUT, reason=reason, waited_s=waited_s)
        connection.transport.close()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def abort(self) -> None:
        """Stop accepting connections, and abort all that are open."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.transport.abort()

    def connection_opened(self, connection: CallerConnection) -> None:
        """Start the task of a new connection."""
        self._connections.add(connection)
        connection.task = asyncio.get_running_loop().create_task(self._serve(connection))

    def connection_closed(self, connection: CallerConnection) -> None:
        """End the task of a closed connection."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()
        if connection.task is not None:
            connection.task.cancel()

    async def run(self) -> None:
        """Close connections that exceed the idle or header time-out, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.close_overdue()

    def close_overdue(self) -> None:
        """Close the connections that exceed the idle or header time-out now."""
        for connection in list(self._connections):
            if not connection.is_waiting:
                continue
            if self.now() > self._wait_end(connection):
                self._close_waiting(connection, "time-out")

    def _wait_end(self, connection: CallerConnection) -> float:
        """Return until when `connection` may wait for the next bytes."""
        if connection.is_reading_request:
            return connection.waiting_since + connection.limits.header_timeout_s
        return idle_until(
            connection.waiting_since,
            connection.limits.idle_timeout_s,
            self.limits.idle_timeout_s,
            self._idle_timeout_since,
        )

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await self._serve_requests(connection)
        except Exception as exc:
            self._metrics.count(EXCEPTIONS)
            emit(CONNECTION_FAILED, request_id="", reason=repr(exc))
        finally:
            # Without its task the connection would stay open, and its caller would wait.
            self._finish(connection)

    async def _serve_requests(self, connection: CallerConnection) -> None:
        while not connection.is_closed:
            request = await connection.requests.get()
            connection.is_busy = True
            try:
                stays_open = await self._respond(request, connection)
            except CallerDisconnected:
                return
            connection.start_waiting(self.now())
            if not stays_open:
                return

    def _finish(self, connection: CallerConnection) -> None:
        if not connection.is_closed and not connection.requests.empty():
            emit(REQUEST_CUT, reason="last response", pipelined=connection.requests.qsize())
        connection.finish()

    @singledispatchmethod
    async def _respond(self, request: object, connection: CallerConnection) -> bool:
        """Respond to `request` and return whether the connection stays open."""
        raise InvariantError(f"unexpected request {type(request).__name__}")

    @_respond.register
    async def _(self, request: RequestRefused, connection: CallerConnection) -> bool:
        request_id = self._codec.request_id(request.headers)
        emit(REQUEST_MALFORMED, request_id=request_id, reason=request.refusal.message)
        self._metrics.count(REFUSALS)
        self._write_refusal(connection, request_id, request.refusal, closes=True)
        return False

    @_respond.register
    async def _(self, request: RequestReceived, connection: CallerConnection) -> bool:
        now = self.now()
        self._metrics.count(REQUESTS)
        sink = HttpSink(connection, request)
        self.in_flight.enter()
        try:
            return await self._process(request, sink, connection, now)
        except CallerDisconnected:
            raise
        except Exception as exc:
            return self._end_failed(request, sink, connection, exc)
        finally:
            self.in_flight.leave()

    async def _process(
        self, request: RequestReceived, sink: HttpSink, connection: CallerConnection, now: float
    ) -> bool:
        connection.last_request_id = self._codec.request_id(request.headers)
        read = self._codec.read_call(
            request.method, request.path, request.headers, request.body, now
        )
        if read.is_error():
            request_id = self._codec.request_id(request.headers)
            emit(REQUEST_MALFORMED, request_id=request_id, reason=read.error.message)
            self._write_refusal(connection, "", read.error, closes=True)
            return False
        return await self._run_call(read.ok, sink, connection, now)

    def _end_failed(
        self,
        request: RequestReceived,
        sink: HttpSink,
        connection: CallerConnection,
        exc: Exception,
    ) -> bool:
        """End a request that raised `exc`: refuse it, or cut the response that has begun."""
        request_id = self._codec.request_id(request.headers)
        self._metrics.count(EXCEPTIONS)
        emit(CONNECTION_FAILED, request_id=request_id, reason=repr(exc), status=sink.status)
        if sink.status:
            self._metrics.count(TRUNCATED)
            connection.transport.abort()
            return False
        self._metrics.count(REFUSALS)
        # It isn't known whether the request was sent to a target.
        refusal = Refusal(RefusalCode.INTERNAL_ERROR, "internal error", RunState.UNKNOWN)
        self._write_refusal(connection, request_id, refusal, closes=True)
        return False

    async def _run_call(
        self, call: Call, sink: HttpSink, connection: CallerConnection, started_at: float
    ) -> bool:
        try:
            completion = await self._run_chain(call, sink)
        except (CallerDisconnected, asyncio.CancelledError):
            emit(
                RESPONSE_ABORTED,
                request_id=call.request_id,
                after_s=round(self.now() - started_at, 4),
                status=sink.status,
            )
            raise
        self._log_completion(call, completion, sink, started_at)
        if completion.refusal is None:
            return not sink.closes_connection
        if completion.started:
            self._metrics.count(TRUNCATED)
            connection.transport.abort()
            return False
        closes = sink.is_last()
        self._write_refusal(connection, call.request_id, completion.refusal, closes)
        return not closes

    async def _run_chain(self, call: Call, sink: HttpSink) -> Completion:
        """Run `call`. At the end of a graceful shutdown it is ended while it can be refused."""
        timeout = asyncio.timeout_at(self._call_end())
        self._timeouts.add(timeout)
        try:
            async with timeout:
                return await self._chain.run(call, sink)
        except TimeoutError:
            if not timeout.expired():
                raise
            text = "the host stopped before the response was complete"
            refusal = Refusal(RefusalCode.STOPPING, text, RunState.UNKNOWN)
            return Completion(sink.status != 0, refusal)
        finally:
            self._timeouts.discard(timeout)

    def _call_end(self) -> float | None:
        """Return when a call that begins now is ended, on the loop's clock, None if it isn't.

        After the time to answer, filters refuse each call at once.
        """
        if self._schedule is None or self.now() >= self._schedule.answer_by:
            return None
        return self._loop_time(self._schedule.answer_by)

    def _loop_time(self, at: float) -> float:
        return asyncio.get_running_loop().time() + at - self.now()

    def _log_completion(
        self, call: Call, completion: Completion, sink: HttpSink, started_at: float
    ) -> None:
        took_s = self.now() - started_at
        self._metrics.time(RESPONSE_TIME, took_s)
        if completion.refusal is None:
            self._metrics.count(RESPONSES)
            emit(
                DELIVERED,
                request_id=call.request_id,
                status=sink.status,
                bytes=sink.length,
                took_s=round(took_s, 4),
            )
            return
        self._metrics.count(REFUSALS)
        emit(
            REQUEST_REFUSED,
            request_id=call.request_id,
            code=completion.refusal.code,
            run_state=completion.refusal.run_state,
            reason=completion.refusal.message,
            started=completion.started,
            took_s=round(took_s, 4),
        )

    def _write_refusal(
        self, connection: CallerConnection, request_id: str, refusal: Refusal, closes: bool
    ) -> None:
        status = self._codec.refusal_status(refusal)
        body = refusal.message.encode()
        headers = (
            *self._codec.refusal_headers(request_id, refusal),
            ("Content-Length", str(len(body))),
            *((("Connection", "close"),) if closes else ()),
        )
        head = encode_head(f"HTTP/1.1 {status} {reason_phrase(status)}", headers)
        connection.transport.write(head + body)
