"""Refuse calls whose deadline has passed."""

from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused


class CheckDeadline:
    """Refuse a call whose caller no longer waits. Used at the entry and at the owner."""

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call, or a refusal if its deadline has passed."""
        if now >= call.deadline_at:
            return refused(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before any attempt")
        return Ok(call)
