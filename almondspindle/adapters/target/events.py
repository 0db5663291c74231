"""Split a stream of server-sent events into whole events and read what each says of itself."""

import re
from dataclasses import dataclass

import msgspec

from almondspindle.decisions.responses import EventInfo

END_PAYLOAD = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb"\r?\n\r?\n")


class _EventPayload(msgspec.Struct):
    """The one field of an event's payload that is read; decoding skips all others."""

    id: str | None = None


_PAYLOAD_DECODER = msgspec.json.Decoder(_EventPayload)


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one event with its blank line. `mark` is None for a comment."""

    raw: bytes
    info: EventInfo | None


class EventTooLong(Exception):
    """An event that is over the bound of what is held back until its end."""


class EventScanner:
    """Hold back the bytes of an event until its blank line has come."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that `data` completes. Raise `EventTooLong` over the bound."""
        data = self._pending + data
        events = []
        start = 0
        for found in _BOUNDARY.finditer(data):
            events.append(_parse_event(data[start : found.end()]))
            start = found.end()
        self._pending = data[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise EventTooLong
        return events

    def close(self) -> Event | None:
        """Return an event that the end of the stream completes in place of its blank line."""
        rest, self._pending = self._pending, b""
        return _parse_event(rest) if rest.strip() else None


def _parse_event(raw: bytes) -> Event:
    number: int | None = None
    payload: list[bytes] = []
    for line in raw.splitlines():
        if line.startswith(b"data:"):
            payload.append(line[5:].strip())
        elif line.startswith(b"id:"):
            text = line[3:].strip()
            number = int(text) if text.isdigit() else None
    if not payload:
        return Event(raw, None)
    body = payload[0] if len(payload) == 1 else b"\n".join(payload)
    if body == END_PAYLOAD:
        return Event(raw, EventInfo(is_end=True))
    return Event(raw, EventInfo(number, _response_id(body)))


def _response_id(payload: bytes) -> str | None:
    try:
        return _PAYLOAD_DECODER.decode(payload).id
    except msgspec.DecodeError:
        return None
