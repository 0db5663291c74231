"""Callers with persistent connections that record their requests and responses."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from soak.environment import TIMEOUT_MS
from soak.history import ReceivedResponse, RunHistory, SentRequest
from soak.hosts import SoakHost
from soak.replicas import stream_body
from soak.timed_rules import Probe
from tests.standins.node_fleet import encode_request, read_response

PATHS = {
    "unsafe": "/commit/",
    "safe": "/read/",
    "stream": "/stream/",
    "resumable": "/resumable/",
}
STREAM_KINDS = frozenset({"stream", "resumable"})
PROMPT_COUNT = 12
PAUSE_RANGE_S = (0.0, 0.1)
SLOW_SEND_SHARE = 0.1  # of the requests, sent in two parts
SLOW_SEND_RANGE_S = (0.2, 2.5)  # between the parts, within the header time-out of 3 s
RESPONSE_TIMEOUT_S = 8.0  # longer than the time-out of the routes
PROBE_INTERVAL_S = 0.3
RECONNECT_DELAY_S = 0.05
HTTP_OK = 200


class CallerTask:
    """A caller of one host. It reuses a connection until the host or the network closes it."""

    def __init__(
        self,
        name: str,
        host: SoakHost,
        history: RunHistory,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._name = name
        self._host = host
        self._history = history
        self._rng = rng
        self._now = now
        self._request_count = 0
        self.stop = asyncio.Event()

    async def run(self) -> None:
        """Send requests until `stop` is set."""
        while not self.stop.is_set():
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._host.listen_address)
                try:
                    while await self._exchange(reader, writer):
                        if await self._pause(self._rng.uniform(*PAUSE_RANGE_S)):
                            return
                finally:
                    writer.close()
            await self._pause(RECONNECT_DELAY_S)

    async def _pause(self, duration_s: float) -> bool:
        """Wait for at most `duration_s` seconds and return whether the caller must stop."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self.stop.wait(), duration_s)
        return self.stop.is_set()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        sent = self._next_request()
        self._history.sent_requests[sent.request_id] = sent
        headers = {"X_Deadline_Ms": str(TIMEOUT_MS)}
        if sent.kind in STREAM_KINDS:
            prompt = f"{self._rng.randrange(PROMPT_COUNT):x}"
            headers |= {
                "X_Model": "m",
                "X_Token_Count": "900,80",
                "X_Prompt_Prefix": f"a{prompt}:800,b:9",
            }
        data = encode_request(PATHS[sent.kind], b"x", sent.request_id, **headers)
        if self._rng.random() < SLOW_SEND_SHARE:
            writer.write(data[: len(data) // 2])
            await asyncio.sleep(self._rng.uniform(*SLOW_SEND_RANGE_S))
            data = data[len(data) // 2 :]
        writer.write(data)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await read_response(reader)
        except TimeoutError:
            self._history.responses.append(ReceivedResponse(sent.request_id, 0, self._now()))
            return False
        response_headers = response.headers or {}
        self._history.responses.append(
            ReceivedResponse(
                sent.request_id,
                response.status,
                self._now(),
                response.body,
                response.is_complete,
                "x-response-stamp" in response_headers,
                response_headers.get("x-request-id", ""),
            )
        )
        return response.is_complete and response_headers.get("connection", "") != "close"

    def _next_request(self) -> SentRequest:
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        kind = self._rng.choice(sorted(PATHS))
        body = stream_body(request_id) if kind in STREAM_KINDS else request_id.encode()
        return SentRequest(request_id, kind, self._now(), body)


async def poll_versions(
    host: SoakHost,
    newest_version: Callable[[], int],
    history: RunHistory,
    now: Callable[[], float],
) -> None:
    """Poll which configuration version `host` has in force, until cancelled."""
    count = 0
    while True:
        newest = newest_version()
        for version in (newest, newest - 1):
            count += 1
            lifetime = host.lifetime
            sent_at = now()
            status = await send_probe(host, version, f"p{host.number}-{count}", history, sent_at)
            history.fleet.probes.append(Probe(str(host.number), version, sent_at, now(), status))
            if status == HTTP_OK and lifetime == host.lifetime:
                history.record_served_version(host.number, lifetime, version)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def send_probe(
    host: SoakHost, version: int, request_id: str, history: RunHistory, now: float
) -> int:
    """Send a request at `now` that only configuration `version` routes; return its status.

    The status is 0 if no response arrived.
    """
    history.sent_requests[request_id] = SentRequest(request_id, "safe", now, request_id.encode())
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*host.listen_address)
            writer.write(encode_request(f"/probe-{version}/", b"x", request_id))
            response = await read_response(reader)
            writer.close()
    except (OSError, TimeoutError):
        return 0
    return response.status
