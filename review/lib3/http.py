"""The little of HTTP/1.1 that the stand-ins need."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response. The names in `headers` are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head. Raise `IncompleteReadError` at the end of the channel."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a head and a body that has a length or comes in chunks."""
    message = await read_head(reader)
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        message.body = await _read_chunks(reader)
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line, 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
