"""A stand-in for the platform's object store with lists, watches, writes and injected faults."""

import asyncio
import json
from collections.abc import Collection, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from almondspindle.utils.sockets import reset_connection

LOOPBACK = "127.0.0.1"
PAGE_SIZE = 2  # number of items; small, so that every test reads several pages


@dataclass
class ObjectStore:
    """The running stand-in.

    While `error_status` is not 0, it is the status of the response to every call.
    `is_unresponsive` keeps connections open without a response. `lose_responses` does writes, but
    closes the connection without a response. `era` is stated in each response unless it is 0, but
    for the next responses, which state `next_eras`.
    """

    address: str = ""
    revision: int = 100
    objects: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[tuple[int, str, bytes, bool]] = field(default_factory=list)
    oldest_revision: int = 0
    era: int = 0
    next_eras: list[int] = field(default_factory=list)
    error_status: int = 0
    is_unresponsive: bool = False
    lose_responses: bool = False
    calls: list[str] = field(default_factory=list)

    async def __aenter__(self) -> "ObjectStore":
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        await self.come_back()
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def come_back(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{self._port}"

    def go_away(self) -> None:
        """Reset all connections, and refuse new ones until `come_back`."""
        self._server.close()
        for writer in list(self._writers):
            reset_connection(writer.transport)

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object, as an operator or a replica does; `spec` may be any JSON value."""
        return await self._put(kind, name, spec=spec)

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return json.loads(self.objects[kind][name])["status"]

    async def _put(self, kind: str, name: str, **parts: object) -> int:
        """Replace the spec or the status of an object, or create it."""
        self.revision += 1
        raw = self.objects.get(kind, {}).get(name)
        known = _parse(raw) or {"meta": {}, "spec": None, "status": None}
        meta = {"create_revision": self.revision, **known["meta"]}
        meta |= {"name": name, "rev": self.revision, "finalizers": [], "deleting": False}
        raw = json.dumps({**known, "meta": meta, **parts}).encode()
        await self._write(kind, name, raw, removed=False)
        return self.revision

    async def put_bytes(self, kind: str, name: str, raw: bytes) -> int:
        """Write an object that may hold anything, as another writer does."""
        self.revision += 1
        await self._write(kind, name, raw, removed=False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        await self._write(kind, name, self.objects[kind][name], removed=True)

    async def fail_calls(self, status: int) -> None:
        """Respond to every call, including pending watches, with `status`.

        Setting `error_status` to 0 ends this.
        """
        self.error_status = status
        self._notify()

    def forget_history(self) -> None:
        """Respond with 410 to watches that start before the current revision."""
        self.oldest_revision = self.revision

    def copy(self) -> tuple[int, dict[str, dict[str, Any]]]:
        """Return a copy from which the store can come back."""
        return self.revision, {kind: dict(group) for kind, group in self.objects.items()}

    def restore(self, copy: tuple[int, dict[str, dict[str, Any]]]) -> None:
        """Go back to a copy without any history. Revisions are given out again."""
        revision, objects = copy
        self.revision, self.objects = revision, {k: dict(group) for k, group in objects.items()}
        self.history, self.oldest_revision = [], revision
        self.era += 1

    async def write_again(
        self, kinds: Collection[str], lost: Mapping[str, Mapping[str, Any]]
    ) -> None:
        """Bring the objects of `kinds` to what they were in `lost`, as their writers do.

        Their status is not theirs, and stays lost.
        """
        for kind in kinds:
            wanted, current = lost.get(kind, {}), dict(self.objects.get(kind, {}))
            for name in current.keys() - wanted.keys():
                await self.remove(kind, name)
            for name, raw in wanted.items():
                if name not in current or _spec(current[name]) != _spec(raw):
                    await self.put(kind, name, _spec(raw))

    async def _write(self, kind: str, name: str, raw: bytes, removed: bool) -> None:
        group = self.objects.setdefault(kind, {})
        if removed:
            group.pop(name, None)
        else:
            group[name] = raw
        self.history.append((self.revision, kind, raw, removed))
        self._notify()

    def _notify(self) -> None:
        """Wake all pending watches. Each of them waits on the event that was current before."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_call(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
            body = await reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
            return
        method, target, _ = lines[0].split(" ")
        self.calls.append(f"{method} {target}")
        if self.is_unresponsive:
            await reader.read()
            writer.close()
            return
        try:
            response = (
                await self._respond(method, target, body)
                if not self.error_status
                else (self.error_status, b"")
            )
        except asyncio.CancelledError:
            # The test has ended. asyncio would log the cancellation as an error.
            writer.close()
            return
        status, content = response
        if not (self.lose_responses and method != "GET"):
            stated = self.next_eras.pop(0) if self.next_eras else self.era
            era = f"Store-Era: {stated}\r\n" if stated else ""
            length = f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
            writer.write(f"HTTP/1.1 {status} X\r\n{era}{length}".encode() + content)
        writer.close()

    async def _respond(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        _, _, _, kind, *rest = parts.path.split("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET" and not rest:
            return 200, self._page(kind, query.get("after", ""))
        document = json.loads(body or b"{}")
        name = rest[0] if rest else document["meta"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if method == "GET" or (known is None and rest[1:] == ["status"]):
            return (200, known) if known is not None else (404, b"")
        if known is not None and (method == "POST" or _differs(document["meta"], known)):
            return 409, known
        part = "status" if rest[1:] == ["status"] else "spec"
        await self._put(kind, name, **{part: document[part]})
        return 200, self.objects[kind][name]

    def _page(self, kind: str, after: str) -> bytes:
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        items = b",".join(self.objects[kind][name] for name in names[:PAGE_SIZE])
        more = b"true" if len(names) > PAGE_SIZE else b"false"
        return b'{"items":[%b],"more":%b,"store_revision":%d}' % (items, more, self.revision)

    async def _watch(self, kind: str, after: int, wait_s: float) -> tuple[int, bytes]:
        if not self.oldest_revision <= after <= self.revision:
            return 410, b""

        def new_events() -> list[bytes]:
            return [
                b'{"object":%b,"deleted":%b}' % (raw, b"true" if removed else b"false")
                for revision, of_kind, raw, removed in self.history
                if of_kind == kind and revision > after
            ]

        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not (self.error_status or new_events()):
                    await self._changed.wait()
        if self.error_status:
            return self.error_status, b""
        events = b",".join(new_events())
        return 200, b'{"events":[%b],"store_revision":%d}' % (events, self.revision)


def _differs(meta: dict[str, Any], known: bytes) -> bool:
    """Return whether a write is conditional on another revision than that of `known`."""
    stored = _parse(known)
    return bool(meta.get("rev")) and stored is not None and meta["rev"] != stored["meta"]["rev"]


def _spec(raw: bytes) -> Any:
    return json.loads(raw)["spec"]


def _parse(raw: bytes | None) -> dict[str, Any] | None:
    """Return the object in `raw`, or None if there is none that can be read."""
    try:
        stored = json.loads(raw or b"null")
    except (ValueError, RecursionError):
        return None
    is_sound = isinstance(stored, dict) and isinstance(stored.get("meta"), dict)
    return stored if is_sound else None
