"""The retry budget that all hosts share."""

from almondspindle.core.node import Bounds
from almondspindle.decisions.shared_retry_budget import RetryLog, record_request, try_spend_retry

BOUNDS = Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_slack=52)


def spend_all_retries(log: RetryLog, hosts: int, now: float) -> int:
    count = 0
    while try_spend_retry(log, BOUNDS, hosts, now):
        count += 1
    return count


def test_all_hosts_together_stay_within_the_bound():
    for hosts in (1, 6, 91):
        logs = [RetryLog() for _ in range(hosts)]
        for log in logs:
            for _ in range(30):
                record_request(log, BOUNDS, now=5.0)
        sent = sum(spend_all_retries(log, hosts, now=5.0) for log in logs)
        assert sent <= 0.2 * 30 * hosts + 52


def test_the_budget_is_restored_after_the_window():
    log = RetryLog()
    assert spend_all_retries(log, 6, now=1.0) > 0
    assert not try_spend_retry(log, BOUNDS, 6, now=2.0)
    assert try_spend_retry(log, BOUNDS, 6, now=11.5)
