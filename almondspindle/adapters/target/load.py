"""Read the load reports of targets over HTTP."""

from typing import Annotated

from pydantic import BaseModel, Field, ValidationError
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from almondspindle.core.load import LoadReport
from almondspindle.core.outcomes import Error, Ok, Result

LOAD_PATH = "/load"
POLL_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 64 * 1024
MAX_CONCURRENT_POLLS = 100
HTTP_OK = 200

Count = Annotated[int, Field(ge=0)]


class LoadReportModel(BaseModel):
    """A load report as an engine sends it. Unknown fields are ignored."""

    boot_id: Annotated[str, Field(min_length=1, max_length=128)]
    uptime_s: Annotated[float, Field(ge=0.0, allow_inf_nan=False)]
    in_flight: Count
    cached_prefixes: Count = 0


class HttpLoadReportClient:
    """Read load reports by `GET /load`, over a new connection for each poll."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_POLLS, max_body_size=MAX_REPORT_BYTES
        )

    async def read(self, address: str) -> Result[LoadReport, str]:
        """Return the report of the target at `address`, or an error message."""
        req = HTTPRequest(
            f"http://{address}{LOAD_PATH}",
            connect_timeout=POLL_TIMEOUT_S,
            request_timeout=POLL_TIMEOUT_S,
            decompress_response=False,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(req, raise_error=False)
        except (OSError, HTTPClientError) as exc:
            return Error(repr(exc))
        if response.code != HTTP_OK:
            return Error(f"status {response.code}")
        return parse_report(response.body)


def parse_report(body: bytes) -> Result[LoadReport, str]:
    """Return the report in `body`, or an error message."""
    try:
        model = LoadReportModel.model_validate_json(body)
    except ValidationError as exc:
        return Error(str(exc))
    return Ok(LoadReport(**model.model_dump()))
