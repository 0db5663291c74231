"""When a host takes a topic from a peer instead of waiting for the store."""

# The store's own watch brings a change within some 10 ms; a peer is asked if it has not.
PEER_PULL_DELAY_S = 0.25


def is_pull_due(behind_since: float | None, now: float) -> bool:
    """Return whether a topic that has been behind since then is to be taken from a peer."""
    return behind_since is not None and now - behind_since >= PEER_PULL_DELAY_S
