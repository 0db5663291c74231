"""How measurements print and summarise their figures."""

from collections.abc import Callable, Sequence
from time import perf_counter


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure as `name value unit`."""
    print(f"{name} {value:.6g} {unit}", flush=True)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of the sorted `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def duration_of(call: Callable[[], object]) -> float:
    """Return how long `call` takes, in seconds."""
    start = perf_counter()
    call()
    return perf_counter() - start
