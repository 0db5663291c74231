"""Messages with which entries relay calls to routers and subscribe to their state."""

from dataclasses import dataclass

from almondspindle.core.calls import Call, Headers, WorkKind
from almondspindle.core.identifiers import ChatId, HostName, RequestId, TargetName, TeamName
from almondspindle.core.outcomes import InvariantError

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A call that an entry relays to the owner of `target`. `Call` describes the fields.

    `budget_ms` is the time left until the call's deadline, in milliseconds. The deadline itself
    is not sent, because the clocks of hosts differ. `no_other` is the call's `others_declined`.
    """

    request_id: RequestId
    budget_ms: float
    target: TargetName
    team: TeamName
    work: WorkKind
    method: str
    path: str
    headers: Headers
    body: bytes
    chat_id: ChatId | None = None
    idempotency_key: str | None = None
    claim_nonce: str | None = None
    resume_after: int | None = None
    no_other: bool = False


@dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """Subscribe to a router's configuration and roster: their current state and each change."""

    subscriber: HostName


def relay_request_from_call(call: Call, target: TargetName, now: float) -> RelayRequest:
    """Return the message that relays `call` to the owner of `target`.

    `now` is the time on this process's monotonic clock. Raise `InvariantError` for a call without
    team or kind of work.
    """
    if call.team is None or call.work is None:
        raise InvariantError("cannot relay a call whose team or kind of work is not known")
    return RelayRequest(
        request_id=call.request_id,
        budget_ms=(call.deadline_at - now) * MS_PER_S,
        target=target,
        team=call.team,
        work=call.work,
        method=call.method,
        path=call.target_path,
        headers=call.headers,
        body=call.body,
        chat_id=call.chat_id,
        idempotency_key=call.idempotency_key,
        claim_nonce=call.claim_nonce,
        resume_after=call.resume_after,
        no_other=call.others_declined,
    )


def call_from_relay_request(req: RelayRequest, now: float) -> Call:
    """Return the call in `req`, with its deadline on this process's monotonic clock."""
    return Call(
        request_id=req.request_id,
        deadline_at=now + req.budget_ms / MS_PER_S,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=req.body,
        team=req.team,
        target_path=req.path,
        work=req.work,
        chat_id=req.chat_id,
        idempotency_key=req.idempotency_key,
        claim_nonce=req.claim_nonce,
        target=req.target,
        resume_after=req.resume_after,
        others_declined=req.no_other,
    )
