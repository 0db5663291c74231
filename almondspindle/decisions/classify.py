"""Which kind of work a request is, from its service and method."""

from almondspindle.core.calls import WorkKind
from almondspindle.core.config import ServiceKind

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def classify(kind: ServiceKind, method: str) -> WorkKind:
    """Return the kind of work that `method` on a service of `kind` asks for.

    Methods that HTTP does not define as safe count as commits on a plain service (RFC 9110).
    """
    if kind is ServiceKind.CHAT:
        return WorkKind.CHAT
    return WorkKind.READ if method in SAFE_METHODS else WorkKind.COMMIT
