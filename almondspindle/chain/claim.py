"""Claim the idempotency key of a commit before the commit is sent."""

import asyncio
import secrets
from dataclasses import dataclass
from typing import Protocol

from almondspindle.chain.base import EarlyResult
from almondspindle.controllers.claims.messages import PendingSettlement
from almondspindle.controllers.claims.settlement import SettlementController
from almondspindle.controllers.configuration.messages import FindService
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.calls import Call, WorkKind
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimReply,
    ClaimRequest,
    CommitAttempt,
    CommitOutcome,
    KeyScope,
    SettleRequest,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import CLAIM_ABANDONED, CLAIM_REFUSED
from almondspindle.core.identifiers import HostName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import CLAIM_TIME, MetricSender
from almondspindle.core.outcomes import Error, Ok, Refusal, RefusalCode, Result, RunState
from almondspindle.core.recorded_responses import ReplayedResponse
from almondspindle.decisions.claim_keys import KeyAge, fingerprint, key_age

NONCE_BYTES = 12
MS_PER_S = 1000.0
RETRY_AFTER_S = 1.0

KEY_EXPIRED_REFUSAL = Refusal(
    RefusalCode.KEY_EXPIRED,
    "the key is older than the service's retention window, so the outcome of its request is no"
    " longer known; check with the service before sending the work under a new key",
    RunState.ATTEMPT_NOT_RUN,
)
REFUSAL_BY_KEY_AGE: dict[KeyAge, Refusal] = {
    KeyAge.EXPIRED: KEY_EXPIRED_REFUSAL,
    KeyAge.FUTURE: Refusal(
        RefusalCode.KEY_MALFORMED,
        "the time in the key lies in the future; check the clock of the host that creates keys",
        RunState.ATTEMPT_NOT_RUN,
    ),
}
REFUSAL_BY_DECISION: dict[ClaimDecision, Refusal] = {
    ClaimDecision.RESPONSE_NOT_STORED: Refusal(
        RefusalCode.RESPONSE_NOT_STORED,
        "the request ran and was answered; the response was too large to store",
        RunState.RUN,
    ),
    ClaimDecision.IN_PROGRESS: Refusal(
        RefusalCode.IN_PROGRESS,
        "another request with this key is in progress; retry later",
        RunState.IN_PROGRESS,
        RETRY_AFTER_S,
    ),
    ClaimDecision.OUTCOME_UNKNOWN: Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        "the request may have run, but no response was received; check with the service",
        RunState.UNKNOWN,
    ),
    ClaimDecision.KEY_REUSED: Refusal(
        RefusalCode.KEY_REUSED,
        "the key belongs to a request with another method, path or body; use a new key",
        RunState.ATTEMPT_NOT_RUN,
    ),
    ClaimDecision.KEY_EXPIRED: KEY_EXPIRED_REFUSAL,
    ClaimDecision.RELEASED: Refusal(
        RefusalCode.STORE_UNAVAILABLE,
        "this attempt was withdrawn before it was granted; send the request again",
        RunState.ATTEMPT_NOT_RUN,
        RETRY_AFTER_S,
    ),
    ClaimDecision.UNAVAILABLE: Refusal(
        RefusalCode.STORE_UNAVAILABLE,
        "the claim could not be recorded; send the request again with the same key",
        RunState.ATTEMPT_NOT_RUN,
        RETRY_AFTER_S,
    ),
}


class ClaimsClient(Protocol):
    """Client for the hosts that write claims."""

    async def claim(self, claim: ClaimRequest, deadline_at: float) -> ClaimReply:
        """Return the decision on `claim`; UNAVAILABLE if none is received by `deadline_at`."""
        ...


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim the key of a commit. If the claim is not granted, end the chain.

    The result is then the response recorded for the key, or a refusal. Calls that are not
    commits pass unchanged.

    This must be the last filter before `SettleClaim`, which settles each claim granted here.
    """

    claims: ClaimsClient
    settlements: SettlementController
    configuration: ConfigurationController
    holder: HostName
    clock: Clock
    metrics: MetricSender

    async def apply(self, call: Call, now: float) -> Result[Call, EarlyResult]:
        """Return the call with the nonce of its claim, a recorded response, or a refusal."""
        if call.work is not WorkKind.COMMIT:
            return Ok(call)
        assert call.team is not None and call.service is not None
        service = await self.configuration.request(FindService(call.team, call.service))
        if service.is_error():
            return Error(service.error)
        assert call.idempotency_key is not None
        retention_s = service.ok.policy.key_retention_s
        age = key_age(call.idempotency_key, retention_s, self.clock.wall())
        if age in REFUSAL_BY_KEY_AGE:
            return Error(REFUSAL_BY_KEY_AGE[age])
        claimed = call.copy_with(claim_nonce=secrets.token_hex(NONCE_BYTES))
        attempt = commit_attempt_of(claimed, self.holder)
        reply = await self._claim(attempt, call.deadline_at, now)
        if reply.decision is ClaimDecision.GRANTED:
            return Ok(claimed)
        emit(CLAIM_REFUSED, request_id=call.request_id, decision=reply.decision)
        return Error(early_result_for(reply))

    async def _claim(self, attempt: CommitAttempt, deadline_at: float, now: float) -> ClaimReply:
        claim = ClaimRequest(attempt, (deadline_at - now) * MS_PER_S)
        try:
            reply = await self.claims.claim(claim, deadline_at)
        except asyncio.CancelledError:
            emit(CLAIM_ABANDONED, key=attempt.scope.key)
            self._withdraw(attempt)
            raise
        self.metrics.time(CLAIM_TIME, self.clock.monotonic() - now)
        if reply.decision is ClaimDecision.UNAVAILABLE:
            self._withdraw(attempt)
        return reply

    def _withdraw(self, attempt: CommitAttempt) -> None:
        """Release the key of an attempt that this process will never send.

        The store may hold the claim already, or write it later, although no grant was received.
        """
        self.settlements.send(PendingSettlement(SettleRequest(attempt, CommitOutcome.NOT_SENT)))


def commit_attempt_of(call: Call, holder: HostName) -> CommitAttempt:
    """Return the attempt that `call` makes under the nonce of its claim."""
    assert call.team and call.service and call.idempotency_key and call.claim_nonce
    scope = KeyScope(call.team, call.service, call.idempotency_key)
    request = fingerprint(call.method, call.target_path, call.body)
    return CommitAttempt(scope, request, call.claim_nonce, holder)


def early_result_for(reply: ClaimReply) -> EarlyResult:
    """Return the result for a call whose claim was not granted."""
    if reply.decision is ClaimDecision.ANSWERED:
        assert reply.record is not None and reply.record.answer is not None
        return ReplayedResponse(reply.record.answer)
    return REFUSAL_BY_DECISION[reply.decision]
