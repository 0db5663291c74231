"""A stand-in for the platform's object API and host list that injects faults."""

import asyncio
import json
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_OBJECT_BYTES = 1024 * 1024


@dataclass
class StoreFaults:
    """Faults that a test switches on.

    `lose_responses` is how many more writes are done without a response, and `drop_writes` how many
    more are neither done nor responded to.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_responses: int = 0
    drop_writes: int = 0


@dataclass
class StoreState:
    """Objects with their versions, the host list, and the number of calls of each HTTP method."""

    objects: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    host_list: list[dict] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: dict[str, int] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, name: str, value: bytes) -> int:
        """Store `value` and return its version, which is higher than all earlier ones of `name`."""
        version = self.versions.get(name, 0) + 1
        self.versions[name] = version
        self.objects[name] = (value, version)
        self.changed.set()
        self.changed = asyncio.Event()
        return version

    def remove(self, name: str) -> None:
        """Delete an object. If it is created again, its version is higher than before."""
        self.objects.pop(name, None)
        self.versions[name] = self.versions.get(name, 0) + 1

    def version(self, name: str) -> int:
        """Return the version of an object, or 0 if there is none."""
        return self.objects[name][1] if name in self.objects else 0


class _Handler(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    async def prepare(self) -> None:
        method = self.request.method or ""
        self.state.calls[method] = self.state.calls.get(method, 0) + 1
        if self.state.faults.delay_s:
            await asyncio.sleep(self.state.faults.delay_s)
        if self.state.faults.down:
            self.send_error(503)

    def close_connection(self) -> None:
        """Close the connection without a response."""
        self.request.connection.stream.close()


class _Object(_Handler):
    async def get(self, name: str) -> None:
        after = int(self.get_query_argument("after", "-1"))
        if after >= 0 and not await self._wait_for(name, after):
            self.set_status(304)
            return
        if self.state.faults.down:
            self.send_error(503)
            return
        if name not in self.state.objects:
            self.send_error(404)
            return
        value, version = self.state.objects[name]
        self.set_header("ETag", str(version))
        self.finish(value)

    async def _wait_for(self, name: str, after: int) -> bool:
        wait_s = float(self.get_query_argument("wait_s", "0"))
        deadline_at = asyncio.get_running_loop().time() + wait_s
        while self.state.version(name) <= after:
            remaining_s = deadline_at - asyncio.get_running_loop().time()
            try:
                await asyncio.wait_for(self.state.changed.wait(), max(remaining_s, 0.001))
            except TimeoutError:
                return False
        return True

    def put(self, name: str) -> None:
        if len(self.request.body) > MAX_OBJECT_BYTES:
            self.send_error(413)
            return
        if not self._has_expected_version(name):
            return
        if self.state.faults.drop_writes:
            self.state.faults.drop_writes -= 1
            self.close_connection()
            return
        version = self.state.put(name, self.request.body)
        if self.state.faults.lose_responses:
            self.state.faults.lose_responses -= 1
            self.close_connection()
            return
        self.set_header("ETag", str(version))

    def delete(self, name: str) -> None:
        if self._has_expected_version(name):
            self.state.remove(name)

    def _has_expected_version(self, name: str) -> bool:
        expected = int(self.request.headers.get("If-Match", "-1"))
        if expected != self.state.version(name):
            self.send_error(412)
            return False
        return True


class _Names(_Handler):
    def get(self) -> None:
        prefix = self.get_query_argument("prefix", "")
        versions = {n: v for n, (_, v) in self.state.objects.items() if n.startswith(prefix)}
        self.finish(json.dumps(versions))


class _Hosts(_Handler):
    def get(self) -> None:
        self.finish(json.dumps({"entries": self.state.host_list}))


class Store:
    """The running stand-in. Tests change `state` directly, and programs use HTTP."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.address = ""

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    def start(self) -> None:
        """Listen on a port that the system assigns."""
        shared = {"state": self.state}
        app = Application(
            [
                (r"/v1/objects", _Names, shared),
                (r"/v1/objects/(.+)", _Object, shared),
                (r"/v1/hosts", _Hosts, shared),
            ],
            log_function=lambda handler: None,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
