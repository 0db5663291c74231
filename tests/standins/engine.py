"""A stand-in for a model engine that streams tokens, caches prefixes and starts cold."""

import asyncio
import json
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

COLD_PERIOD_S = 3.0
MAX_RESUMABLE_STREAMS = 1000
ID_PREFIX = "chatcmpl-"


@dataclass(frozen=True)
class ResumableStream:
    """The text and number of events of a stream that the engine can resume."""

    text: str
    event_count: int


@dataclass
class EngineFaults:
    """Faults that a test switches on.

    `wrong_request_id` and `wrong_event_ids` send the id of another request, in the head or in the
    events, as if responses were delivered to the wrong request. `break_after_tokens` closes the
    connection of one stream, and `stall_after_tokens` stops sending without closing it. With
    `forget_streams`, no stream can be resumed. All but `break_after_tokens` apply until they are
    switched off.
    """

    truncate: bool = False
    wrong_request_id: bool = False
    wrong_event_ids: bool = False
    break_after_tokens: int | None = None
    forget_streams: bool = False
    stall_after_tokens: int | None = None
    refuse_connections: bool = False


@dataclass
class EngineState:
    """The settings, counters, cache and resumable streams of an engine."""

    name: str
    token_pause_s: float = 0.002
    cache_size: int = 100
    cold_limit: int = 4
    boot_id: str = field(default_factory=lambda: secrets.token_hex(4))
    booted_at: float = 0.0
    in_flight: int = 0
    peak_in_flight: int = 0
    cold_overloads: int = 0
    requests: int = 0
    cancelled: int = 0
    resumed: int = 0
    tokens: int = 0
    resumable_streams: OrderedDict[str, ResumableStream] = field(default_factory=OrderedDict)
    prefix_cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    faults: EngineFaults = field(default_factory=EngineFaults)

    def is_cold(self, now: float) -> bool:
        """Return whether the engine started less than `COLD_PERIOD_S` seconds ago."""
        return now - self.booted_at < COLD_PERIOD_S

    def restart(self, now: float) -> None:
        """Become cold and empty the cache, as a restart after a crash does."""
        self.boot_id = secrets.token_hex(4)
        self.booted_at = now
        self.prefix_cache.clear()

    def count_request(self, now: float) -> None:
        """Count a request that has started."""
        self.requests += 1
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.is_cold(now) and self.in_flight > self.cold_limit:
            self.cold_overloads += 1

    def store_stream(self, request_id: str, stream: ResumableStream) -> None:
        """Store a stream so that it can be resumed; evict the oldest if there are too many."""
        self.resumable_streams[request_id] = stream
        while len(self.resumable_streams) > MAX_RESUMABLE_STREAMS:
            self.resumable_streams.popitem(last=False)

    def cache_prefix(self, chat_id: str) -> bool:
        """Add a chat's prefix to the cache and return whether it was cached already."""
        hit = chat_id in self.prefix_cache
        self.prefix_cache[chat_id] = None
        self.prefix_cache.move_to_end(chat_id)
        while len(self.prefix_cache) > self.cache_size:
            self.prefix_cache.popitem(last=False)
        return hit


class _Chat(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state
        self._task: asyncio.Future[None] | None = None

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def post(self) -> None:
        now = asyncio.get_running_loop().time()
        self.state.count_request(now)
        try:
            self._task = asyncio.ensure_future(self._respond(json.loads(self.request.body)))
            await self._task
        except (StreamClosedError, asyncio.CancelledError):
            self.state.cancelled += 1
        finally:
            self.state.in_flight -= 1

    async def _respond(self, request: dict) -> None:
        hit = self.state.cache_prefix(self.request.headers.get("X-Chat-Id", ""))
        count = int(request.get("max_tokens", 8))
        response_id = self.request.headers.get("X-Request-Id", "")
        if self.state.faults.wrong_request_id:
            response_id = "another-request"
        self.set_header("X-Request-Id", response_id)
        self.set_header("X-Cache", "hit" if hit else "miss")
        text = request["messages"][-1].get("content", "")
        if not request.get("stream"):
            await asyncio.sleep(self.state.token_pause_s * count)
            self.finish({"choices": [{"message": {"content": f"{text}:{count}"}}]})
            return
        last = self.request.headers.get("Last-Event-ID")
        if last is not None and not self._can_resume(response_id):
            self.set_status(410)
            self.finish({"error": "the stream can not be resumed"})
            return
        self.state.store_stream(response_id, ResumableStream(text, count))
        self.set_header("Content-Type", "text/event-stream")
        await self._stream(response_id, text, range(int(last or -1) + 1, count))

    def _can_resume(self, request_id: str) -> bool:
        if self.state.faults.forget_streams or request_id not in self.state.resumable_streams:
            return False
        self.state.resumed += 1
        return True

    async def _stream(self, request_id: str, text: str, indexes: range) -> None:
        faults = self.state.faults
        for index in indexes:
            if faults.stall_after_tokens == index:
                await asyncio.sleep(3600)
            if faults.break_after_tokens == index:
                faults.break_after_tokens = None
                self.request.connection.stream.close()
                return
            self._write_event(request_id, text, index)
            await self.flush()
            await asyncio.sleep(self.state.token_pause_s)
        if not faults.truncate:
            self.write("data: [DONE]\n\n")

    def _write_event(self, request_id: str, text: str, index: int) -> None:
        self.state.tokens += 1
        event_request_id = "f" * 24 if self.state.faults.wrong_event_ids and index else request_id
        delta = {
            "id": ID_PREFIX + event_request_id,
            "choices": [{"delta": {"content": f"{text}:{index} "}}],
        }
        self.write(f"id: {index}\ndata: {json.dumps(delta)}\n\n")


class _Load(RequestHandler):
    def initialize(self, state: EngineState) -> None:
        self.state = state

    def get(self) -> None:
        now = asyncio.get_running_loop().time()
        self.finish(
            {
                "boot_id": self.state.boot_id,
                "uptime_s": now - self.state.booted_at,
                "in_flight": self.state.in_flight,
                "cached_prefixes": len(self.state.prefix_cache),
            }
        )


class Engine:
    """The running stand-in. Tests and the demo change `state` directly."""

    def __init__(self, name: str, age_s: float = 0.0, **settings: float) -> None:
        self._age_s = age_s
        self.state = EngineState(name, **settings)  # type: ignore[arg-type]
        self.address = ""

    def start(self) -> None:
        """Listen on a port that the system assigns."""
        shared = {"state": self.state}
        app = Application(
            [(r"/v1/chat/completions", _Chat, shared), (r"/load", _Load, shared)],
            log_function=lambda handler: None,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.state.booted_at = asyncio.get_running_loop().time() - self._age_s
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
