"""Base class of all controllers: a task that handles typed messages from an inbox."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, Generic, TypeVar

from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import InvariantError

R = TypeVar("R")  # type of the response to a request

INBOX_LIMIT = 10_000  # maximum number of queued messages


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
    to the controller as messages.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._inbox: asyncio.Queue[_Envelope] = asyncio.Queue(INBOX_LIMIT)

    def send(self, message: object) -> None:
        """Put `message` into the inbox without waiting until it is handled.

        Raise `asyncio.QueueFull` if the inbox already holds `INBOX_LIMIT` messages.
        """
        self._inbox.put_nowait(_Envelope(message, None))

    async def request(self, request: ControllerRequest[R]) -> R:
        """Send `request` and return the response to it.

        Wait for space if the inbox is full.
        """
        future: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        await self._inbox.put(_Envelope(request, future))
        return await future

    async def request_reservation(
        self, request: ControllerRequest[R], release: Callable[[R], None]
    ) -> R:
        """Send `request`, which reserves something, and return the response to it.

        If the requester is cancelled first, pass the response to `release` once it comes.
        """
        future: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        await self._inbox.put(_Envelope(request, future))
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            future.add_done_callback(lambda done: release(done.result()))
            raise

    async def run(self) -> None:
        """Handle messages one at a time, in order of arrival, until cancelled."""
        while True:
            envelope = await self._inbox.get()
            response = self.handle(envelope.message, self._clock.monotonic())
            if envelope.response is not None and not envelope.response.done():
                envelope.response.set_result(response)

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Update the state for `msg`; return the response if `msg` is a request.

        `now` is in seconds on the monotonic clock. Raise `InvariantError` for a message type
        without a registered implementation.
        """
        raise InvariantError(f"{type(self).__name__} cannot handle {type(msg).__name__}")
