"""Client for the platform's object store and host list over HTTP."""

import json
from urllib.parse import quote

from tornado.httpclient import HTTPResponse

from almondspindle.adapters.platform.base import (
    ABSENT_VERSION,
    MAX_OBJECT_BYTES,
    StoredObject,
    StoreError,
    StoreErrorCode,
)
from almondspindle.adapters.platform.models import parse_roster
from almondspindle.adapters.platform.transport import CALL_TIMEOUT_S, StoreTransport
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Roster

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412


class HttpPlatform:
    """The platform at `base_url`. `Platform` describes the methods."""

    def __init__(self, base_url: str) -> None:
        self._transport = StoreTransport(base_url)
        self._roster = Roster()
        self._roster_etag = ""

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`; an absent one has version 0."""
        result = await self._fetch("GET", _object_path(name))
        return result.map(_to_object)

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write `value` if the object has version `expected`; return the new version."""
        if len(value) > MAX_OBJECT_BYTES:
            text = f"{name} would have {len(value)} bytes; the limit is {MAX_OBJECT_BYTES}"
            return Error(StoreError(StoreErrorCode.TOO_LARGE, text))
        result = await self._fetch("PUT", _object_path(name), value, {"If-Match": str(expected)})
        return result.bind(_conflict_as_error).map(_version_of)

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object if it has version `expected`."""
        result = await self._fetch("DELETE", _object_path(name), None, {"If-Match": str(expected)})
        return result.bind(_conflict_as_error).map(lambda _: None)

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object once its version is above `after`, or None after `wait_s` seconds."""
        path = f"{_object_path(name)}?after={after}&wait_s={wait_s}"
        result = await self._fetch("GET", path, timeout_s=wait_s + CALL_TIMEOUT_S)
        return result.map(lambda r: None if r.code == HTTP_NOT_MODIFIED else _to_object(r))

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return the versions of the objects whose names start with `prefix`, by name."""
        result = await self._fetch("GET", f"/v1/objects?prefix={quote(prefix, safe='')}")
        return result.map(lambda response: json.loads(response.body))

    async def roster(self) -> Result[Roster, StoreError]:
        """Return the platform's list of hosts and targets, which may be out of date."""
        headers = {"If-None-Match": self._roster_etag} if self._roster_etag else None
        result = await self._fetch("GET", "/v1/hosts", headers=headers)
        return result.bind(self._update_roster)

    def _update_roster(self, response: HTTPResponse) -> Result[Roster, StoreError]:
        """Store and return the list in `response`, or return the last one if it is unchanged."""
        if response.code == HTTP_NOT_MODIFIED:
            return Ok(self._roster)
        result = parse_roster(response.body).map_error(_invalid_list_error)
        if result.is_ok():
            self._roster, self._roster_etag = result.ok, response.headers.get("ETag", "")
        return result

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[HTTPResponse, StoreError]:
        return await self._transport.fetch(method, path, EXPECTED_CODES, body, headers, timeout_s)


EXPECTED_CODES = frozenset({HTTP_OK, HTTP_NOT_MODIFIED, HTTP_NOT_FOUND, HTTP_PRECONDITION_FAILED})


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='')}"


def _version_of(response: HTTPResponse) -> int:
    return int(response.headers["ETag"])


def _to_object(response: HTTPResponse) -> StoredObject:
    if response.code == HTTP_NOT_FOUND:
        return StoredObject(b"", ABSENT_VERSION)
    return StoredObject(response.body, _version_of(response))


def _conflict_as_error(response: HTTPResponse) -> Result[HTTPResponse, StoreError]:
    if response.code == HTTP_OK:
        return Ok(response)
    return Error(StoreError(StoreErrorCode.CONFLICT, "the object has another version"))


def _invalid_list_error(text: str) -> StoreError:
    return StoreError(StoreErrorCode.UNAVAILABLE, f"invalid host list: {text}")
