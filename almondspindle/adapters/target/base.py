"""The headers that are forwarded between callers and targets, and those that are added."""

from almondspindle.core.calls import Call, Headers

REQUEST_ID_HEADER = "X-Request-Id"
TEAM_HEADER = "X-Team"
RESUME_HEADER = "Last-Event-ID"  # as in the HTML standard on server-sent events
FORWARDED_HEADERS = frozenset({"content-type", "accept", "idempotency-key", "x-chat-id"})
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"}
)


def request_headers(call: Call) -> Headers:
    """Return the headers to send to the target of `call`."""
    forwarded = tuple(
        (name, value) for name, value in call.headers if name.lower() in FORWARDED_HEADERS
    )
    return (
        *forwarded,
        ("Host", call.target_address),
        ("Connection", "close"),
        ("Content-Length", str(len(call.body))),
        (REQUEST_ID_HEADER, call.request_id),
        (TEAM_HEADER, call.team or ""),
        *_resume_headers(call),
    )


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a target's response that are forwarded to the caller."""
    return tuple((name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_HEADERS)


def _resume_headers(call: Call) -> Headers:
    if call.resume_after is None:
        return ()
    return ((RESUME_HEADER, str(call.resume_after)),)
