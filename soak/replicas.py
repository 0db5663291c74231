"""Replicas with delays and random failures that record what they receive."""

import asyncio
import random
import zlib
from collections.abc import Callable
from dataclasses import replace

from soak.history import (
    MAX_IN_PAUSE,
    PAUSE_GRACE_S,
    Announcement,
    ReplicaRequest,
    RunHistory,
    host_of,
)
from soak.timed_rules import DRAIN_S
from tests.standins import replica as r
from tests.standins.replica import ReceivedRequest, Replica, ScriptedResponse

EVENT_INTERVAL_S = 0.03  # between the events of a stream
PROCESSING_S = 0.02
LONG_PROCESSING_S = 1.2  # of one commit in LONG_EVERY
LONG_EVERY = 12
ERROR_SHARE = 0.02
REJECTED_SHARE = 0.02
TRUNCATED_SHARE = 0.02  # truncated or missing responses


def stream_length(request_id: str) -> int:
    """Return the number of events in the stream for a request, 3 to 22."""
    return 3 + zlib.crc32(request_id.encode()) % 20


def stream_body(request_id: str) -> bytes:
    """Return the complete stream for a request."""
    return b"".join(r.event(number) for number in range(1, stream_length(request_id) + 1))


def processing_s(request: ReceivedRequest) -> float:
    """Return the time until the response to a request begins, in seconds."""
    is_long = zlib.crc32(request.request_id.encode()) % LONG_EVERY == 0
    return LONG_PROCESSING_S if is_long and "/commit/" in request.path else PROCESSING_S


class SoakReplica(Replica):
    """A replica with delays and random failures that records the requests it receives.

    It can tell hosts that it is leaving until `leaves_at`, or ask them for a pause until
    `paused_until`, and is cold until `cold_until`, in seconds since the start of the run.
    """

    def __init__(
        self, name: str, history: RunHistory, rng: random.Random, now: Callable[[], float]
    ) -> None:
        super().__init__(self._behave_in_time)
        self.leaves_at = self.paused_until = self.cold_until = 0.0
        self.start_count = 1
        self._now = now
        self._told: set[tuple[str, float]] = set()
        self.name = name
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._history = history
        self._rng = rng

    async def fall_silent(self, duration_s: float) -> None:
        """Send nothing for `duration_s` seconds, then go on."""
        self._speaks.clear()
        await asyncio.sleep(duration_s)
        self._speaks.set()

    def _behave_in_time(self, request: ReceivedRequest) -> ScriptedResponse:
        return replace(self._announce(request), pause_s=processing_s(request))

    def _announce(self, request: ReceivedRequest) -> ScriptedResponse:
        """Return the response, with what the replica tells the host of the request."""
        now, script = self._now(), self._behave(request)
        # A host may never read the head of a response that is cut short, or reads it late.
        is_cut = request.request_id in self._history.truncated_ids
        is_late = processing_s(request) > PROCESSING_S
        if is_cut or is_late or request.headers.get("x-expect-instance") != self.name:
            return script
        if now < self.leaves_at:
            self._record("DRAIN", request, self.leaves_at, DRAIN_S, 0)
            script = _with_header(script, "Server-Leaving: 1")
        if now < self.paused_until and b"X-Not-Run" in script.pieces[0]:
            self._record("BUDGET", request, self.paused_until, PAUSE_GRACE_S, MAX_IN_PAUSE)
            script = _with_header(script, f"Retry-After: {self.paused_until - now:.3f}")
        return script

    def _record(
        self, rule: str, request: ReceivedRequest, end: float, grace_s: float, allowed: int
    ) -> None:
        host, now = host_of(request.request_id), self._now()
        if (host, end) not in self._told:
            self._told.add((host, end))
            self._history.announcements.append(
                Announcement(rule, self.name, host, now, now + grace_s, end, allowed)
            )

    def start_again(self) -> None:
        """Begin a new lifetime, which none of the announcements are about."""
        self.start_count += 1
        self.leaves_at = self.paused_until = 0.0
        self._history.end_announcements(self.name, self._now())

    def _behave(self, request: ReceivedRequest) -> ScriptedResponse:
        expected = request.headers.get("x-expect-instance", "")
        is_other, chance = expected != self.name, self._rng.random()
        is_rejected = chance < REJECTED_SHARE or self._now() < self.paused_until
        self._history.replica_requests.append(
            ReplicaRequest(
                request.request_id,
                self.name,
                expected,
                request.headers.get("x-tenant", ""),
                "x-api-key" in request.headers,
                is_executed=not is_other and not is_rejected,
                arrived_at=self._now(),
            )
        )
        if is_other:
            return r.misdirected(request)
        if is_rejected:
            return r.rejected(request)
        return self._script_for(request, chance - REJECTED_SHARE)

    def _script_for(self, request: ReceivedRequest, chance: float) -> ScriptedResponse:
        if "/stream/" in request.path or "/resumable/" in request.path:
            first = int(request.headers.get("last-event-id", 0)) + 1
            script = r.stream(request, first, last=stream_length(request.request_id))
        else:
            script = r.complete_response(request, request.request_id.encode())
        if chance < ERROR_SHARE:
            if "last-event-id" in request.headers:
                self._history.record_failed_resume(request.request_id)
            return r.complete_response(request, b"failed", "500 Internal Server Error")
        if chance < ERROR_SHARE + TRUNCATED_SHARE:
            self._history.truncated_ids.add(request.request_id)
            pieces = script.pieces[: len(script.pieces) // 2]
            return ScriptedResponse(pieces, self._rng.choice(["reset", "close"]))
        return script

    async def _respond(
        self, script: ScriptedResponse, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(script.pause_s)
        for piece in script.pieces[:-1]:
            await self._speaks.wait()
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        await self._speaks.wait()
        return await super()._respond(
            ScriptedResponse(script.pieces[-1:], script.then), reader, writer
        )


def _with_header(script: ScriptedResponse, header: str) -> ScriptedResponse:
    head = script.pieces[0].replace(b"\r\n\r\n", f"\r\n{header}\r\n\r\n".encode(), 1)
    return replace(script, pieces=(head, *script.pieces[1:]))
