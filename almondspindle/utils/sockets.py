"""Close connections."""

import socket
import struct
from typing import Any

# The C struct linger: on, with a time-out of 0 s, so that closing sends a reset.
_ZERO_LINGER = struct.pack("ii", 1, 0)


def reset_connection(transport: Any) -> None:
    """Reset the connection of an asyncio transport, discarding bytes that are not sent yet."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()
