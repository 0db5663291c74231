"""Split the store's responses into objects, of which any may hold anything."""

import msgspec
from msgspec import Raw, Struct

from almondspindle.platform.splitting import split_elements, split_members


class Page(Struct):
    """A page of a list. `items` has the objects, still encoded."""

    items: list[Raw]
    store_revision: int
    more: bool = False


class Event(Struct):
    """A change of `object`, which is still encoded."""

    object: Raw
    deleted: bool = False


class Events(Struct):
    """The changes that a watch returned."""

    events: list[Event]
    store_revision: int


def decode_page(body: bytes) -> Page:
    """Return the page in `body`. Raise `ValueError` if its objects can't be told apart."""
    try:
        return msgspec.json.decode(body, type=Page)
    except (msgspec.DecodeError, RecursionError):
        members = split_members(body)
        return Page(
            [Raw(item) for item in split_elements(_member(members, b"items"))],
            msgspec.json.decode(_member(members, b"store_revision"), type=int),
            msgspec.json.decode(members.get(b"more", b"false"), type=bool),
        )


def decode_events(body: bytes) -> Events:
    """Return the changes in `body`. Raise `ValueError` if its objects can't be told apart."""
    try:
        return msgspec.json.decode(body, type=Events)
    except (msgspec.DecodeError, RecursionError):
        members = split_members(body)
        return Events(
            [_split_event(event) for event in split_elements(_member(members, b"events"))],
            msgspec.json.decode(_member(members, b"store_revision"), type=int),
        )


def _split_event(text: bytes) -> Event:
    members = split_members(text)
    deleted = msgspec.json.decode(members.get(b"deleted", b"false"), type=bool)
    return Event(Raw(_member(members, b"object")), deleted)


def _member(members: dict[bytes, bytes], name: bytes) -> bytes:
    if name not in members:
        raise ValueError(f"{name.decode()} is missing")
    return members[name]
