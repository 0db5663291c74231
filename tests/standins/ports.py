"""Allocate ports for processes whose address must be known before they start.

Binding port 0 and closing the socket again is not enough: the system may assign that port to an
outgoing connection before the process binds it. Ports are therefore taken from below the range of
outgoing connections. Concurrent test runs use different blocks of ports: each run keeps the first
port of its block bound until it ends.
"""

import socket
from collections.abc import Iterator
from contextlib import suppress
from functools import cache
from itertools import cycle

LOOPBACK = "127.0.0.1"
FIRST_PORT = 20_000
BLOCK_PORTS = 400
BLOCKS = 30
RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"


def free_port() -> int:
    """Return a port that is free for TCP and UDP and that the system assigns to nothing else.

    Raise `RuntimeError` if all ports of this run are in use.
    """
    _, ports = _reserve_block()
    for _ in range(BLOCK_PORTS):
        port = next(ports)
        if _is_free(port):
            return port
    raise RuntimeError(f"all {BLOCK_PORTS} ports of this run are in use")


@cache
def _reserve_block() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a block; return the socket that reserves it, and its other ports."""
    check_range(_first_outgoing_port())
    for first in range(FIRST_PORT, FIRST_PORT + BLOCKS * BLOCK_PORTS, BLOCK_PORTS):
        reservation = socket.socket()
        with suppress(OSError):
            reservation.bind((LOOPBACK, first))
            return reservation, cycle(range(first + 1, first + BLOCK_PORTS))
        reservation.close()
    raise RuntimeError(f"all {BLOCKS} blocks of ports are reserved by other test runs")


def check_range(first_outgoing_port: int) -> None:
    """Raise `RuntimeError` if outgoing connections may use ports of the blocks."""
    if first_outgoing_port < FIRST_PORT + BLOCKS * BLOCK_PORTS:
        raise RuntimeError(
            f"outgoing connections use ports from {first_outgoing_port} on: the blocks overlap"
        )


def _first_outgoing_port() -> int:
    """Return the lowest port that the system assigns to outgoing connections."""
    with open(RANGE_FILE) as file:
        return int(file.read().split()[0])


def _is_free(port: int) -> bool:
    """Return whether `port` can be bound for both TCP and UDP."""
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tcp.bind((LOOPBACK, port))
            udp.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
