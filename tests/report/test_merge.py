"""Tests of the report: merging the telemetry of hosts, and stating which hosts are missing."""

from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.telemetry_messages import host_telemetry
from almondspindle.controllers.telemetry.messages import WindowTotal
from almondspindle.core.calls import WorkKind
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName, ServiceName
from almondspindle.core.telemetry import RequestMeasurement, ServiceTally
from almondspindle.decisions.burn import Objective
from almondspindle.report.formatting import as_json, as_text
from almondspindle.report.merge import build_report

SERVICE = ServiceName("forecast-llm")


def make_telemetry(host: str, first_token_ms: int, requests: int, covered_s: float):
    tally = ServiceTally()
    for _ in range(requests):
        tally.add(RequestMeasurement(SERVICE, WorkKind.CHAT, False, first_token_ms))
    total = WindowTotal("5m", covered_s, {SERVICE: tally})
    return decode(encode(host_telemetry(HostName(host), [total])))


def test_histograms_are_merged_not_averaged():
    # The mean of the 95th percentiles would be 505 ms, but 96 of the 100 requests took 10 ms.
    responses = [make_telemetry("a", 10, 96, 300.0), make_telemetry("b", 1000, 4, 120.0)]
    report = build_report(ConfigSet(version=3), responses, {HostName("c"): "UNAVAILABLE: x"})
    burns = {burn.objective: burn for burn in report.windows[0].services[SERVICE]}
    burn = burns[Objective.FIRST_TOKEN]
    assert (burn.total, burn.bad, burn.measured_ms) == (100, 4, 10.0)
    assert [item.host for item in report.windows[0].partial] == ["b"]
    assert "no response from c" in as_text(report)
    assert "b covers 120 of 300 s" in as_text(report)
    assert '"silent"' in as_json(report)
