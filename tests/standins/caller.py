"""A caller that sends chats, reads and commits over HTTP."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


@dataclass
class Response:
    """The response to a request of a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    chunks: list[bytes] = field(default_factory=list)

    @property
    def target(self) -> str:
        """Return the name of the target that responded."""
        return self.headers.get("X-Served-By", "")

    @property
    def error(self) -> dict:
        """Return the refusal that the body holds."""
        return json.loads(self.body)["error"]

    def is_complete_stream(self, text: str, tokens: int) -> bool:
        """Return whether the body is the complete stream for `text`, including its end mark."""
        events = [event for event in self.body.decode().split("\n\n") if event]
        if len(events) != tokens + 1 or events[-1] != "data: [DONE]":
            return False
        payloads = [json.loads(event.partition("data: ")[2]) for event in events[:-1]]
        parts = [payload["choices"][0]["delta"]["content"] for payload in payloads]
        return parts == [f"{text}:{index} " for index in range(tokens)]


class Caller:
    """Send requests to an entry with a team's token."""

    def __init__(self, address: str, token: str = "grid-desk-token") -> None:
        self.address = address
        self.token = token
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=1000)

    async def send(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> Response:
        """Send one request. In the names of `headers`, `_` stands for `-`."""
        chunks: list[bytes] = []
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        fields.setdefault("Authorization", f"Bearer {self.token}")
        request = HTTPRequest(
            f"http://{self.address}{path}",
            method=method,
            body=body,
            headers=fields,
            request_timeout=60.0,
            streaming_callback=chunks.append,
            allow_nonstandard_methods=True,
        )
        response = await self._client.fetch(request, raise_error=False)
        return Response(response.code, dict(response.headers), b"".join(chunks), chunks)

    async def chat(self, chat_id: str, text: str, tokens: int = 8, **headers: str) -> Response:
        """Send one turn of a chat and read the streamed response."""
        messages = [{"role": "user", "content": text}]
        doc = {"model": "forecast-llm", "messages": messages, "stream": True, "max_tokens": tokens}
        body = json.dumps(doc).encode()
        return await self.send("POST", "/v1/chat/completions", body, X_Chat_Id=chat_id, **headers)

    async def commit(self, key: str, body: bytes = b"{}", path: str = "orders") -> Response:
        """Send one commit to the plain service."""
        return await self.send("POST", f"/services/dispatch-app/{path}", body, Idempotency_Key=key)

    async def read(self, path: str = "status") -> Response:
        """Send one read to the plain service."""
        return await self.send("GET", f"/services/dispatch-app/{path}")


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until `condition` holds.

    Raise `TimeoutError` with the message `what` after `WAIT_TIMEOUT_S` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + WAIT_TIMEOUT_S
    while not await condition():
        if loop.time() > deadline_at:
            raise TimeoutError(what)
        await asyncio.sleep(POLL_INTERVAL_S)


async def wait_ready(caller: Caller) -> None:
    """Wait until the caller's entry reports that it is ready."""

    async def is_ready() -> bool:
        return (await caller.send("GET", "/readyz")).status == 200

    await wait_until(is_ready, f"entry {caller.address} is not ready")
