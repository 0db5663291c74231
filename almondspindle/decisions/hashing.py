"""A hash that is the same in every process."""

import xxhash


def score(key: str, member: str) -> int:
    """Return the 64-bit rendezvous hashing score of `member` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())
