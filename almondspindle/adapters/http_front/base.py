"""Header names, and the HTTP statuses and bodies of refusals."""

import json

from almondspindle.core.outcomes import Refusal, RefusalCode

CHAT_ID_HEADER = "X-Chat-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
TARGET_HEADER = "X-Served-By"
REQUEST_ID_HEADER = "X-Request-Id"

STATUS_BY_CODE: dict[RefusalCode, int] = {
    RefusalCode.MALFORMED_REQUEST: 400,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.FORBIDDEN: 403,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.UNKNOWN_PATH: 404,
    RefusalCode.KEY_MISSING: 400,
    RefusalCode.KEY_MALFORMED: 400,
    RefusalCode.KEY_EXPIRED: 410,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.RESPONSE_NOT_STORED: 409,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.OUTCOME_UNKNOWN: 502,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.NO_TARGET: 503,
    RefusalCode.NOT_OWNER: 503,
    RefusalCode.FULL: 503,
    RefusalCode.STARTING: 503,
    RefusalCode.LEAVING: 503,
    RefusalCode.ZONE_OUT: 503,
    RefusalCode.STOPPING: 503,
    RefusalCode.NOT_READY: 503,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.PEER_UNREACHABLE: 502,
    RefusalCode.TARGET_UNREACHABLE: 502,
    RefusalCode.RESPONSE_BROKEN: 502,
    RefusalCode.RESUME_REFUSED: 502,
    RefusalCode.STORE_UNAVAILABLE: 503,
    RefusalCode.INTERNAL_ERROR: 500,
}


def refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body that reports `refusal` to a caller."""
    error = {
        "code": refusal.code.value,
        "message": refusal.message,
        "run_state": refusal.run_state.value,
    }
    return json.dumps({"error": error}).encode()
