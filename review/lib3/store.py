"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import copy
import json
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from review.lib3.http import Message, encode, read_message
from review.lib3.record import Record

PAGE = 500
ANSWER_S = 0.004
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with one revision counter and a history of changes."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 100
        self._objects: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._port = 0
        self.era = 1

    @property
    def address(self) -> str:
        """Return the address of the store."""
        return f"127.0.0.1:{self._port}"

    @property
    def revision(self) -> int:
        """Return the store's revision."""
        return self._revision

    async def start(self) -> None:
        """Listen, at the same port as before if it has listened already."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def make_copy(self) -> tuple:
        """Return a copy from which the store can come back."""
        return copy.deepcopy((self._revision, self._objects, self._history))

    def restore(self, saved: tuple) -> None:
        """Go back to a copy. Revisions go back, and the era rises by one."""
        self._revision, self._objects, self._history = copy.deepcopy(saved)
        self.era += 1

    def get(self, kind: str, name: str) -> dict | None:
        """Return an object."""
        return self._objects.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or a replica does; return the store's revision."""
        known = self.get(kind, name)
        if known is not None and known["spec"] == spec:
            return self._revision
        created = known["meta"]["create_revision"] if known else self._revision + 1
        self._write(kind, name, created, spec, known["status"] if known else None)
        return self._revision

    def beat(self, name: str, spec: dict) -> None:
        """Write a replica's entry. It changes only when more than `seq` changes."""
        known = self.get("servers", name)
        if known is not None:
            before = {k: v for k, v in known["spec"].items() if k != "seq"}
            if before == {k: v for k, v in spec.items() if k != "seq"}:
                return
        self.put("servers", name, spec)

    def delete(self, kind: str, name: str) -> int:
        """Remove an object; return the store's revision."""
        gone = self._objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self._revision += 1
            self._note(kind, gone, True)
        return self._revision

    def _write(self, kind: str, name: str, created: int, spec: object, status: object) -> dict:
        self._revision += 1
        meta = {
            "name": name,
            "rev": self._revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": status}
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return stored

    def _note(self, kind: str, stored: dict, deleted: bool) -> None:
        self._history.append((self._revision, kind, stored, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(message)
                head = f"HTTP/1.1 {status} {REASONS.get(status, '')}"
                fields = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(encode(head, fields, body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, message: Message) -> tuple[int, bytes]:
        method, target, _ = message.first_line.split(" ")
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        _, _, _, kind, *rest = parts.path.split("/")
        names = [unquote(part) for part in rest]
        if method == "GET" and not names and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET" and not names:
            return 200, self._page(kind, query.get("after", ""))
        if method == "GET":
            known = self.get(kind, names[0])
            return (200, json.dumps(known).encode()) if known else (404, b"")
        return self._change(method, kind, names, json.loads(message.body or b"{}"))

    def _change(self, method: str, kind: str, names: list, given: dict) -> tuple[int, bytes]:
        name = names[0] if names else given["meta"]["name"]
        known = self.get(kind, name)
        if method == "POST" and known is not None:
            return 409, json.dumps(known).encode()
        if method == "POST":
            created = self._write(kind, name, self._revision + 1, given.get("spec"), None)
            return 201, json.dumps(created).encode()
        if known is None:
            return 404, b""
        wanted = given.get("meta", {}).get("rev")
        if wanted and wanted != known["meta"]["rev"]:
            return 409, json.dumps(known).encode()
        if method == "DELETE":
            self.delete(kind, name)
            return 200, b"{}"
        part = "status" if names[1:] == ["status"] else "spec"
        if known[part] == given.get(part):
            return 200, json.dumps(known).encode()
        changed = {**known, part: given.get(part)}
        created = known["meta"]["create_revision"]
        stored = self._write(kind, name, created, changed["spec"], changed["status"])
        return 200, json.dumps(stored).encode()

    def _page(self, kind: str, after: str) -> bytes:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = {
            "items": [objects[name] for name in names[:PAGE]],
            "more": len(names) > PAGE,
            "store_revision": self._revision,
        }
        return json.dumps(page).encode()

    async def _watch(self, kind: str, after: int, wait_s: float) -> tuple[int, bytes]:
        if after > self._revision:
            return 410, b""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of_kind, stored, deleted in self._history
                if of_kind == kind and revision > after
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return 200, json.dumps({"events": events, "store_revision": self._revision}).encode()
