"""Classify requests by the kind of their service and their method."""

from almondspindle.core.calls import WorkKind
from almondspindle.core.config import ServiceKind

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def classify(kind: ServiceKind, method: str) -> WorkKind:
    """Return the kind of work of a request with `method` to a service of `kind`.

    On a plain service every method that RFC 9110 does not define as safe counts as a commit.
    """
    if kind is ServiceKind.CHAT:
        return WorkKind.CHAT
    return WorkKind.READ if method in SAFE_METHODS else WorkKind.COMMIT
