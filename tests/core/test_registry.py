"""Counters and histograms in the Prometheus text format."""

from almondspindle.core.metrics import RESPONSE_TIME, RESPONSES
from almondspindle.core.registry import MetricRegistry


def test_counters_and_histograms_are_served_as_text():
    registry = MetricRegistry()
    registry.count(RESPONSES)
    registry.count(RESPONSES, 2)
    for seconds in (0.004, 0.004, 0.15, 99.0):
        registry.time(RESPONSE_TIME, seconds)
    lines = registry.render_prometheus().splitlines()
    assert "almondspindle_answers_total 3" in lines
    assert 'almondspindle_whole_time_seconds_bucket{le="0.005"} 2' in lines
    assert 'almondspindle_whole_time_seconds_bucket{le="0.2"} 3' in lines
    assert 'almondspindle_whole_time_seconds_bucket{le="+Inf"} 4' in lines
    assert "almondspindle_whole_time_seconds_count 4" in lines
