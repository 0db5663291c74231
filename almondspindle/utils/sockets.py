"""Close connections, and find out what the kernel holds for a socket."""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Collection
from typing import Any

# The C struct linger: on, with a time-out of 0 s, so that closing sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)
MAX_ACCEPT_ROUNDS = 100  # of the event loop, to accept what waits when a listener closes
QUIET_ACCEPT_ROUNDS = 2  # asyncio adds a connection in the round after it accepted it
_INT = struct.Struct("i")


def reset_connection(transport: Any) -> None:
    """Reset the connection of an asyncio transport, discarding bytes that are not sent yet."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()


def has_unread_bytes(transport: Any) -> bool:
    """Return whether the kernel holds received bytes that the transport has not read yet."""
    if transport.is_closing():
        return False
    sock = transport.get_extra_info("socket")
    size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
    return _INT.unpack(size)[0] > 0


async def accept_backlog(listeners: Collection[Any]) -> None:
    """Let the event loop accept the connections in the backlogs of `listeners`."""
    quiet_rounds = 0
    for _ in range(MAX_ACCEPT_ROUNDS):
        is_pending = any(_has_pending_connections(listener) for listener in listeners)
        quiet_rounds = 0 if is_pending else quiet_rounds + 1
        if quiet_rounds >= QUIET_ACCEPT_ROUNDS:
            return
        await asyncio.sleep(0)


def _has_pending_connections(listener: Any) -> bool:
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    return bool(poll.poll(0))
