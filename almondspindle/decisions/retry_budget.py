"""A budget of retries: a share of recent requests, and a few a second for a quiet service."""

from dataclasses import dataclass

MIN_RETRIES_PER_S = 0.5
MAX_BALANCE = 20.0  # retries that a budget can save up
INITIAL_BALANCE = 3.0  # retries


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that may still be made. `at` is in seconds on the monotonic clock."""

    updated_at: float
    balance: float = INITIAL_BALANCE


def _refill(budget: RetryBudget, now: float, extra: float = 0.0) -> RetryBudget:
    by_time = max(0.0, now - budget.updated_at) * MIN_RETRIES_PER_S
    return RetryBudget(now, min(MAX_BALANCE, budget.balance + by_time + extra))


def add_request(budget: RetryBudget, share: float, now: float) -> RetryBudget:
    """Return the budget after a first attempt, which adds `share` of a retry."""
    return _refill(budget, now, share)


def spend_retry(budget: RetryBudget, now: float) -> RetryBudget | None:
    """Return the budget after one retry, or None when it does not cover one."""
    filled = _refill(budget, now)
    if filled.balance < 1.0:
        return None
    return RetryBudget(now, filled.balance - 1.0)
