"""Helpers that time calls, summarise samples and print figures."""

from collections.abc import Callable, Sequence
from time import perf_counter


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure as `name value unit`."""
    print(f"{name} {value:.6g} {unit}", flush=True)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` (0 to 1) of `values` lie below. `values` must not be empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def duration_of(call: Callable[[], object]) -> float:
    """Return the duration of `call` in seconds."""
    start = perf_counter()
    call()
    return perf_counter() - start
