"""HTTP calls to the platform's store, independent of the format of its objects."""

import asyncio
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from almondspindle.adapters.platform.base import StoreError, StoreErrorCode
from almondspindle.core.outcomes import Error, Ok, Result

CALL_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 100
MAX_RESPONSE_BYTES = 32 * 1024 * 1024  # a watch may return several versions of a large object


class StoreTransport:
    """Send requests to `base_url`, each of them only once.

    `SimpleAsyncHTTPClient` never retries a request by itself. A lost response is therefore always
    reported as UNAVAILABLE and never hidden by a retry.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_buffer_size=MAX_RESPONSE_BYTES,
        )

    async def fetch(
        self,
        method: str,
        path: str,
        expected: frozenset[int],
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        response_timeout_s: float | None = None,
    ) -> Result[HTTPResponse, StoreError]:
        """Return the response if its status is one of `expected`, else an UNAVAILABLE error.

        The response must begin within `response_timeout_s` seconds, if that is given, and be
        complete within `timeout_s`.
        """
        begun = asyncio.Event()
        req = HTTPRequest(
            self._base_url + path,
            method=method,
            body=body,
            headers=dict(headers) if headers else None,
            connect_timeout=min(CALL_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            header_callback=None if response_timeout_s is None else lambda _: begun.set(),
        )
        try:
            fut = self._client.fetch(req, raise_error=False)
            if response_timeout_s is not None and not await _has_begun(
                fut, begun, response_timeout_s
            ):
                text = f"{method} {path} got no response within {response_timeout_s} s"
                return Error(StoreError(StoreErrorCode.UNAVAILABLE, text, is_silent=True))
            response = await fut
        except (OSError, HTTPClientError, OverflowError, ValueError) as exc:  # odd addresses too
            is_silent = not begun.is_set()
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, repr(exc), is_silent))
        if response.code in expected:
            return Ok(response)
        text = f"{method} {path} returned status {response.code}: {response.error}"
        return Error(StoreError(StoreErrorCode.UNAVAILABLE, text))


async def _has_begun(
    fut: "asyncio.Future[HTTPResponse]", begun: asyncio.Event, timeout_s: float
) -> bool:
    """Return whether the response of `fut` begins, or the call fails, within `timeout_s`.

    Otherwise the call is left to its own time-out, and what becomes of it is ignored.
    """
    head: asyncio.Future[Any] = asyncio.ensure_future(begun.wait())
    try:
        waited: set[asyncio.Future[Any]] = {fut, head}
        done, _ = await asyncio.wait(waited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        head.cancel()
    if not done:
        fut.add_done_callback(lambda ended: ended.exception())
    return bool(done)
