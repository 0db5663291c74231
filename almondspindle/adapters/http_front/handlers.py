"""Tornado handlers that convert HTTP requests into calls and response parts into HTTP."""

import asyncio
import json
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from almondspindle.adapters.http_front.base import (
    CHAT_ID_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    STATUS_BY_CODE,
    TARGET_HEADER,
    refusal_body,
)
from almondspindle.adapters.http_front.models import parse_chat
from almondspindle.chain.measure import MeasuredChain
from almondspindle.conf.entry import EntryCfg
from almondspindle.core.calls import (
    Call,
    CallerDisconnected,
    Completion,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    ResponseSink,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    CALLER_DISCONNECTED,
    CONNECTION_FAILED,
    REQUEST_DONE,
    REQUEST_REFUSED,
)
from almondspindle.core.identifiers import ChatId, RequestId, ServiceName, new_request_id
from almondspindle.core.logs import emit
from almondspindle.core.metrics import (
    EXCEPTIONS,
    FIRST_BYTE,
    REFUSALS,
    REQUESTS,
    RESPONSES,
    MetricSender,
)
from almondspindle.core.outcomes import (
    Error,
    InvariantError,
    Ok,
    Outcome,
    Refusal,
    RefusalCode,
    RunState,
    refused,
)
from almondspindle.decisions.idempotency_keys import qualify_run_state
from almondspindle.decisions.responses import EVENT_STREAM
from almondspindle.utils.in_flight import InFlightCounter
from almondspindle.utils.numbers import parse_digits

BEARER_PREFIX = "bearer "
MS_PER_S = 1000.0
CHAT_PATH = "/v1/chat/completions"
MAX_CHAT_ID_CHARS = 128


@dataclass(slots=True)
class HandlerContext:
    """The objects that the handlers of an entry share. `tasks` run the calls in process."""

    cfg: EntryCfg
    chain: MeasuredChain
    clock: Clock
    metrics: MetricSender
    in_flight: InFlightCounter = field(default_factory=InFlightCounter)
    is_stopping: bool = False
    is_stopped: bool = False
    tasks: set[asyncio.Task[Completion]] = field(default_factory=set)

    def run_chain(self, call: Call, sink: ResponseSink) -> asyncio.Task[Completion]:
        """Return a task that runs `call` through the chain."""
        task = asyncio.ensure_future(self.chain.run(call, sink))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def end_calls(self) -> None:
        """End the calls in process. Their handlers refuse them with an unknown outcome."""
        self.is_stopped = True
        for task in list(self.tasks):
            task.cancel()


@stream_request_body
class CallHandler(RequestHandler):
    """Read a request, run it through the chain, and write the response as it arrives."""

    def initialize(self, context: HandlerContext) -> None:
        """Prepare the handler for one request. Called by tornado."""
        self._context = context
        self._body = bytearray()
        self._early_refusal: Refusal | None = None
        self._task: asyncio.Task[Completion] | None = None
        self._request_id = RequestId(new_request_id())
        self._received_at = context.clock.monotonic()
        self._is_counted = False
        self._is_serving = False
        self._is_complete = False
        self._has_begun = False
        self._body_bytes = 0

    def prepare(self) -> None:
        """Count the request as in flight. Refuse a body announced as larger than the limit."""
        self._is_counted = True
        self._context.in_flight.enter()
        # Chunks are small. Nagle's algorithm would delay each until the one before is acknowledged.
        self.request.connection.stream.set_nodelay(True)  # type: ignore[union-attr]
        content_length = self.request.headers.get("Content-Length", "0")
        length = parse_digits(content_length)
        is_too_large = length is None or length > self._context.cfg.max_body_bytes
        if content_length.isdigit() and is_too_large:
            self._early_refusal = self._body_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Append to the body, up to its limit. Discard what is received after a refusal."""
        if self._early_refusal is not None:
            return
        self._body += chunk
        if len(self._body) > self._context.cfg.max_body_bytes:
            self._body.clear()
            self._early_refusal = self._body_refusal()

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that disconnected before its response was complete."""
        if self._task is not None and not self._is_complete:
            self._task.cancel()
        if not self._is_serving:
            self._leave_in_flight()

    def _leave_in_flight(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._context.in_flight.leave()

    async def _serve(self, **path_args: str) -> None:
        context = self._context
        self._is_serving = True
        context.metrics.count(REQUESTS)
        try:
            await self._respond(path_args)
        except (CallerDisconnected, asyncio.CancelledError, StreamClosedError):
            emit(CALLER_DISCONNECTED, request_id=self._request_id)
        except Exception as exc:
            await self._end_failed(exc)
        finally:
            self._leave_in_flight()
            if context.is_stopping:
                self._close_connection()

    async def _end_failed(self, exc: Exception) -> None:
        """End a request that raised `exc`. tornado would complete a response that has begun."""
        self._context.metrics.count(EXCEPTIONS)
        emit(CONNECTION_FAILED, request_id=self._request_id, reason=repr(exc))
        if self._headers_written:
            self._close_connection()
            return
        # It isn't known whether the request was sent to a target.
        await self._refuse(Refusal(RefusalCode.INTERNAL_ERROR, "internal error", RunState.UNKNOWN))

    async def _respond(self, path_args: dict[str, str]) -> None:
        outcome = (
            self.make_call(path_args) if self._early_refusal is None else Error(self._early_refusal)
        )
        if outcome.is_error():
            call = self._new_call(self._received_at)
            await self._refuse(qualify_run_state(call, outcome.error))
            return
        self._task = self._context.run_chain(outcome.ok, HandlerSink(self))
        completion = await self._wait_completion(self._task)
        if completion.refusal is None:
            self._log_completion(outcome.ok)
        elif completion.started:
            await self._abort_response(completion.refusal)
        else:
            await self._refuse(completion.refusal)

    async def _wait_completion(self, task: asyncio.Task[Completion]) -> Completion:
        try:
            return await task
        except asyncio.CancelledError:
            if not self._context.is_stopped:
                raise
            text = "the entry stopped before the response was complete"
            refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, text, RunState.UNKNOWN)
            return Completion(self._has_begun, refusal)

    def make_call(self, path_args: dict[str, str]) -> Outcome[Call]:
        """Return the call for this request, or a refusal. Subclasses must override this method."""
        raise NotImplementedError

    def base_call(self) -> Outcome[Call]:
        """Return the call with the fields that are common to all kinds of request.

        Return a refusal if the deadline header is invalid.
        """
        deadline_s = self._deadline_s()
        if deadline_s is None:
            return refused(
                RefusalCode.MALFORMED_REQUEST,
                f"{DEADLINE_HEADER} must be a positive integer, in milliseconds",
            )
        return Ok(self._new_call(self._received_at + deadline_s))

    def _new_call(self, deadline_at: float) -> Call:
        return Call(
            request_id=self._request_id,
            deadline_at=deadline_at,
            method=self.request.method or "",
            path=self.request.path,
            headers=tuple(self.request.headers.get_all()),
            body=bytes(self._body),
            bearer_token=self._token(),
        )

    def _deadline_s(self) -> float | None:
        cfg = self._context.cfg
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return cfg.default_deadline_s
        deadline_ms = parse_digits(text)
        return min(deadline_ms / MS_PER_S, cfg.max_deadline_s) if deadline_ms else None

    def _token(self) -> str | None:
        text = self.request.headers.get("Authorization", "")
        if not text.lower().startswith(BEARER_PREFIX):
            return None
        return text[len(BEARER_PREFIX) :].strip()

    def _body_refusal(self) -> Refusal:
        limit = self._context.cfg.max_body_bytes
        return Refusal(RefusalCode.BODY_TOO_LARGE, f"the body exceeds the limit of {limit} bytes")

    def start_response(self, head: ResponseHead) -> None:
        """Set the status and headers of the response."""
        self._context.metrics.time(FIRST_BYTE, self._context.clock.monotonic() - self._received_at)
        self._has_begun = True
        self.set_status(head.status)
        self.clear_header("Content-Type")
        for name, value in head.headers:
            if name.lower() not in RESERVED_HEADERS:
                self.add_header(name, value)
        self.set_header(TARGET_HEADER, head.target)
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self._announce_close()

    def is_event_stream(self) -> bool:
        """Return whether the response is an event stream. Its head is sent with its first chunk."""
        return self._headers.get("Content-Type", "").startswith(EVENT_STREAM)

    def _announce_close(self) -> None:
        """While stopping, announce to the caller that the connection accepts no further request."""
        if self._context.is_stopping:
            self.set_header("Connection", "close")

    def _close_connection(self) -> None:
        """Close the connection after the data already written to it."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _log_completion(self, call: Call) -> None:
        self._context.metrics.count(RESPONSES)
        emit(REQUEST_DONE, request_id=call.request_id, service=call.service)

    async def _refuse(self, refusal: Refusal) -> None:
        self._log_refusal(refusal)
        self.set_status(STATUS_BY_CODE[refusal.code])
        self.set_header("Content-Type", "application/json")
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        if refusal.retry_after_s is not None:
            self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        if refusal.code is RefusalCode.BODY_TOO_LARGE:
            self.set_header("Connection", "close")
        self._announce_close()
        await self.finish(refusal_body(refusal))

    def write_body(self, data: bytes) -> None:
        """Write a piece of the body. With a Content-Length, the last byte ends the response."""
        self._body_bytes += len(data)
        self._is_complete = self._headers.get("Content-Length") == str(self._body_bytes)
        self.write(data)

    async def end_response(self) -> None:
        """Write the end of a complete response. The caller may then close its connection."""
        self._is_complete = True
        await self.finish()

    async def _abort_response(self, refusal: Refusal) -> None:
        """Abort a started response so that the caller can tell that it is truncated."""
        self._log_refusal(refusal)
        if self.is_event_stream():
            self.write(b"event: error\ndata: " + refusal_body(refusal) + b"\n\n")
        await self.flush()
        # The last chunk of the encoding is not written, so the caller sees a truncated response.
        self._close_connection()

    def _log_refusal(self, refusal: Refusal) -> None:
        self._context.metrics.count(REFUSALS)
        emit(
            REQUEST_REFUSED,
            request_id=self._request_id,
            code=refusal.code,
            reason=refusal.message,
            run_state=refusal.run_state,
        )

    get = post = put = delete = patch = head = options = _serve


RESERVED_HEADERS = frozenset({REQUEST_ID_HEADER.lower(), TARGET_HEADER.lower(), "date", "server"})


class HandlerSink:
    """Write response parts to a handler's connection. A write waits while the caller is slow."""

    def __init__(self, handler: CallHandler) -> None:
        self._handler = handler

    async def write(self, part: ResponsePart) -> None:
        """Write `part`. Raise `CallerDisconnected` if the caller has closed its connection."""
        try:
            await _write(part, self._handler)
        except StreamClosedError as exc:
            raise CallerDisconnected from exc


# A singledispatch function costs a fifth of a singledispatchmethod, which is bound for each part.
@singledispatch
async def _write(part: Any, handler: CallHandler) -> None:
    raise InvariantError(f"unexpected response part {type(part).__name__}")


@_write.register
async def _(part: ResponseHead, handler: CallHandler) -> None:
    handler.start_response(part)
    if not handler.is_event_stream():
        await handler.flush()


@_write.register
async def _(part: ResponseChunk, handler: CallHandler) -> None:
    handler.write_body(part.data)
    await handler.flush()


@_write.register
async def _(part: ResponseEnd, handler: CallHandler) -> None:
    await handler.end_response()


class ChatHandler(CallHandler):
    """Handle chats: `POST /v1/chat/completions`."""

    def make_call(self, path_args: dict[str, str]) -> Outcome[Call]:
        """Return the call for a chat. The model in the body is the name of the service."""
        if self.request.method != "POST":
            return refused(RefusalCode.UNKNOWN_PATH, f"{CHAT_PATH} accepts only POST")
        chat = parse_chat(bytes(self._body))
        if chat.is_error():
            return chat  # type: ignore[return-value]
        chat_id = self.request.headers.get(CHAT_ID_HEADER)
        if chat_id is not None and not 0 < len(chat_id) <= MAX_CHAT_ID_CHARS:
            text = f"{CHAT_ID_HEADER} must have 1 to {MAX_CHAT_ID_CHARS} characters"
            return refused(RefusalCode.MALFORMED_REQUEST, text)
        return self.base_call().map(
            lambda call: call.copy_with(
                service=ServiceName(chat.ok.model),
                chat_id=ChatId(chat_id) if chat_id else None,
                target_path=CHAT_PATH,
            )
        )


class ServiceHandler(CallHandler):
    """Handle plain services: `/services/<name>/...`."""

    def make_call(self, path_args: dict[str, str]) -> Outcome[Call]:
        """Return the call for a plain service. The rest of the path is sent to the target."""
        query = f"?{self.request.query}" if self.request.query else ""
        path = "/" + path_args["rest"] + query
        return self.base_call().map(
            lambda call: call.copy_with(service=ServiceName(path_args["name"]), target_path=path)
        )


class UnknownPathHandler(CallHandler):
    """Refuse all other paths."""

    def make_call(self, path_args: dict[str, str]) -> Outcome[Call]:
        """Return a refusal that lists the valid paths."""
        return refused(
            RefusalCode.UNKNOWN_PATH,
            f"unknown path; use {CHAT_PATH}, /services/<name>/..., /healthz or /readyz",
        )


class HealthHandler(RequestHandler):
    """Liveness check of the process."""

    def get(self) -> None:
        """Respond with 200."""
        self.finish("ok\n")


class ReadyHandler(RequestHandler):
    """Readiness check: whether the load balancer should send new requests to this entry."""

    def initialize(self, context: HandlerContext, not_ready_reason: Any) -> None:
        """Keep the context and the readiness check. Called by tornado for each request."""
        self._context = context
        self._not_ready_reason = not_ready_reason

    async def get(self) -> None:
        """Respond with 200 if ready, otherwise with 503 and the reason."""
        reason = "stopping" if self._context.is_stopping else await self._not_ready_reason()
        self.set_status(503 if reason else 200)
        self.finish(json.dumps({"ready": reason is None, "reason": reason}))
