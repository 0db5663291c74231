"""How a connection is closed."""

import socket
import struct
from typing import Any

_NO_LINGERING = struct.pack("ii", 1, 0)


def reset_connection(transport: Any) -> None:
    """Reset the connection of an asyncio transport; bytes that are not yet sent are dropped."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGERING)
    transport.abort()
