"""Generate the docs/ref pages on settings, events and metrics from the code."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from almondspindle.conf.base import ENV_PREFIX, ProgramCfg
from almondspindle.conf.entry import EntryCfg
from almondspindle.conf.operator import OperatorCfg
from almondspindle.conf.report import ReportCfg
from almondspindle.conf.router import RouterCfg
from almondspindle.core.events import EVENTS
from almondspindle.core.metrics import METRICS

PROGRAMS: dict[str, type[ProgramCfg]] = {
    "almondspindle-entry": EntryCfg,
    "almondspindle-router": RouterCfg,
    "almondspindle": OperatorCfg,
    "almondspindle-report": ReportCfg,
}
BOUND_LABELS = {
    "ge": "at least",
    "gt": "above",
    "le": "at most",
    "lt": "below",
    "min_length": "items:",
}
GENERATED_NOTE = "Generated from the code by `make docs`; a test checks that it is up to date.\n"


def settings_page() -> str:
    """Return the page of all settings."""
    lines = ["# Settings", "", GENERATED_NOTE]
    lines.append("A flag overrides its environment variable. Lists are JSON or comma-separated.")
    for program, cfg in PROGRAMS.items():
        lines += ["", f"## {program}", "", "| flag | environment | meaning | range | default |"]
        lines += ["|---|---|---|---|---|"]
        lines += [_setting_row(name, info) for name, info in cfg.model_fields.items()]
    return "\n".join(lines) + "\n"


def _setting_row(name: str, info: FieldInfo) -> str:
    flag = "--" + name.replace("_", "-")
    variable = ENV_PREFIX + name.upper()
    default = _default(info)
    return (
        f"| `{flag}` | `{variable}` | {info.description} | {', '.join(_bounds(info))} | {default} |"
    )


def _default(info: FieldInfo) -> str:
    value: Any = info.default
    if value is PydanticUndefined:
        return "required"
    return "none" if value is None else f"`{value}`"


def _bounds(info: FieldInfo) -> Iterator[str]:
    for item in info.metadata:
        for name, label in BOUND_LABELS.items():
            bound = getattr(item, name, None)
            if bound is not None:
                yield f"{label} {bound}"


def events_page() -> str:
    """Return the page of all log events."""
    lines = ["# Log events", "", GENERATED_NOTE]
    lines.append("Logs are JSON lines on standard error. `message_type` is `almondspindle:NUMBER`.")
    lines += ["", "| number | name | meaning |", "|---|---|---|"]
    lines += [f"| {e.number} | `{e.name}` | {e.meaning} |" for _, e in sorted(EVENTS.items())]
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the page of all metrics."""
    lines = ["# Metrics", "", GENERATED_NOTE]
    lines.append("Sent to the statsd server set by `--statsd`, with the prefix `almondspindle.`.")
    lines += ["", "| name | kind | unit | meaning |", "|---|---|---|---|"]
    metrics = sorted(METRICS.values(), key=lambda metric: metric.name)
    lines += [f"| `{m.name}` | {m.kind} | {m.unit} | {m.meaning} |" for m in metrics]
    return "\n".join(lines) + "\n"


PAGES = {
    "settings.md": settings_page,
    "events.md": events_page,
    "metrics.md": metrics_page,
}


def main() -> None:
    """Write the pages to the folder given on the command line."""
    folder = Path(sys.argv[1])
    for name, page in PAGES.items():
        (folder / name).write_text(page())


if __name__ == "__main__":
    main()
