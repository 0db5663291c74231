"""A part of prompts crashes replicas, and the process that watches for it ends by itself."""

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRun,
    Node,
    Record,
    Store,
    answer_head,
    event_chunk,
    manifest,
    read_head,
    replica_entry,
    request_head,
    route,
    run_case,
    serve,
    split,
    stream_head,
)

DOWN_S = 3.0
FIRST_EVENT_S, OTHERS_FIRST_EVENT_S = 1.5, 0.1
CRASH_AFTER_S = 0.3
SMALL_CONSUMERS = 10
ORDER_S = 0.4
MANY = 3  # LOST: more than three times
# The first parts are two, as of two kinds of question; the parts after them are two documents.
FIRST, SECOND = "10000001", "10000002"
SOUND, BAD = "30000001", "20000002"
# When requests with these two parts come, in seconds from the first of the others.
REQUESTS = (
    (1.0, FIRST, SOUND),
    (1.3, FIRST, BAD),
    (2.6, SECOND, SOUND),
    (2.9, SECOND, BAD),
    (5.1, FIRST, SOUND),
    (5.4, FIRST, BAD),
    (6.9, FIRST, SOUND),
    (7.2, FIRST, BAD),
    (9.2, SECOND, SOUND),
)
LENGTH_S = 14.0


class ModelReplica:
    """A model replica that a bad part crashes. It is back after some seconds, under its id."""

    def __init__(self, name: str, store: Store, record: Record) -> None:
        self.name, self._store, self._record = name, store, record
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and write the entry in the store."""
        self._server = await asyncio.start_server(self._guard, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        entry = replica_entry("spindle-draft", f"127.0.0.1:{self._port}", 64)
        await self._store.put("servers", self.name, {**entry, "born": int(time.time() * 1000)})

    async def _guard(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._serve(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await read_head(reader)) is not None:
            _, headers = head
            await reader.readexactly(int(headers.get("content-length", 0)))
            request_id = headers["x-request-id"]
            self._record.note(f"{self.name} gets {request_id}")
            if BAD in headers["x-prompt-prefix"]:
                await asyncio.sleep(CRASH_AFTER_S)
                asyncio.get_running_loop().create_task(self._crash(request_id))
                return
            is_other = request_id.startswith("other")
            await asyncio.sleep(OTHERS_FIRST_EVENT_S if is_other else FIRST_EVENT_S)
            writer.write(stream_head(request_id) + event_chunk(1) + event_chunk(2) + b"0\r\n\r\n")
            await writer.drain()

    async def _crash(self, request_id: str) -> None:
        if not self._server.is_serving():
            return
        self._record.note(f"{self.name} crashes on {request_id}")
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        await self.start()
        self._record.note(f"{self.name} is back")


class Desk:
    """A sound replica of another service, which takes `ORDER_S` for each order."""

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel."""
        while (head := await read_head(reader)) is not None:
            _, headers = head
            await reader.readexactly(int(headers.get("content-length", 0)))
            await asyncio.sleep(ORDER_S)
            writer.write(answer_head(headers["x-request-id"], "Content-Length: 2") + b"ok")
            await writer.drain()


async def ask(node: Node, request_id: str, prefix: str, record: Record) -> None:
    """Send one request with a prompt."""
    outcome = "no answer"
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(9):
            reader, writer = await asyncio.open_connection(*split(node.front))
            writer.write(
                request_head(
                    "POST", "/bible/x", request_id, X_Deadline_Ms="8000", X_Model="m",
                    X_Token_Count="1460,80", X_Prompt_Prefix=prefix, Content_Length="2",
                ) + b"{}"
            )  # fmt: skip
            head = await read_head(reader)
            outcome = head[0] if head else outcome
            await reader.read()
            writer.close()
    record.note(f"{request_id}, {prefix}: {outcome}")


async def orders(
    number: int, node: Node, record: Record, lost: list[str], end: asyncio.Event
) -> int:
    """Send small orders one after the other on one channel. Return the number of answers."""
    reader, writer = await asyncio.open_connection(*split(node.front))
    answers = 0
    while not end.is_set():
        request_id = f"order-{number}-{answers + 1}"
        with suppress(ConnectionError):
            writer.write(
                request_head(
                    "POST", "/booking/x", request_id, X_Deadline_Ms="5000", Content_Length="2"
                )
                + b"{}"
            )
            answer = await read_head(reader)
            if answer is not None:
                await reader.readexactly(int(answer[1].get("content-length", 0)))
                answers += 1
                if " 200 " not in answer[0]:
                    record.note(f"{request_id} is answered {answer[0]}")
                continue
        record.note(f"{request_id}: the channel ended without an answer")
        if answers:  # the channel was a kept one
            lost.append(request_id)
        break
    writer.close()
    return answers


async def main(record: Record, folder: Path, trouble: bool) -> int:
    """Return whether the rule held."""
    store, lost, end = Store(), [], asyncio.Event()
    await store.start()
    routes = [
        route("bible", "stream", "spindle-draft", sticky=True, latency_target_ms=500),
        route("booking", "unsafe", "jadual-desk", timeout_ms=5000, latency_target_ms=125),
    ]
    await store.put("config", "main", manifest(routes, ["spindle-draft", "jadual-desk"]))
    for number in range(2):
        await ModelReplica(f"i-{number}", store, record).start()
    _, address = await serve(Desk().handle)
    await store.put("servers", "i-desk", replica_entry("jadual-desk", address, 64))
    node = Node(store.address, folder)
    tasks: list[asyncio.Task[None]] = []
    try:
        node.start()
        await node.wait_ready()
        callers = [
            asyncio.create_task(orders(number, node, record, lost, end))
            for number in range(SMALL_CONSUMERS)
        ]
        await asyncio.sleep(4)  # `stable_window_ms` and more
        begun_at = time.monotonic()
        waiting = [each for each in REQUESTS if trouble or each[2] != BAD]
        number = 0
        while time.monotonic() - begun_at < LENGTH_S and node.process.poll() is None:
            number += 1
            while waiting and waiting[0][0] <= time.monotonic() - begun_at:
                at, first, second = waiting.pop(0)
                name = f"{'bad' if second == BAD else 'sound'}-{at}"
                prefix = f"{first}:800,{second}:410,{number + 4096:08x}:250"
                tasks.append(asyncio.create_task(ask(node, name, prefix, record)))
            if number % 4 == 0:
                prefix = f"e0000001:800,e0000002:410,{number + 65536:08x}:250"
                tasks.append(asyncio.create_task(ask(node, f"other-{number}", prefix, record)))
            await asyncio.sleep(0.05)
        has_ended = node.process.poll() is not None
        if not has_ended:
            end.set()
        answers = sum(await asyncio.gather(*callers))
        await asyncio.gather(*tasks)
        if has_ended:
            record.note(f"the process has ended by itself with status {node.process.returncode}")
            for line in (folder / "node.log").read_text(errors="replace").splitlines():
                if "task_failed" in line or "KeyError" in line:
                    record.note(f"its log: {line[:200]}")
    finally:
        node.stop()
    if not answers:
        raise CannotRun("no order was answered")
    record.note(
        f"LOST: {len(lost)} orders on kept channels were passed on and got no answer: {lost}"
    )
    return BROKEN if has_ended and len(lost) > MANY else HELD


run_case(main, FOLDER, 60)
