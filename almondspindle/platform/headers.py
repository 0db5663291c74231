"""Headers of requests and answers, translated to and from the project's types."""

from almondspindle.core.calls import Call, Headers
from almondspindle.core.identifiers import RequestId
from almondspindle.core.outcomes import Ok, Outcome, Refusal, RefusalCode, RunState, refused
from almondspindle.core.placements import Occupancy, ResponseMetadata
from almondspindle.core.prompts import Prompt, PromptPart

MS_PER_S = 1000.0
MAX_DEADLINE_S = 3600.0
REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-ms"
API_KEY = "x-api-key"
MODEL = "x-model"
TOKENS = "x-token-count"
PARTS = "x-prompt-prefix"
STAMP = "x-response-stamp"
NOT_RUN = "x-not-run"
COLD_LEFT = "x-cold-ms"
LOAD = "x-load"
RESUME_AFTER = "last-event-id"
READY_PATH = "/-/readyz"
MISDIRECTED = 421
# A header of the system's own says nothing when it comes from a caller.
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
        API_KEY,
        DEADLINE,
    }
)
HOP_BY_HOP = frozenset(
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
# Two values would leave it open which one holds.
SINGLE = ("host", REQUEST_ID, API_KEY, DEADLINE, MODEL, TOKENS, PARTS)
# The platform counts priorities from 0, the most urgent, to 9.
LEAST_URGENT = 9
STATUS_OF = {
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


def read_call(method: str, path: str, headers: Headers, body: bytes, now: float) -> Outcome[Call]:
    """Return the call that a caller's request stands for, or why it is malformed."""
    found = {name.lower(): value for name, value in headers}
    request_id = found.get(REQUEST_ID, "")
    if not request_id:
        return refused(RefusalCode.MALFORMED_REQUEST, "the request has no id")
    names = [name.lower() for name, _ in headers]
    if "host" not in found or not path.startswith("/"):
        return refused(RefusalCode.MALFORMED_REQUEST, "a host name and a path are needed")
    doubled = next((name for name in SINGLE if names.count(name) > 1), None)
    if doubled is not None:
        return refused(RefusalCode.MALFORMED_REQUEST, f"the header {doubled} came twice")
    return Ok(
        Call(
            request_id=RequestId(request_id),
            deadline_at=now + _deadline_s(found.get(DEADLINE)),
            method=method,
            path=path,
            headers=_forwarded(headers, found),
            body=body,
            bearer_token=found.get(API_KEY),
            authority=found["host"].partition(":")[0].lower(),
            prompt=read_prompt(found),
            resume_after=_number(found.get(RESUME_AFTER)),
        )
    )


def request_id(headers: Headers) -> str:
    """Return the id of the request with these headers, or an empty string."""
    return next((value for name, value in headers if name.lower() == REQUEST_ID), "")


def _deadline_s(text: str | None) -> float:
    number = _number(text)
    return MAX_DEADLINE_S if number is None else min(number / MS_PER_S, MAX_DEADLINE_S)


def _number(text: str | None) -> int | None:
    return int(text) if text is not None and text.isascii() and text.isdigit() else None


def _forwarded(headers: Headers, found: dict[str, str]) -> Headers:
    named = {part.strip().lower() for part in found.get("connection", "").split(",")}
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in OWN_HEADERS
        and lower not in HOP_BY_HOP
        and lower not in named
    )


def read_prompt(found: dict[str, str]) -> Prompt | None:
    """Return the prompt that the headers describe, or None if they describe none."""
    parts = []
    for text in filter(None, found.get(PARTS, "").split(",")):
        part_id, _, tokens = text.strip().partition(":")
        parts.append(PromptPart(part_id, _number(tokens) or 0))
    if not parts:
        return None
    tokens_in, _, tokens_out = found.get(TOKENS, "").partition(",")
    return Prompt(
        found.get(MODEL, ""),
        _number(tokens_in) or 0,
        _number(tokens_out.strip()) or 0,
        tuple(parts),
    )


def request_headers(call: Call, now: float) -> Headers:
    """Return the headers that `call` is sent to its target with."""
    left_ms = max(1, int((call.deadline_at - now) * MS_PER_S))
    added = [
        ("Host", call.authority),
        ("X-Deadline-Ms", str(left_ms)),
        ("X-Expect-Instance", str(call.target)),
    ]
    if call.team is not None:
        added.append(("X-Tenant", str(call.team)))
    if call.priority is not None:
        added.append(("X-Request-Priority", str(min(call.priority, LEAST_URGENT))))
    if call.copy_from is not None:
        added.append(("Kv-Fetch", call.copy_from))
    passed = call.headers
    if call.resume_after is not None:
        passed = tuple(pair for pair in passed if pair[0].lower() != RESUME_AFTER)
        added.append(("Last-Event-Id", str(call.resume_after)))
    if call.body or any(name.lower() == "content-type" for name, _ in passed):
        added.append(("Content-Length", str(len(call.body))))
    elif call.method in {"POST", "PUT", "PATCH"}:
        added.append(("Content-Length", "0"))
    return (*added, *passed)


def read_answer(status: int, headers: Headers) -> ResponseMetadata:
    """Return what the head of a target's answer says."""
    found = {name.lower(): value for name, value in headers}
    cold_ms = _number(found.get(COLD_LEFT))
    return ResponseMetadata(
        is_stamped=STAMP in found,
        is_not_run=NOT_RUN in found or status == MISDIRECTED,
        is_encoded=found.get("content-encoding", "identity") != "identity",
        request_id=found.get(REQUEST_ID),
        occupancy=_occupancy(found.get(LOAD)),
        cold_left_s=None if cold_ms is None else cold_ms / MS_PER_S,
        headers=tuple(pair for pair in headers if pair[0].lower() not in HOP_BY_HOP),
    )


def _occupancy(text: str | None) -> Occupancy | None:
    numbers = [_number(part.strip()) for part in (text or "").split(",")]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return Occupancy(running, waiting, slots)


def refusal_status(refusal: Refusal) -> int:
    """Return the status that tells a caller of `refusal`.

    The platform's callers take 503 for a promise that the request has not run and never will.
    """
    if refusal.code in STATUS_OF:
        return STATUS_OF[refusal.code]
    if refusal.run_state is RunState.NOT_RUN:
        return NOT_RUN_STATUS
    if refusal.code is RefusalCode.DEADLINE_EXCEEDED:
        return GATEWAY_TIMEOUT_STATUS
    return GATEWAY_STATUS


def refusal_headers(request_id: str, refusal: Refusal) -> Headers:
    """Return the headers of an answer that refuses the request `request_id`."""
    headers: list[tuple[str, str]] = [("Content-Type", "text/plain")]
    if request_id:
        headers.append(("X-Request-Id", request_id))
    if refusal_status(refusal) == NOT_RUN_STATUS:
        headers.append(("Retry-After", f"{refusal.retry_after_s or DEFAULT_RETRY_AFTER_S:.2f}"))
    return tuple(headers)
