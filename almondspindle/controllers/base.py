"""Base class of all controllers: a task that handles typed messages from an inbox."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import singledispatchmethod
from typing import Any, Generic, TypeVar

from almondspindle.core.clock import Clock
from almondspindle.core.events import MESSAGE_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.outcomes import InvariantError
from almondspindle.core.steps import TimedStep

R = TypeVar("R")  # type of the response to a request

INBOX_LIMIT = 10_000  # maximum number of queued messages
# A controller that can't handle so many messages in succession isn't of use any more.
MAX_FAILURES_IN_SUCCESSION = 100


class OnException(StrEnum):
    """What a controller does after an exception in the handler of a message."""

    END = "end"  # end with the exception, for state that must not be used half changed
    DROP = "drop"  # drop the message and keep the state, for state that can't be learnt again soon
    RESET = "reset"  # discard the state, which is learnt again, and handle the message once more


class MessageFailed(Exception):
    """A controller could not handle a request, or has ended."""


class ControllerRequest(Generic[R]):
    """Base class of messages that expect a response of type `R`."""

    __slots__ = ()


@dataclass(slots=True)
class _Envelope:
    message: object
    response: "asyncio.Future[Any] | None"


class Controller:
    """Own a part of the state and change it only while handling a message.

    Subclasses register one implementation of `handle` per message type. Handlers never await, so
    each message sees a consistent state. Sockets belong to other tasks, which send their results
    to the controller as messages. `on_exception` says what an exception in a handler costs.
    """

    on_exception = OnException.END

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._inbox: asyncio.Queue[_Envelope] = asyncio.Queue(INBOX_LIMIT)
        self._failures = 0  # in succession
        self._ended = False

    def reset(self) -> None:
        """Discard the state. Controllers with `OnException.RESET` implement it."""
        raise InvariantError(f"{type(self).__name__} cannot discard its state")

    def send(self, message: object) -> None:
        """Put `message` into the inbox without waiting until it is handled.

        Raise `asyncio.QueueFull` if the inbox already holds `INBOX_LIMIT` messages. After the end
        of the controller the message is dropped.
        """
        if self._ended:
            return
        self._inbox.put_nowait(_Envelope(message, None))

    async def request(self, request: ControllerRequest[R]) -> R:
        """Send `request` and return the response to it.

        Wait for space if the inbox is full. Raise `MessageFailed` if the request can't be handled.
        """
        return await (await self._put_request(request))

    async def request_reservation(
        self, request: ControllerRequest[R], release: Callable[[R], None]
    ) -> R:
        """Send `request`, which reserves something, and return the response to it.

        If the requester is cancelled first, pass the response to `release` once it comes. Raise
        `MessageFailed` if the request can't be handled.
        """
        future = await self._put_request(request)
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            future.add_done_callback(lambda done: _release(done, release))
            raise

    async def _put_request(self, request: ControllerRequest[R]) -> "asyncio.Future[R]":
        future: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        if not self._ended:
            await self._inbox.put(_Envelope(request, future))
        if self._ended:  # it may have ended while the inbox was full
            raise MessageFailed(f"{type(self).__name__} has ended")
        return future

    async def run(self) -> None:
        """Handle messages one at a time, in order of arrival, until cancelled.

        Raise the exception of a handler if `on_exception` or the number of failures demands it.
        """
        try:
            while True:
                self._process(await self._inbox.get())
        except Exception:
            self._ended = True
            while not self._inbox.empty():
                _fail(self._inbox.get_nowait(), f"{type(self).__name__} has ended")
            raise

    def _process(self, envelope: _Envelope) -> None:
        now = self._clock.monotonic()
        step = TimedStep(self._clock, type(self).__name__, message=type(envelope.message).__name__)
        try:
            with step:
                response = self._handle_or_reset(envelope.message, now)
        except Exception as exc:
            _fail(envelope, repr(exc))
            self._failures += 1
            self._log(envelope.message, exc, self.on_exception)
            if self.on_exception is OnException.END or self._failures >= MAX_FAILURES_IN_SUCCESSION:
                raise
            return
        self._failures = 0
        if envelope.response is not None and not envelope.response.done():
            envelope.response.set_result(response)

    def _handle_or_reset(self, message: object, now: float) -> Any:
        """Handle `message`, and if that fails once more with an empty state, if it may be reset."""
        try:
            return self.handle(message, now)
        except Exception as exc:
            if self.on_exception is not OnException.RESET:
                raise
            self._log(message, exc, OnException.RESET)
            self.reset()
            return self.handle(message, now)

    def _log(self, message: object, exc: Exception, action: OnException) -> None:
        emit(
            MESSAGE_FAILED,
            controller=type(self).__name__,
            message=type(message).__name__,
            reason=repr(exc),
            action=action,
        )

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Update the state for `msg`; return the response if `msg` is a request.

        `now` is in seconds on the monotonic clock. Raise `InvariantError` for a message type
        without a registered implementation.
        """
        raise InvariantError(f"{type(self).__name__} cannot handle {type(msg).__name__}")


def _release(future: "asyncio.Future[R]", release: Callable[[R], None]) -> None:
    if future.exception() is None:
        release(future.result())


def _fail(envelope: _Envelope, reason: str) -> None:
    """Tell the requester of `envelope`, if it has one that waits, that there is no response."""
    if envelope.response is not None and not envelope.response.done():
        envelope.response.set_exception(MessageFailed(reason))
