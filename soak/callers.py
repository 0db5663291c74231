"""Callers that keep their connections, and note what they sent and got."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from soak.hosts import SoakHost
from soak.ledger import Got, Ledger, Sent
from soak.world import stream_body
from tests.standins.node_fleet import encode_request, read_response

PATHS = {"unsafe": "/commit/", "safe": "/read/", "stream": "/stream/"}
PROMPTS = 12
PAUSE_S = (0.0, 0.1)
ANSWER_S = 8.0  # the requests say that they wait for three seconds
PROBE_S = 0.3
RECONNECT_S = 0.05
HTTP_OK = 200


class CallerTask:
    """One caller at one host. It uses a connection until the host or the network closes it."""

    def __init__(
        self,
        name: str,
        host: SoakHost,
        ledger: Ledger,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._name = name
        self._host = host
        self._ledger = ledger
        self._rng = rng
        self._now = now
        self._count = 0
        self.stop = asyncio.Event()

    async def run(self) -> None:
        """Send requests until `stop` is set."""
        while not self.stop.is_set():
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._host.front)
                try:
                    while await self._exchange(reader, writer):
                        if await self._pause(self._rng.uniform(*PAUSE_S)):
                            return
                finally:
                    writer.close()
            await self._pause(RECONNECT_S)

    async def _pause(self, for_s: float) -> bool:
        """Wait; return whether the caller is to stop."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.stop.wait(), for_s)
        return self.stop.is_set()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        sent = self._next()
        self._ledger.sent[sent.request_id] = sent
        headers = {}
        if sent.kind == "stream":
            part = f"{self._rng.randrange(PROMPTS):x}"
            headers = {
                "X_Model": "m",
                "X_Token_Count": "900,80",
                "X_Prompt_Prefix": f"a{part}:800,b:9",
            }
        writer.write(encode_request(PATHS[sent.kind], b"x", sent.request_id, **headers))
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await read_response(reader)
        except TimeoutError:
            self._ledger.got.append(Got(sent.request_id, 0, self._now()))
            return False
        found = answer.headers or {}
        self._ledger.got.append(
            Got(
                sent.request_id,
                answer.status,
                self._now(),
                answer.body,
                answer.is_complete,
                "x-response-stamp" in found,
                found.get("x-request-id", ""),
            )
        )
        return answer.is_complete and found.get("connection", "") != "close"

    def _next(self) -> Sent:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        kind = self._rng.choice(sorted(PATHS))
        body = stream_body(request_id) if kind == "stream" else request_id.encode()
        return Sent(request_id, kind, self._now(), body)


async def probe(host: SoakHost, versions: Callable[[], int], ledger: Ledger) -> None:
    """Ask `host` again and again which configuration is in force there, until cancelled."""
    count = 0
    while True:
        newest = versions()
        for version in (newest, newest - 1):
            count += 1
            lifetime = host.lifetime
            status = await ask_probe(host, version, f"p{host.number}-{count}", ledger)
            if status == HTTP_OK and lifetime == host.lifetime:
                ledger.probe_served(host.number, lifetime, version)
        await asyncio.sleep(PROBE_S)


async def ask_probe(host: SoakHost, version: int, request_id: str, ledger: Ledger) -> int:
    """Return the status of a request that only the configuration `version` allows, 0 for none."""
    ledger.sent[request_id] = Sent(request_id, "safe", 0.0, request_id.encode())
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(*host.front)
            writer.write(encode_request(f"/probe-{version}/", b"x", request_id))
            answer = await read_response(reader)
            writer.close()
    except (OSError, TimeoutError):
        return 0
    return answer.status
