"""Parse and bind addresses of the form "ip:port"."""

import socket

BACKLOG = 512  # connections, enough for a burst of callers that reconnect at once


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of "ip:port". An IPv6 address must be in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def listening_socket(address: str) -> socket.socket:
    """Return a socket that listens on `address`. Raise `OSError` if it can't be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener
