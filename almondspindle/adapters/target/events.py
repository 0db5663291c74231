"""Split a stream of server-sent events into events, and read the number and response id of each."""

import re
from dataclasses import dataclass

import msgspec

from almondspindle.decisions.responses import EventInfo

from almondspindle.utils.numbers import MAX_DIGITS

END_PAYLOAD = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_MAX_BOUNDARY_BYTES = 4


class _EventPayload(msgspec.Struct):
    """The only field of an event's payload that is decoded."""

    id: str | None = None


_PAYLOAD_DECODER = msgspec.json.Decoder(_EventPayload)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event, including its blank line. `info` is None if it has no data."""

    raw: bytes
    info: EventInfo | None


class EventTooLong(Exception):
    """An incomplete event is larger than `MAX_EVENT_BYTES`."""


class EventScanner:
    """Split a stream into events. The bytes of an incomplete event are kept for the next call."""

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Return whether the bytes received so far end inside an event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raise `EventTooLong` if the incomplete event that follows them exceeds `MAX_EVENT_BYTES`.
        """
        # What was searched before isn't searched again, but for a boundary that `data` completes.
        searched = max(0, len(self._pending) - _MAX_BOUNDARY_BYTES + 1)
        self._pending += data
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(self._pending, searched):
            events.append(_parse_event(bytes(self._pending[start : boundary.end()])))
            start = boundary.end()
        del self._pending[:start]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLong
        return events

    def close(self) -> StreamEvent | None:
        """Return the event that the end of the stream completes, or None if there is none."""
        rest, self._pending = bytes(self._pending), bytearray()
        return _parse_event(rest) if rest.strip() else None


def _parse_event(raw: bytes) -> StreamEvent:
    number: int | None = None
    payload: list[bytes] = []
    for line in raw.splitlines():
        if line.startswith(b"data:"):
            payload.append(line[5:].strip())
        elif line.startswith(b"id:"):
            text = line[3:].strip()
            number = int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None
    if not payload:
        return StreamEvent(raw, None)
    body = payload[0] if len(payload) == 1 else b"\n".join(payload)
    if body == END_PAYLOAD:
        return StreamEvent(raw, EventInfo(is_end=True))
    return StreamEvent(raw, EventInfo(number, _response_id(body)))


def _response_id(payload: bytes) -> str | None:
    try:
        return _PAYLOAD_DECODER.decode(payload).id
    except msgspec.DecodeError:
        return None
