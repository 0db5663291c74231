"""Limit retries to a share of recent requests, plus a minimum rate for services with few."""

from dataclasses import dataclass

MIN_RETRIES_PER_S = 0.5
MAX_BALANCE = 20.0  # retries that a budget can accumulate
INITIAL_BALANCE = 3.0  # retries


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """A token bucket of retries. `updated_at` is in seconds on the monotonic clock."""

    updated_at: float
    balance: float = INITIAL_BALANCE


def _refill(budget: RetryBudget, now: float, extra: float = 0.0) -> RetryBudget:
    accrued = max(0.0, now - budget.updated_at) * MIN_RETRIES_PER_S
    return RetryBudget(now, min(MAX_BALANCE, budget.balance + accrued + extra))


def add_request(budget: RetryBudget, share: float, now: float) -> RetryBudget:
    """Return the budget after a first attempt, which adds `share` retries to the balance."""
    return _refill(budget, now, share)


def spend_retry(budget: RetryBudget, now: float) -> RetryBudget | None:
    """Return the budget after one retry, or None if its balance is below one."""
    refilled = _refill(budget, now)
    if refilled.balance < 1.0:
        return None
    return RetryBudget(now, refilled.balance - 1.0)
