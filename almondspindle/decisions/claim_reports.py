"""Describe the claim record of a key to operators."""

from dataclasses import dataclass
from datetime import UTC, datetime

from almondspindle.core.claims import ClaimRecord, ClaimState
from almondspindle.core.outcomes import RunState
from almondspindle.decisions.claim_keys import MAX_RETENTION_S, KeyAge, key_age
from almondspindle.decisions.claims import is_overdue

RUN_STATES: dict[ClaimState, RunState] = {
    ClaimState.ABSENT: RunState.NOT_RUN,
    ClaimState.CLAIMED: RunState.IN_PROGRESS,
    ClaimState.RELEASED: RunState.NOT_RUN,
    ClaimState.UNKNOWN: RunState.UNKNOWN,
    ClaimState.ANSWERED: RunState.RUN,
}


@dataclass(frozen=True, slots=True)
class KeyReport:
    """The state of a key, whether its request has run, and a description of the latest attempt."""

    state: ClaimState
    run_state: RunState
    lines: tuple[str, ...] = ()


def report_key(key: str, record: ClaimRecord | None, wall_now: float) -> KeyReport:
    """Return the report on `key` at `wall_now` (seconds since the Unix epoch).

    Without a record the request has not run, unless the key is so old that its record may have been
    deleted.
    """
    if record is None:
        is_expired = key_age(key, MAX_RETENTION_S, wall_now) is KeyAge.EXPIRED
        run_state = RunState.UNKNOWN if is_expired else RUN_STATES[ClaimState.ABSENT]
        return KeyReport(ClaimState.ABSENT, run_state)
    run_state = RUN_STATES[record.state]
    if is_overdue(record, wall_now):
        run_state = RunState.UNKNOWN
    return KeyReport(record.state, run_state, tuple(_describe_attempt(record)))


def _describe_attempt(record: ClaimRecord) -> list[str]:
    lines = [
        f"attempt {record.attempt} claimed at {_format_utc(record.claimed_at)} by {record.holder}"
        f" with nonce {record.nonce}, may be sent until {_format_utc(record.may_send_until)}"
    ]
    if record.settled_at:
        lines.append(f"attempt {record.attempt} settled at {_format_utc(record.settled_at)}")
    if record.answer is not None:
        body = "kept" if record.answer.body is not None else "not kept"
        lines.append(
            f"{record.answer.target} responded with {record.answer.status}; the body is {body}"
        )
    return lines


def _format_utc(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).isoformat(timespec="milliseconds")
