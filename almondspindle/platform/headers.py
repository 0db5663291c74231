"""Translate the headers of requests and responses to and from the project's types."""

from almondspindle.core.calls import Call, Headers
from almondspindle.core.identifiers import RequestId, TargetName
from almondspindle.core.outcomes import Ok, Outcome, Refusal, RefusalCode, RunState, refused
from almondspindle.core.placements import Occupancy, RequestedPause, ResponseMetadata
from almondspindle.core.prompts import Prompt, PromptPart
from almondspindle.utils.numbers import parse_decimal, parse_digits

MS_PER_S = 1000.0
MAX_DEADLINE_S = 3600.0
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
API_KEY_HEADER = "x-api-key"
MODEL_HEADER = "x-model"
TOKEN_COUNT_HEADER = "x-token-count"
PROMPT_PREFIX_HEADER = "x-prompt-prefix"
STAMP_HEADER = "x-response-stamp"
NOT_RUN_HEADER = "x-not-run"
COLD_LEFT_HEADER = "x-cold-ms"
LOAD_HEADER = "x-load"
LAST_EVENT_ID_HEADER = "last-event-id"
INSTANCE_HEADER = "x-instance"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
READY_PATH = "/-/readyz"
MISDIRECTED = 421
# Headers that only this system sets. They are ignored in callers' requests.
OWN_HEADERS = frozenset(
    {
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-request-priority",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "wait-ms",
        API_KEY_HEADER,
        DEADLINE_HEADER,
    }
)
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "content-length",
        "host",
    }
)
# Headers of responses that are meant for this system and not for its callers.
UNFORWARDED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {LEAVING_HEADER}
# Headers that must not be repeated, since two values would be ambiguous.
SINGLE_VALUE_HEADERS = (
    "host",
    REQUEST_ID_HEADER,
    API_KEY_HEADER,
    DEADLINE_HEADER,
    MODEL_HEADER,
    TOKEN_COUNT_HEADER,
    PROMPT_PREFIX_HEADER,
)
# The platform's priorities are 0 (most urgent) to 9.
LOWEST_PRIORITY = 9
STATUS_BY_CODE = {
    RefusalCode.MALFORMED_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.UNKNOWN_PATH: 404,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.HEADERS_TOO_LARGE: 431,
}
NOT_RUN_STATUS = 503
GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504
DEFAULT_RETRY_AFTER_S = 0.3
MAX_LOAD_CHARS = 200
PERCENT = 100.0
MAX_LOGGED_CHARS = 40  # of a header's value


def read_call(method: str, path: str, headers: Headers, body: bytes, now: float) -> Outcome[Call]:
    """Convert a caller's request to a `Call`, or return a refusal if it is malformed.

    `now` is in seconds on the monotonic clock. A request without a valid deadline header gets
    `MAX_DEADLINE_S`.
    """
    values = {name.lower(): value for name, value in headers}
    request_id = values.get(REQUEST_ID_HEADER, "")
    if not request_id:
        return refused(RefusalCode.MALFORMED_REQUEST, "the X-Request-Id header is missing")
    names = [name.lower() for name, _ in headers]
    if "host" not in values or not path.startswith("/"):
        return refused(
            RefusalCode.MALFORMED_REQUEST, "the Host header is missing or the path is relative"
        )
    repeated = next((name for name in SINGLE_VALUE_HEADERS if names.count(name) > 1), None)
    if repeated is not None:
        return refused(RefusalCode.MALFORMED_REQUEST, f"the header {repeated} is repeated")
    return Ok(
        Call(
            request_id=RequestId(request_id),
            deadline_at=now + _parse_deadline_s(values.get(DEADLINE_HEADER)),
            method=method,
            path=path,
            headers=_forwarded_headers(headers, values),
            body=body,
            bearer_token=values.get(API_KEY_HEADER),
            authority=values["host"].partition(":")[0].lower(),
            prompt=read_prompt(values),
            resume_after=_parse_int(values.get(LAST_EVENT_ID_HEADER)),
        )
    )


def request_id(headers: Headers) -> str:
    """Return the request id in `headers`, or an empty string if there is none."""
    return next((value for name, value in headers if name.lower() == REQUEST_ID_HEADER), "")


def _parse_deadline_s(text: str | None) -> float:
    deadline_ms = _parse_int(text)
    return MAX_DEADLINE_S if deadline_ms is None else min(deadline_ms / MS_PER_S, MAX_DEADLINE_S)


def _parse_int(text: str | None) -> int | None:
    return None if text is None else parse_digits(text)


def _forwarded_headers(headers: Headers, values: dict[str, str]) -> Headers:
    connection_options = {part.strip().lower() for part in values.get("connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in OWN_HEADERS
        and lower not in HOP_BY_HOP_HEADERS
        and lower not in connection_options
    )


def read_prompt(values: dict[str, str]) -> Prompt | None:
    """Return the prompt that the headers describe, or None if they have no prompt parts.

    `values` maps lower-case header names to values. A malformed token count is read as 0.
    """
    parts = []
    for text in filter(None, values.get(PROMPT_PREFIX_HEADER, "").split(",")):
        part_id, _, tokens = text.strip().partition(":")
        parts.append(PromptPart(part_id, _parse_int(tokens) or 0))
    if not parts:
        return None
    tokens_in, _, tokens_out = values.get(TOKEN_COUNT_HEADER, "").partition(",")
    return Prompt(
        values.get(MODEL_HEADER, ""),
        _parse_int(tokens_in) or 0,
        _parse_int(tokens_out.strip()) or 0,
        tuple(parts),
    )


def request_headers(call: Call, now: float) -> Headers:
    """Return the headers of the request that sends `call` to its target.

    `now` is in seconds on the monotonic clock; the target gets the time left until the deadline.
    """
    remaining_ms = max(1, int((call.deadline_at - now) * MS_PER_S))
    added = [
        ("Host", call.authority),
        ("X-Deadline-Ms", str(remaining_ms)),
        ("X-Expect-Instance", _as_header(str(call.target))),
    ]
    if call.team is not None:
        added.append(("X-Tenant", _as_header(str(call.team))))
    if call.priority is not None:
        added.append(("X-Request-Priority", str(min(call.priority, LOWEST_PRIORITY))))
    if call.copy_from is not None:
        added.append(("Kv-Fetch", call.copy_from))
    forwarded = call.headers
    if call.resume_after is not None:
        forwarded = tuple(pair for pair in forwarded if pair[0].lower() != LAST_EVENT_ID_HEADER)
        added.append(("Last-Event-Id", str(call.resume_after)))
    if call.body or any(name.lower() == "content-type" for name, _ in forwarded):
        added.append(("Content-Length", str(len(call.body))))
    elif call.method in {"POST", "PUT", "PATCH"}:
        added.append(("Content-Length", "0"))
    return (*added, *forwarded)


def _as_header(name: str) -> str:
    """Return the value whose bytes on the wire are those of `name` in UTF-8."""
    return name.encode(errors="replace").decode("latin-1")


def read_response_head(status: int, headers: Headers) -> ResponseMetadata:
    """Return the metadata in the status and headers of a target's response."""
    values = {name.lower(): value for name, value in headers}
    cold_ms = _parse_int(values.get(COLD_LEFT_HEADER))
    instance = values.get(INSTANCE_HEADER, "").strip()
    return ResponseMetadata(
        is_stamped=STAMP_HEADER in values,
        is_not_run=NOT_RUN_HEADER in values or status == MISDIRECTED,
        is_encoded=values.get("content-encoding", "identity") != "identity",
        request_id=values.get(REQUEST_ID_HEADER),
        occupancy=_parse_occupancy(values.get(LOAD_HEADER)),
        cold_left_s=None if cold_ms is None else cold_ms / MS_PER_S,
        headers=tuple(
            pair for pair in headers if pair[0].lower() not in UNFORWARDED_RESPONSE_HEADERS
        ),
        instance=TargetName(instance) if instance else None,
        is_leaving=values.get(LEAVING_HEADER, "").strip() == "1",
        pause=_parse_pause(status, values.get(RETRY_AFTER_HEADER)),
    )


def _parse_pause(status: int, text: str | None) -> RequestedPause | None:
    if status != NOT_RUN_STATUS or text is None:
        return None
    number = text.strip()
    return RequestedPause(number[:MAX_LOGGED_CHARS], parse_decimal(number))


def _parse_occupancy(text: str | None) -> Occupancy | None:
    """Return the load in the header, or None if one of its first three figures is odd.

    The fourth, how long work takes in hundredths of the usual, may be missing or odd. Further ones
    are ignored.
    """
    if text is None or len(text) > MAX_LOAD_CHARS:
        return None
    numbers = [_parse_int(part.strip()) for part in text.split(",")]
    running, waiting, slots, percent = (*numbers, None, None, None, None)[:4]
    if running is None or waiting is None or slots is None:
        return None
    return Occupancy(running, waiting, slots, percent / PERCENT if percent else None)


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status for `refusal`.

    To the platform's callers, 503 guarantees that the request has not run and never will, so any
    refusal after which it may run gets another status.
    """
    if refusal.code in STATUS_BY_CODE:
        return STATUS_BY_CODE[refusal.code]
    if refusal.run_state is RunState.NOT_RUN:
        return NOT_RUN_STATUS
    if refusal.code is RefusalCode.DEADLINE_EXCEEDED:
        return GATEWAY_TIMEOUT_STATUS
    return GATEWAY_STATUS


def refusal_headers(request_id: str, refusal: Refusal) -> Headers:
    """Return the headers of a response that refuses the request `request_id`.

    `Retry-After` is in seconds and is sent only with 503.
    """
    headers: list[tuple[str, str]] = [("Content-Type", "text/plain")]
    if request_id:
        headers.append(("X-Request-Id", request_id))
    if refusal_status(refusal) == NOT_RUN_STATUS:
        headers.append(("Retry-After", f"{refusal.retry_after_s or DEFAULT_RETRY_AFTER_S:.2f}"))
    return tuple(headers)
