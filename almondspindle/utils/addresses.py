"""Addresses of the form "ip:port"."""


def split_address(address: str) -> tuple[str, int]:
    """Return ip and port of "ip:port"; an IPv6 address stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
