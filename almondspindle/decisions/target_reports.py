"""Build the report of an owner about a target, for operators."""

from almondspindle.core.config import Policy
from almondspindle.core.identifiers import HostName
from almondspindle.core.target_reports import TargetReport
from almondspindle.decisions.admission import TargetLoad, refusal_of, target_bound
from almondspindle.decisions.health import is_cold
from almondspindle.decisions.slow_start import slice_share

WARM = "warm"


def build_target_report(
    policy: Policy, load: TargetLoad, owner: HostName, now: float
) -> TargetReport:
    """Return the report about the target with the load `load` at `now`."""
    bound = target_bound(policy, load, now)
    code = refusal_of(policy, load, None, now)
    why = (
        "" if code is None else f"{code.value}: {load.in_flight + load.others_in_flight} of {bound}"
    )
    return TargetReport(
        target=load.target,
        owner=owner,
        in_flight=load.in_flight,
        limit=bound,
        slow_start=_describe_slow_start(policy, load, now),
        why=why,
    )


def _describe_slow_start(policy: Policy, load: TargetLoad, now: float) -> str:
    cold_at = load.health.cold_at
    if cold_at is None or not is_cold(load.health, policy, load.limit, now):
        return WARM
    share = slice_share(policy, now - cold_at, load.service.mean())
    return f"cold for {now - cold_at:.0f} s, admits {share:.0%} of its chats"
