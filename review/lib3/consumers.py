"""A stand-in for consumers, as PROTOCOL.md describes them."""

import asyncio
import secrets

from review.lib3.http import Message, encode, read_message
from review.lib3.record import Record

PATIENCE_S = 0.5  # beyond the time budget, until the consumer closes its channel


class Consumer:
    """Send one request at a time to a node, each on a new channel, and record what comes of it."""

    def __init__(self, record: Record, host: str) -> None:
        self._record = record
        self._host = host

    async def send(
        self,
        node: str,
        method: str,
        path: str,
        key: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Message | None:
        """Send a request to the front address `node`; return the answer, or None without any."""
        request_id = secrets.token_hex(8)
        fields = {
            "Host": self._host,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
            "Connection": "close",
            **(headers or {}),
        }
        data = encode(f"{method} {path} HTTP/1.1", fields, body)
        sent = self._record.add("sends", id=request_id, node=node, path=path, key=key)
        answer, error = None, ""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + PATIENCE_S):
                answer = await self._exchange(node, data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            error = repr(exc)
        self._record.add(
            "gets",
            id=request_id,
            status=answer.status if answer else None,
            stamp=answer.headers.get("x-response-stamp") if answer else None,
            error=error,
            took_s=round(self._record.now() - sent["t"], 4),
        )
        return answer

    async def _exchange(self, node: str, data: bytes) -> Message:
        host, port = node.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.transport.abort()
