"""The base of all controllers: a task with an inbox, and typed messages to it."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, Generic, TypeVar

from almondspindle.core.clock import Clock
from almondspindle.core.outcomes import InvariantError

R = TypeVar("R")

INBOX_LIMIT = 10_000  # messages


class Question(Generic[R]):
    """A message that is answered with a value of type `R`."""

    __slots__ = ()


@dataclass(slots=True)
class _Envelope:
    msg: object
    fut: "asyncio.Future[Any] | None"


class Controller:
    """Own a piece of state and change it only while handling a message.

    Subclasses register a `handle` implementation per message type. A handler runs to its end
    without waiting, so that every message sees whole state; sockets belong to tasks that send
    their results here as messages.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._inbox: asyncio.Queue[_Envelope] = asyncio.Queue(INBOX_LIMIT)

    def tell(self, msg: object) -> None:
        """Put `msg` in the inbox without waiting for it to be handled."""
        self._inbox.put_nowait(_Envelope(msg, None))

    async def ask(self, question: Question[R]) -> R:
        """Return the controller's answer to `question`."""
        fut: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        await self._inbox.put(_Envelope(question, fut))
        return await fut

    async def run(self) -> None:
        """Handle messages one after the other until cancelled."""
        while True:
            envelope = await self._inbox.get()
            answer = self.handle(envelope.msg, self._clock.monotonic())
            if envelope.fut is not None and not envelope.fut.done():
                envelope.fut.set_result(answer)

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Change the state for `msg` and return the answer, if it asks for one.

        Raise `InvariantError` for a message type without an implementation.
        """
        raise InvariantError(f"{type(self).__name__} cannot handle {type(msg).__name__}")
