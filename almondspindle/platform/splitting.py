"""Split JSON text into the texts of its parts, without decoding them.

The decoder gives up a whole text if one part of it is malformed or nested too deeply. This slower
way is for such texts: it looks only at brackets and strings, and its depth is a number.
"""

import re

STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_STRING = re.compile(STRING, re.DOTALL)
# A run of opening brackets may have plain names between them, as in {"a":{"b":[.
_OPENED = rb'(?:[\[{][ \t\r\n]*+(?:"[^"\\\[\]{}]*+"[ \t\r\n]*+:[ \t\r\n]*+)?+)++'
# Values without strings and further values in them, and what lies between them.
_FLAT = rb'(?:(?:\[[^"\[\]{}]*+\]|\{[^"\[\]{}]*+\})[^"\[\]{}]*+)++'
_NESTING = re.compile(_FLAT + rb"|" + _OPENED + rb"|" + STRING + rb'|[\]}]++|"', re.DOTALL)
_SCALAR = re.compile(rb"[^\s,\[\]{}:\"]+")
_SPACE = re.compile(rb"[ \t\r\n]*")
_OPENING, _CLOSING, _QUOTE = b"[{", b"]}", b'"'


def split_members(text: bytes) -> dict[bytes, bytes]:
    """Return the values of the JSON object `text`, still encoded, by their names' bytes.

    Raise `ValueError` if brackets or strings don't match.
    """
    members = {}
    at = _expect(text, b"{", 0)
    while not text.startswith(b"}", at):
        end = _end_of_value(text, at)
        start = _expect(text, b":", end)
        name = text[at + 1 : end - 1]
        end = _end_of_value(text, start)
        members[name] = text[start:end]
        at = _after_value(text, end, b"}")
    return members


def split_elements(text: bytes) -> list[bytes]:
    """Return the elements of the JSON array `text`, still encoded.

    Raise `ValueError` if brackets or strings don't match.
    """
    elements = []
    at = _expect(text, b"[", 0)
    while not text.startswith(b"]", at):
        end = _end_of_value(text, at)
        elements.append(text[at:end])
        at = _after_value(text, end, b"]")
    return elements


def _after_value(text: bytes, at: int, closing: bytes) -> int:
    """Return the position of the next value, or of the closing bracket."""
    at = _skip_space(text, at)
    return at if text.startswith(closing, at) else _expect(text, b",", at)


def _expect(text: bytes, mark: bytes, at: int) -> int:
    at = _skip_space(text, at)
    if not text.startswith(mark, at):
        raise ValueError(f"expected {mark.decode()!r} at byte {at}")
    return _skip_space(text, at + 1)


def _skip_space(text: bytes, at: int) -> int:
    match = _SPACE.match(text, at)
    return match.end() if match else at


def _end_of_value(text: bytes, start: int) -> int:
    first = text[start : start + 1]
    if first and first in _OPENING:
        return _end_of_nesting(text, start)
    match = (_STRING if first == _QUOTE else _SCALAR).match(text, start)
    if match is None:
        raise ValueError(f"expected a value at byte {start}")
    return match.end()


def _end_of_nesting(text: bytes, start: int) -> int:
    depth = 1
    for match in _NESTING.finditer(text, start + 1):
        run = match.group()
        if run[:1] in _OPENING:
            depth += run.count(b"[") + run.count(b"{") - run.count(b"]") - run.count(b"}")
        elif run[:1] in _CLOSING:
            if len(run) >= depth:
                return match.start() + depth
            depth -= len(run)
        elif run == _QUOTE:
            break
    raise ValueError(f"the value at byte {start} has no end")
