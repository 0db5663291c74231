"""Numbered checks of settings and configuration, as `almondspindle check` runs them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Severity(StrEnum):
    """The severity of a finding."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem found by the check `number`, with a hint on how to solve it."""

    number: str
    severity: Severity
    message: str
    hint: str


Check = Callable[[Any], Iterable[Finding]]
CHECKS: list[Check] = []


def register(check: Check) -> Check:
    """Register `check` with `run_checks`. Usable as a decorator."""
    CHECKS.append(check)
    return check


def run_checks(subject: Any) -> list[Finding]:
    """Run every registered check on `subject` and return the findings."""
    return [finding for check in CHECKS for finding in check(subject)]
