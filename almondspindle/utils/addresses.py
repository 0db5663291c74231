"""Parse and bind addresses of the form "ip:port"."""

import socket

BACKLOG = 512  # connections, enough for a burst of callers that reconnect at once
MAX_PORT, PORT_DIGITS = 65535, 5


def split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of "ip:port". An IPv6 address must be in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(address: str) -> None:
    """Raise `ValueError` unless `address` is an IP address and a port from 1 to 65535."""
    host, _, port = address.rpartition(":")
    is_ip6 = host.startswith("[") and host.endswith("]")
    family, ip = (socket.AF_INET6, host[1:-1]) if is_ip6 else (socket.AF_INET, host)
    try:
        socket.inet_pton(family, ip)
    except (OSError, ValueError):
        raise ValueError("the address does not have the form IP:PORT") from None
    is_number = port.isascii() and port.isdigit() and len(port) <= PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError("the port of the address is no number from 1 to 65535")


def listening_socket(address: str) -> socket.socket:
    """Return a socket that listens on `address`. Raise `OSError` if it can't be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener
