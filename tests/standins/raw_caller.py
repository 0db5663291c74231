"""A caller on a plain socket, which can read slowly, disconnect, or close one direction."""

import asyncio
import json
import socket
from dataclasses import dataclass

SMALL_BUFFER_BYTES = 16 * 1024
STREAM_LIMIT_BYTES = 32 * 1024
LAST_CHUNK = b"0\r\n\r\n"


def chat_request(text: str, tokens: int) -> bytes:
    """Return the bytes of a request for a streamed chat, which keeps the connection alive."""
    messages = [{"role": "user", "content": text}]
    doc = {"model": "forecast-llm", "messages": messages, "stream": True, "max_tokens": tokens}
    body = json.dumps(doc).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Chat-Id: raw\r\n"
        b"Authorization: Bearer grid-desk-token\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    )


@dataclass
class RawCaller:
    """One connection to an entry."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, address: str) -> "RawCaller":
        """Open a connection with small buffers, so that it soon blocks the sender."""
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        streams = await asyncio.open_connection(sock=sock, limit=STREAM_LIMIT_BYTES)
        return cls(*streams)

    async def send(self, data: bytes) -> None:
        """Send `data`."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_until(self, separator: bytes) -> bytes:
        """Return the bytes up to and including `separator`.

        Raise `asyncio.IncompleteReadError` if the connection ends before it.
        """
        return await self.reader.readuntil(separator)

    async def read_message(self) -> tuple[bytes, bytes]:
        """Return the head and the chunked body of a response.

        Raise `asyncio.IncompleteReadError` if it is truncated.
        """
        head = await self.read_until(b"\r\n\r\n")
        body = bytearray()
        while size := int(await self.read_until(b"\r\n"), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return head, bytes(body)

    async def read_rest(self) -> bytes:
        """Return all bytes until the peer closes the connection."""
        return await self.reader.read()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
