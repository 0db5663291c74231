"""The time in which bytes of others are read grows in step with their length.

Guards against a host that does nothing else for seconds, since a pattern or a growing copy takes
time in the square of the length of what a target, a peer, the store or a caller sent.
"""

import asyncio
import time
import zlib
from collections.abc import Callable
from contextlib import suppress

import pytest
from eliot import add_destinations, remove_destination

from almondspindle.adapters.exchange.datagrams import decode_report
from almondspindle.adapters.exchange.patches import MAX_PATCHED_BYTES, apply_patch, make_patch
from almondspindle.adapters.exchange.topics import MAX_UPDATE_BYTES, TopicClient
from almondspindle.adapters.http1.pool import idle_limit_s
from almondspindle.adapters.platform.base import StoreErrorCode
from almondspindle.adapters.target.events import EventScanner, EventTooLong
from almondspindle.core.clock import ManualClock
from almondspindle.core.events import LOOP_STALLED, STEP_SLOW
from almondspindle.core.inventory import Snapshot, Topic
from almondspindle.core.metrics import LOOP_STALLS
from almondspindle.core.registry import MetricRegistry
from almondspindle.core.steps import MAX_STEP_S, TimedStep
from almondspindle.platform.headers import read_call, read_response_head
from almondspindle.platform.objects import decode_record
from almondspindle.platform.pages import decode_events, decode_page
from almondspindle.utils.loop_monitor import LoopMonitor
from tests.standins.node_fleet import wait_until
from tests.standins.revisions import at

HEAD_BYTES = 60_000  # of the 64 KB of a target's head that are read
CALLER_BYTES = 16_000
STORE_BYTES = 1_000_000
EVENT_BYTES = 1_000_000
REPORT_BYTES = 60_000
FACTOR = 8
MAX_GROWTH = 3 * FACTOR  # reading in the square of the length would take 64 times as long
TOO_SHORT_S = 0.0005  # less is noise

Reader = Callable[[], object]


def response_head(name: str, value: Callable[[int], str]) -> Callable[[int], Reader]:
    return lambda n: lambda text=value(n): read_response_head(503, ((name, text),))


def request_head(name: str, value: Callable[[int], str]) -> Callable[[int], Reader]:
    def make(n: int) -> Reader:
        headers = (("Host", "h"), ("X-Request-Id", "1"), (name, value(n)))
        return lambda: read_call("POST", "/", headers, b"", 0.0)

    return make


def chunks(piece: bytes) -> Callable[[int], Reader]:
    """Return a reader of a stream that arrives in small pieces."""

    def make(n: int) -> Reader:
        def read() -> None:
            scanner = EventScanner()
            with suppress(EventTooLong):
                for _ in range(n // len(piece)):
                    scanner.feed(piece)

        return read

    return make


def distinct_pieces(n: int, first: int) -> bytes:
    return b"".join(b"{%d" % number for number in range(first, first + n // 8))


def patch(n: int) -> Reader:
    base, new = distinct_pieces(n, 10**6), distinct_pieces(n, 3 * 10**6)
    return lambda: make_patch(base, new)


def unreadable(text: Callable[[int], bytes]) -> Callable[[int], Reader]:
    def make(n: int) -> Reader:
        raw = b'{"meta":{"name":"a","rev":5},"spec":' + text(n) + b"}"
        return lambda: decode_record(Topic.TARGETS, raw, at(9))

    return make


def malformed(decode: Callable[[bytes], object], text: Callable[[int], bytes]):
    def make(n: int) -> Reader:
        body = text(n)

        def read() -> None:
            with suppress(ValueError):
                decode(body)

        return read

    return make


READERS: dict[str, tuple[int, Callable[[int], Reader]]] = {
    "pause, digits": (HEAD_BYTES, response_head("Retry-After", lambda n: "1" * n + "~")),
    "pause, fraction": (HEAD_BYTES, response_head("Retry-After", lambda n: "1." + "1" * n + "~")),
    "pause, spaces": (HEAD_BYTES, response_head("Retry-After", lambda n: " " * n + "1 1")),
    "cold time": (HEAD_BYTES, response_head("X-Cold-Ms", lambda n: "1" * n)),
    "load": (HEAD_BYTES, response_head("X-Load", lambda n: "1," * (n // 2))),
    "instance": (HEAD_BYTES, response_head("X-Instance", lambda n: " " * n + "a")),
    "keep-alive": (HEAD_BYTES, lambda n: lambda t=" =,;" * (n // 4): idle_limit_s(
        (("Keep-Alive", t),)
    )),
    "deadline": (CALLER_BYTES, request_head("X-Deadline-Ms", lambda n: "1" * n)),
    "prompt": (CALLER_BYTES, request_head("X-Prompt-Prefix", lambda n: "a:1," * (n // 4))),
    "tokens": (CALLER_BYTES, request_head("X-Token-Count", lambda n: "1" * n + "," + "1" * n)),
    "connection": (CALLER_BYTES, request_head("Connection", lambda n: "a," * (n // 2))),
    "event without an end": (EVENT_BYTES, chunks(b"data: 12345\n")),
    "event of carriage returns": (EVENT_BYTES, chunks(b"\r" * 16)),
    "events": (EVENT_BYTES, chunks(b"id: 1\ndata: x\n\n")),
    "new manifest": (STORE_BYTES, patch),
    "nested record": (STORE_BYTES, unreadable(lambda n: b"[" * n + b"]" * n)),
    "long number": (STORE_BYTES, unreadable(lambda n: b"1" * n)),
    "long fraction": (STORE_BYTES, unreadable(lambda n: b"0." + b"1" * n)),
    "escapes": (STORE_BYTES, unreadable(lambda n: b'"' + b"\\\\" * n + b'"')),
    "page": (STORE_BYTES, malformed(decode_page, lambda n: b'{"items":[' + b'{"a":[' * (n // 6))),
    "page of quotes": (STORE_BYTES, malformed(decode_page, lambda n: b'{"items":' + b'"' * n)),
    "changes": (
        STORE_BYTES, malformed(decode_events, lambda n: b'{"events":' + b"[{}," * (n // 4))
    ),
    "report": (REPORT_BYTES, malformed(decode_report, lambda n: b"h" + b"\x91" * n)),
}  # fmt: skip


def cost_s(read: Reader) -> float:
    """Return the least processor time of some runs of `read`, in seconds."""
    costs = []
    for _ in range(4):
        began_at = time.process_time()
        read()
        costs.append(time.process_time() - began_at)
    return min(costs)


@pytest.mark.parametrize(("bound", "make"), READERS.values(), ids=READERS)
def test_the_time_to_read_grows_in_step_with_the_length(bound, make):
    shorter = max(cost_s(make(bound // FACTOR)), TOO_SHORT_S)
    assert cost_s(make(bound)) <= MAX_GROWTH * shorter


def test_a_patch_that_repeats_pieces_without_end_is_rejected():
    base = b"{" + b"x" * 1_000_000
    with pytest.raises(ValueError, match="more than"):
        apply_patch(base, [(1, 1)] * (MAX_PATCHED_BYTES // 1_000_000 + 1))


def test_an_update_that_decompresses_without_end_is_rejected():
    body = zlib.compress(b"\x00" * (MAX_UPDATE_BYTES + 1))
    result = TopicClient(decode_record)._decode(Snapshot(Topic.TARGETS, at(0), ()), body)
    assert result.error.code is StoreErrorCode.MALFORMED


def test_a_step_that_stops_the_loop_is_logged_and_counted():
    clock, metrics, lines = ManualClock(), MetricRegistry(), []

    async def check() -> None:
        monitor = asyncio.ensure_future(LoopMonitor(clock, metrics).run())
        await asyncio.sleep(0)
        with TimedStep(clock, "response head", target="t1"):
            clock.advance(MAX_STEP_S)
        clock.advance(2 * MAX_STEP_S)
        await wait_until(lambda: any(line["event"] == LOOP_STALLED.name for line in lines))
        monitor.cancel()

    add_destinations(lines.append)
    try:
        asyncio.run(check())
    finally:
        remove_destination(lines.append)
    slow = [line for line in lines if line["event"] == STEP_SLOW.name]
    assert [(line["step"], line["target"]) for line in slow] == [("response head", "t1")]
    assert f"{LOOP_STALLS.name}_total 1" in metrics.render_prometheus()
