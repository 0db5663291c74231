"""Format a report as text or JSON."""

import dataclasses
import json
from collections.abc import Iterator

from almondspindle.decisions.burn import Burn
from almondspindle.report.models import BurnReport, WindowReport

COLUMNS = (
    f"{'service':<20} {'objective':<18} {'events':>9} {'missed':>8} {'allowed':>8} {'burn':>8}"
)


def as_json(report: BurnReport) -> str:
    """Return `report` as one JSON object."""
    return json.dumps(dataclasses.asdict(report), indent=2)


def as_text(report: BurnReport) -> str:
    """Return `report` as lines for a terminal."""
    return "\n".join(_format_report(report))


def _format_report(report: BurnReport) -> Iterator[str]:
    yield f"configuration version {report.config_version}"
    yield f"hosts that responded: {', '.join(report.answered) or 'none'}"
    for host, reason in sorted(report.silent.items()):
        yield f"no response from {host}: {reason}"
    for window in report.windows:
        yield ""
        yield from _format_window(window)


def _format_window(window: WindowReport) -> Iterator[str]:
    yield f"window {window.window}"
    for item in window.partial:
        yield (
            f"  {item.host} covers {item.covered_s:.0f} of {window.length_s:.0f} s;"
            " its data from before its start is lost"
        )
    if not window.services:
        yield "  no requests"
        return
    yield f"  {COLUMNS}"
    for service, burns in window.services.items():
        for burn in burns:
            yield f"  {service:<20} {_format_burn(burn)}"


def _format_burn(burn: Burn) -> str:
    text = (
        f"{burn.objective:<18} {burn.total:>9} {burn.bad:>8} {burn.allowed:>8.2%} {burn.rate:>8.2f}"
    )
    if burn.measured_ms is None:
        return text
    return f"{text}  at percentile: {burn.measured_ms:.0f} ms, objective {burn.target_ms:.0f} ms"
