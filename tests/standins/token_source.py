"""An engine for benchmarks that streams prepared events at a fixed rate and costs little CPU."""

import asyncio
import json
import re
from dataclasses import dataclass

CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"x-request-id: *(\S+)", re.IGNORECASE)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"


@dataclass
class TokenSource:
    """The running stand-in. It sends a token of each stream every `token_interval_s` seconds."""

    token_interval_s: float
    address: str = ""

    async def start(self) -> None:
        """Listen on a port that the system assigns."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = CONTENT_LENGTH.search(head)
            body = await reader.readexactly(int(length.group(1)) if length else 0)
            if head.startswith(b"POST"):
                await self._stream(head, json.loads(body), writer)
            else:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _stream(self, head: bytes, request: dict, writer: asyncio.StreamWriter) -> None:
        match = REQUEST_ID.search(head)
        request_id = match.group(1) if match else b"direct"
        writer.write(HEAD)
        for index in range(int(request["max_tokens"])):
            writer.write(_chunk(request_id, index))
            await asyncio.sleep(self.token_interval_s)
        writer.write(END)
        await writer.drain()


def _chunk(request_id: bytes, index: int) -> bytes:
    event = (
        b'id: %d\ndata: {"id":"chatcmpl-%s","object":"chat.completion.chunk","model":"m",'
        b'"choices":[{"index":0,"delta":{"content":" yield"},"finish_reason":null}]}\n\n'
    ) % (index, request_id)
    return b"%x\r\n%s\r\n" % (len(event), event)
