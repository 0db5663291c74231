"""Which hosts follow a topic in the store; the others learn of changes from them."""

from collections.abc import Collection

from almondspindle.decisions.hashing import score

WATCHERS = 6  # hosts a topic: two may fall silent at once in each of two zones that are lost


def follows(topic: str, host: str, able: Collection[str]) -> bool:
    """Return whether `host` follows `topic`. `able` are the other hosts that reach the store."""
    own = score(topic, host)
    return sum(score(topic, other) > own for other in able) < WATCHERS
