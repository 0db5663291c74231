"""Which era of the store to believe.

Copies of the highest era replace all others for good, so one odd value must not become an era. The
era rises by one with each return of the store from an older copy. A host that was away for several
of them is told the same higher value by each response.
"""

from dataclasses import dataclass, replace

MAX_ERA = 1_000_000  # no store has come back from a copy so often


@dataclass(frozen=True, slots=True)
class KnownEra:
    """The highest era that was believed, 0 before the first, and a value that one response stated.

    `suspected` is None unless the last response stated a value that is much too high.
    """

    highest: int = 0
    suspected: int | None = None


def is_plausible(known: KnownEra, stated: int) -> bool:
    """Return whether to believe the era that a response states."""
    return not known.highest or stated <= known.highest + 1 or stated == known.suspected


def after_response(known: KnownEra, stated: int) -> KnownEra:
    """Return what is known after a response that states the era `stated`."""
    if not is_plausible(known, stated):
        return replace(known, suspected=stated)
    return KnownEra(max(known.highest, stated))


def check_era(era: int) -> None:
    """Raise `ValueError` if a peer states an `era` that no store can be in."""
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era {era} is not between 0 and {MAX_ERA}")
