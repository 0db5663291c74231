"""Require a well-formed idempotency key on commits."""

from almondspindle.core.calls import Call, WorkKind
from almondspindle.core.outcomes import Ok, Outcome
from almondspindle.decisions.idempotency_keys import KEY_HEADER, parse_key


class RequireKey:
    """Refuse a commit without a UUIDv7 key. Other kinds of work need no key."""

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its key in canonical form, or a refusal that states the fault."""
        if call.work is not WorkKind.COMMIT:
            return Ok(call)
        key = parse_key(call.header(KEY_HEADER))
        return key.map(lambda uuid: call.copy_with(idempotency_key=str(uuid)))
