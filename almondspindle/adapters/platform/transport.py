"""HTTP calls to the platform's store, independent of the format of its objects."""

from collections.abc import Mapping

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
    ) -> Result[HTTPResponse, StoreError]:
        """Return the response if its status is one of `expected`, else an UNAVAILABLE error."""
        req = HTTPRequest(
            self._base_url + path,
            method=method,
            body=body,
            headers=dict(headers) if headers else None,
            connect_timeout=min(CALL_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(req, raise_error=False)
        except (OSError, HTTPClientError, OverflowError, ValueError) as exc:  # odd addresses too
            return Error(StoreError(StoreErrorCode.UNAVAILABLE, repr(exc)))
        if response.code in expected:
            return Ok(response)
        text = f"{method} {path} returned status {response.code}: {response.error}"
        return Error(StoreError(StoreErrorCode.UNAVAILABLE, text))
