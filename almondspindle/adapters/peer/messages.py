"""What the system's processes say to each other, as data classes."""

from dataclasses import dataclass

from almondspindle.core.calls import Call, Headers, WorkKind
from almondspindle.core.identifiers import ChatId, HostName, RequestId, TargetName, TeamName
from almondspindle.core.outcomes import InvariantError

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A call as an entry hands it to the owner of `target`.

    `budget_ms` is the time left until the deadline, since the hosts' clocks differ.
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
    """Ask a router for its configuration and roster, now and after each change."""

    subscriber: HostName


def relay_request(call: Call, target: TargetName, now: float) -> RelayRequest:
    """Return the message that hands `call` to the owner of `target`."""
    if call.team is None or call.work is None:
        raise InvariantError("a call is relayed only after it was identified and classified")
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


def call_from_relay(req: RelayRequest, now: float) -> Call:
    """Return the call in `req`, with its deadline on this process's clock."""
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
