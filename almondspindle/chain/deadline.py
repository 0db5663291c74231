"""Refuse calls whose deadline has passed."""

from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused


class CheckDeadline:
    """Refuse a call whose deadline has passed, since its caller no longer waits for a response.

    The entry and the owner both use this filter.
    """

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call, or a refusal if its deadline has passed."""
        if now >= call.deadline_at:
            return refused(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before any attempt")
        return Ok(call)
