"""The interface to the client that sends calls to targets, one attempt at a time."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from almondspindle.core.calls import Call, ResponseSink
from almondspindle.core.placements import AttemptReport
from almondspindle.decisions.idle_timeout import IdleTimeouts


class ResponseProgress(Protocol):
    """The progress of a response to the caller, over one or more attempts."""

    @property
    def started(self) -> bool:
        """Return whether a part of the response has been forwarded."""
        ...

    @property
    def last_event(self) -> int | None:
        """Return the number of the last event forwarded, or None if there is none."""
        ...

    async def flush(self) -> None:
        """Forward the buffered part of the response."""
        ...


P = TypeVar("P", bound=ResponseProgress)


class AttemptClient(Protocol[P]):
    """Client that sends calls to targets, one attempt at a time."""

    def begin_response(self, call: Call, sink: ResponseSink) -> P:
        """Return the progress of a response to `call` that is written to `sink`."""
        ...

    async def attempt(
        self,
        call: Call,
        progress: P,
        timeouts: IdleTimeouts,
        may_leave: Callable[[int], Awaitable[bool]],
    ) -> AttemptReport:
        """Send `call` to its target once and feed the response to `progress`.

        After each idle time-out the attempt ends if `may_leave` allows it, and else waits on. That
        gets the number of time-outs since the last byte.
        """
        ...
