"""A stand-in for the platform's store: lists, watches and writes, as PROTOCOL.md describes them."""

import asyncio
import json
from collections import deque
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
HISTORY_CHANGES = 10_000
ANSWER_S = 0.004  # the site files state 4 ms


class Store:
    """The running stand-in. `revision` counts the changes of all kinds."""

    def __init__(self) -> None:
        self.revision = 1000
        self.address = ""
        self.kinds: dict[str, dict[str, dict]] = {}
        self._history: deque[tuple[int, str, dict, bool]] = deque(maxlen=HISTORY_CHANGES)
        self._changed = asyncio.Event()
        self._waiting: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at `host`:`port`."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{port}"

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; return the store's revision, which is the ack."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["meta"]["create_revision"] if known else self.revision
        meta = {
            "name": name,
            "rev": self.revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.kinds[kind][name] = item
        self._note(kind, item, False)
        return self.revision

    def delete(self, kind: str, name: str) -> int:
        """Remove an object; return the store's revision, which is the ack."""
        item = self.kinds[kind].pop(name)
        self.revision += 1
        self._note(kind, {**item, "meta": {**item["meta"], "rev": self.revision}}, True)
        return self.revision

    def cut_watches(self) -> int:
        """Close the channels of all watches that wait; return their number."""
        cut = list(self._waiting)
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    def _note(self, kind: str, item: dict, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                fields = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head[1:])}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await asyncio.sleep(ANSWER_S)
                status, document = await self._answer(method, target, body, writer)
                content = json.dumps(document).encode()
                closes = fields.get("connection", "").lower() == "close"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n"
                    f"{'Connection: close' if closes else 'Connection: keep-alive'}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._waiting.discard(writer)
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes, writer: asyncio.StreamWriter
    ) -> tuple[int, object]:
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        _, _, _, kind, *rest = parts.path.split("/")
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            self._waiting.add(writer)
            try:
                return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            finally:
                self._waiting.discard(writer)
        if method == "GET" and rest:
            name = unquote(rest[0])
            return (200, items[name]) if name in items else (404, {})
        if method == "GET":
            names = sorted(n for n in items if n > query.get("after", ""))
            page = [items[n] for n in names[:PAGE_ITEMS]]
            more = len(names) > PAGE_ITEMS
            return 200, {"items": page, "more": more, "store_revision": self.revision}
        document = json.loads(body)
        name = unquote(rest[0]) if rest else document["meta"]["name"]
        if method == "POST" and name in items:
            return 409, items[name]
        if method in ("POST", "PUT"):
            if name not in items or items[name]["spec"] != document["spec"]:
                self.put(kind, name, document["spec"])
            return 200, items[name]
        return 400, {}

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, object]:
        end = asyncio.get_running_loop().time() + min(wait_ms, 30_000) / 1000
        while True:
            if self._history and self._history[0][0] > after + 1 and len(
                self._history
            ) == HISTORY_CHANGES:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._history
                if of_kind == kind and revision > after
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass
