"""A stand-in for a plain service, whose commits must run at most once."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


@dataclass
class PlainState:
    """The number of runs of each idempotency key, and faults.

    `drop_responses` is how many more commits run without a response.
    """

    runs: Counter[str] = field(default_factory=Counter)
    reads: int = 0
    drop_responses: int = 0
    delay_s: float = 0.0
    may_respond: asyncio.Event | None = (
        None  # if given, commits run but respond only once it is set
    )


class _Service(RequestHandler):
    def initialize(self, state: PlainState) -> None:
        self.state = state

    def get(self, path: str) -> None:
        self.state.reads += 1
        self._set_request_id()
        self.finish({"path": path, "commits": sum(self.state.runs.values())})

    async def post(self, path: str) -> None:
        key = self.request.headers.get("Idempotency-Key", "")
        self.state.runs[key] += 1
        if self.state.delay_s:
            await asyncio.sleep(self.state.delay_s)
        if self.state.may_respond is not None:
            await self.state.may_respond.wait()
        if self.state.drop_responses:
            self.state.drop_responses -= 1
            self.request.connection.stream.close()
            return
        self._set_request_id()
        self.finish({"path": path, "key": key, "run": self.state.runs[key]})

    def _set_request_id(self) -> None:
        self.set_header("X-Request-Id", self.request.headers.get("X-Request-Id", ""))


class PlainService:
    """The running stand-in. Replicas of one service may share `state`."""

    def __init__(self, state: PlainState | None = None) -> None:
        self.state = state or PlainState()
        self.address = ""

    def start(self) -> None:
        """Listen on a port that the system assigns."""
        app = Application(
            [(r"/(.*)", _Service, {"state": self.state})], log_function=lambda handler: None
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
