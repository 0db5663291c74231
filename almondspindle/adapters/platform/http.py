"""The platform's object API over HTTP."""

import json
from urllib.parse import quote

from tornado.httpclient import HTTPResponse

from almondspindle.adapters.platform.base import (
    ABSENT,
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
    """Talk to the platform at `base_url`."""

    def __init__(self, base_url: str) -> None:
        self._transport = StoreTransport(base_url)
        self._roster = Roster()
        self._roster_tag = ""

    async def read(self, name: str) -> Result[StoredObject, StoreError]:
        """Return the object called `name`; an absent one has version 0."""
        answer = await self._fetch("GET", _object_path(name))
        return answer.map(_to_object)

    async def write(self, name: str, value: bytes, expected: int) -> Result[int, StoreError]:
        """Write `value` if the object still has version `expected`; return the new version."""
        if len(value) > MAX_OBJECT_BYTES:
            text = f"{name} would have {len(value)} bytes; the limit is {MAX_OBJECT_BYTES}"
            return Error(StoreError(StoreErrorCode.TOO_LARGE, text))
        answer = await self._fetch("PUT", _object_path(name), value, {"If-Match": str(expected)})
        return answer.bind(_conflict_as_error).map(_version)

    async def delete(self, name: str, expected: int) -> Result[None, StoreError]:
        """Delete the object if it still has version `expected`."""
        answer = await self._fetch("DELETE", _object_path(name), None, {"If-Match": str(expected)})
        return answer.bind(_conflict_as_error).map(lambda _: None)

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Return the object once its version is above `after`, or None after `wait_s` seconds."""
        path = f"{_object_path(name)}?after={after}&wait_s={wait_s}"
        answer = await self._fetch("GET", path, timeout_s=wait_s + CALL_TIMEOUT_S)
        return answer.map(lambda r: None if r.code == HTTP_NOT_MODIFIED else _to_object(r))

    async def list_names(self, prefix: str) -> Result[dict[str, int], StoreError]:
        """Return names and versions of the objects whose names start with `prefix`."""
        answer = await self._fetch("GET", f"/v1/objects?prefix={quote(prefix, safe='')}")
        return answer.map(lambda response: json.loads(response.body))

    async def roster(self) -> Result[Roster, StoreError]:
        """Return the platform's lagging list of hosts and targets."""
        headers = {"If-None-Match": self._roster_tag} if self._roster_tag else None
        answer = await self._fetch("GET", "/v1/hosts", headers=headers)
        return answer.bind(self._take_roster)

    def _take_roster(self, response: HTTPResponse) -> Result[Roster, StoreError]:
        """Return the list in `response`, or the last one if it has not changed since."""
        if response.code == HTTP_NOT_MODIFIED:
            return Ok(self._roster)
        found = parse_roster(response.body).map_error(_invalid)
        if found.is_ok():
            self._roster, self._roster_tag = found.ok, response.headers.get("ETag", "")
        return found

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


def _version(response: HTTPResponse) -> int:
    return int(response.headers["ETag"])


def _to_object(response: HTTPResponse) -> StoredObject:
    if response.code == HTTP_NOT_FOUND:
        return StoredObject(b"", ABSENT)
    return StoredObject(response.body, _version(response))


def _conflict_as_error(response: HTTPResponse) -> Result[HTTPResponse, StoreError]:
    if response.code == HTTP_OK:
        return Ok(response)
    return Error(StoreError(StoreErrorCode.CONFLICT, "the object has another version"))


def _invalid(text: str) -> StoreError:
    return StoreError(StoreErrorCode.UNAVAILABLE, f"the list is not valid: {text}")
