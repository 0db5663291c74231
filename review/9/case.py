"""A part of prompts crashes each replica that begins to write an answer on it."""

import asyncio
import os
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
    event_chunk,
    manifest,
    read_head,
    replica_entry,
    request_head,
    route,
    run_case,
    split,
    stream_head,
)

STABLE_WINDOW_S = 3.0  # `stable_window_ms`
REPLICAS = 4
DOWN_S = 3.0
BAD_PER_S, SOUND_PER_S = 2, 10
CALM_S, TROUBLE_S = 12.0, 40.0
FIRST_PART, BAD_PART = "5c1e07a2", "91bd3f06"
EVENTS, STEP_S = 10, 0.05
# How many events of an answer the replica has written when it goes down.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))
FEWEST, HALF = 20, 0.5


class Replica:
    """A model replica that a bad part crashes. It is back after some seconds, under its id."""

    def __init__(self, name: str, store: Store, record: Record) -> None:
        self.name, self._store, self._record = name, store, record
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self.crashes: list[float] = []
        self.bad_arrivals: list[float] = []

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
            is_bad = BAD_PART in headers["x-prompt-prefix"]
            if is_bad:
                self.bad_arrivals.append(time.monotonic())
                self._record.note(f"{request_id}, with the bad part, reaches {self.name}")
            await asyncio.sleep(STEP_S)
            writer.write(stream_head(request_id))
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                if is_bad and number - first >= EVENTS_BEFORE_CRASH:
                    asyncio.get_running_loop().create_task(self._crash(request_id))
                    return
                writer.write(event_chunk(number))
                await writer.drain()
                await asyncio.sleep(STEP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    async def _crash(self, request_id: str) -> None:
        if not self._server.is_serving():
            return
        self._record.note(f"{self.name} crashes on {request_id}")
        self.crashes.append(time.monotonic())
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        await self.start()
        self._record.note(f"{self.name} is back")


async def ask(node: Node, request_id: str, prefix: str, record: Record) -> tuple[float, bool]:
    """Send one request. Return when it was sent, and whether its answer began."""
    sent_at = time.monotonic()
    has_begun, outcome = False, "no answer"
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection(*split(node.front))
            writer.write(
                request_head("POST", "/rushes/x", request_id, X_Deadline_Ms="8000", X_Model="m",
                             X_Token_Count="1460,80", X_Prompt_Prefix=prefix, Content_Length="2")
                + b"{}"
            )  # fmt: skip
            head = await read_head(reader)
            outcome = head[0] if head else outcome
            if head and " 200 " in head[0]:
                has_begun = b"id: " in await reader.readuntil(b"\n\n")
                await reader.read()
            writer.close()
    record.note(f"{request_id}: {outcome}, begun: {has_begun}")
    return sent_at, has_begun


async def main(record: Record, folder: Path, trouble: bool) -> int:
    """Return whether the rule held."""
    store = Store()
    await store.start()
    routes = [route("rushes", "stream", "spindle-draft", attempts=2, resumable=True, sticky=True)]
    await store.put("config", "main", manifest(routes, ["spindle-draft"]))
    replicas = [Replica(f"i-{number}", store, record) for number in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    node = Node(store.address, folder)
    sound: list[asyncio.Task[tuple[float, bool]]] = []
    bad: list[asyncio.Task[tuple[float, bool]]] = []

    async def send_sound(end: float) -> None:
        while time.monotonic() < end:
            number = len(sound)
            prefix = f"{FIRST_PART}:800,{number % 7 + 16:08x}:410,{number + 4096:08x}:250"
            sound.append(asyncio.create_task(ask(node, f"sound-{number}", prefix, record)))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def send_bad(end: float) -> None:
        while time.monotonic() < end:
            number = len(bad)
            prefix = f"{FIRST_PART}:800,{BAD_PART}:410,{number + 65536:08x}:250"
            bad.append(asyncio.create_task(ask(node, f"bad-{number}", prefix, record)))
            await asyncio.sleep(1 / BAD_PER_S)

    try:
        node.start()
        await node.wait_ready()
        await asyncio.sleep(STABLE_WINDOW_S)
        begun_at = time.monotonic()
        bad_at = begun_at + CALM_S
        end = bad_at + TROUBLE_S
        sending = asyncio.create_task(send_sound(end))
        await asyncio.sleep(CALM_S)
        if trouble:
            await send_bad(end)
        await sending
        results = await asyncio.gather(*sound)
        await asyncio.gather(*bad)
    finally:
        node.stop()
    crashes = sorted(at for replica in replicas for at in replica.crashes)
    calm = [ok for sent_at, ok in results if sent_at < bad_at - 2]
    if len(calm) < FEWEST or not any(calm):
        raise CannotRun("too few requests were served before the trouble")
    calm_share = sum(calm) / len(calm)
    record.note(
        f"{len(crashes)} crashes; before the trouble {sum(calm)} of {len(calm)} sound requests began"
    )
    if not crashes:
        return HELD
    fifth = crashes[min(4, len(crashes) - 1)]
    late_bad = [
        at for replica in replicas for at in replica.bad_arrivals if at > fifth + STABLE_WINDOW_S
    ]
    record.note(
        f"BUDGET: {len(late_bad)} requests with the bad part reached replicas later than"
        " stable_window_ms after the fifth crash or the last"
    )
    later = [ok for sent_at, ok in results if fifth + 2 * STABLE_WINDOW_S < sent_at < end]
    share = sum(later) / max(1, len(later))
    record.note(
        f"LOST: from 2 x stable_window_ms after that {sum(later)} of {len(later)} sound requests"
        f" began at the first attempt: {share:.2f} against {calm_share:.2f}"
    )
    return BROKEN if len(later) >= FEWEST and share < HALF * calm_share else HELD


run_case(main, FOLDER, 100)
