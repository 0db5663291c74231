"""A stand-in for consumers, which keep channels open for many requests."""

import asyncio
import time
import uuid
import weakref
from dataclasses import dataclass, field

HOST = "desk.example"
KEY = "key-of-team-1"
CHANNELS: "weakref.WeakSet[Channel]" = weakref.WeakSet()


@dataclass
class Answer:
    """What a consumer got for one request. Times are in seconds on the monotonic clock.

    `status` is 0 without a head of an answer. `complete` says whether the answer ended as its
    framing states.
    """

    id: str
    path: str
    sent_at: float
    node: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0
    note: str = ""

    @property
    def closes(self) -> bool:
        """Return whether the node closes the channel after this answer."""
        return self.headers.get("connection", "").lower() == "close"


def request_bytes(
    path: str, request_id: str, deadline_ms: int, body: bytes = b"", method: str = "POST",
    headers: dict[str, str] | None = None,
) -> bytes:  # fmt: skip
    """Return a request as PROTOCOL.md shows it."""
    fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms),
              "X-Api-Key": KEY, **(headers or {})}  # fmt: skip
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def close_channels() -> None:
    """Close all channels at the end of a run."""
    for channel in list(CHANNELS):
        channel.close()
    await asyncio.sleep(0.1)


class Channel:
    """A channel to a node, used for one request after the other."""

    def __init__(self, node: str, address: tuple[str, int]) -> None:
        CHANNELS.add(self)
        self.node = node
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the channel. Consumers allow a second for that."""
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(*self.address)

    @property
    def is_open(self) -> bool:
        """Return whether neither side has closed the channel, as far as is known."""
        return (
            self.reader is not None
            and not self.reader.at_eof()
            and self.writer is not None
            and not self.writer.is_closing()
        )

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()

    async def ask(
        self, path: str, deadline_ms: int = 10_000, body: bytes = b"", method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> Answer:  # fmt: skip
        """Send one request and return its answer, or what there is of it at the time budget."""
        request_id = uuid.uuid4().hex[:16]
        answer = Answer(request_id, path, time.monotonic(), self.node)
        try:
            if not self.is_open:
                self.close()
                await self.open()
            assert self.reader is not None and self.writer is not None
            answer.sent_at = time.monotonic()
            self.writer.write(request_bytes(path, request_id, deadline_ms, body, method, headers))
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                await self._read(answer)
        except TimeoutError:
            answer.note = "no answer in time"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as exc:
            answer.note = f"channel ended: {type(exc).__name__}"
            self.close()
        answer.ended_at = time.monotonic()
        if answer.closes:
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self.reader is not None
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        pairs = (line.partition(":") for line in lines[1:-2])
        answer.headers = {k.lower(): v.strip() for k, _, v in pairs}
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.complete = True
