"""Decide when a host pulls a topic from a peer instead of waiting for the store."""

# The watch on the store normally delivers a change within about 10 ms. After this delay the host
# pulls it from a peer.
PEER_PULL_DELAY_S = 0.25


def is_pull_due(behind_since: float | None, now: float) -> bool:
    """Return whether to pull a topic from a peer at `now`.

    `behind_since` is when the topic fell behind, in seconds, None while it is up to date.
    """
    return behind_since is not None and now - behind_since >= PEER_PULL_DELAY_S
