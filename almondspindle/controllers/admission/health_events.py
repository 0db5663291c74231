"""Numbered events about changes in a target's health, for operators and automatic repair."""

from dataclasses import replace

from almondspindle.core.config import Policy
from almondspindle.core.events import (
    RAMP_ENDED,
    TARGET_BACK,
    TARGET_COLD,
    TARGET_MAY_HAVE_RESTARTED,
    TARGET_UNREACHABLE,
)
from almondspindle.core.identifiers import TargetName
from almondspindle.core.logs import emit
from almondspindle.decisions.health import Health, is_cold


def emit_health_changes(
    target: TargetName, before: Health, after: Health, policy: Policy, limit: int, now: float
) -> Health:
    """Emit one event per change from `before` to `after`; return `after` without an ended ramp.

    A slow-start ramp ends by time alone, so its end is reported at the next observation.
    """
    cold = is_cold(after, policy, limit, now)
    if cold and after.cold_at != before.cold_at:
        emit(TARGET_COLD, target=target, boot_id=after.boot_id)
    if after.may_have_restarted and not before.may_have_restarted:
        emit(TARGET_MAY_HAVE_RESTARTED, target=target)
    if after.is_unreachable and not before.is_unreachable:
        emit(TARGET_UNREACHABLE, target=target)
    if before.is_unreachable and not after.is_unreachable:
        emit(TARGET_BACK, target=target)
    if after.cold_at is None or cold:
        return after
    if after.cold_at == before.cold_at:
        emit(RAMP_ENDED, target=target)
    return replace(after, cold_at=None)
