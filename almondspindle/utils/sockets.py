"""Close connections, and find out what the kernel holds for a socket."""

import fcntl
import select
import socket
import struct
import termios
from typing import Any

# The C struct linger: on, with a time-out of 0 s, so that closing sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)
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


def has_pending_connections(listener: Any) -> bool:
    """Return whether connections wait in the backlog of a listening socket."""
    poll = select.poll()
    poll.register(listener.fileno(), select.POLLIN)
    return bool(poll.poll(0))
