"""Numbered checks of settings and configuration, as `almondspindle check` runs them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Severity(StrEnum):
    """How much a finding matters."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Finding:
    """What a check found, with its number and what to do about it."""

    number: str
    severity: Severity
    message: str
    hint: str


Check = Callable[[Any], Iterable[Finding]]
CHECKS: list[Check] = []


def register(check: Check) -> Check:
    """Add `check` to those that `run_checks` runs; usable as a decorator."""
    CHECKS.append(check)
    return check


def run_checks(subject: Any) -> list[Finding]:
    """Return the findings of every registered check on `subject`."""
    return [finding for check in CHECKS for finding in check(subject)]
