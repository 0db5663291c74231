"""The router's method for claims: submit an operation to the controller and await the reply."""

import asyncio

from almondspindle.controllers.claims.messages import SubmitOperation
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimReply,
    ClaimRequest,
    LookupRequest,
    SettleRequest,
)
from almondspindle.decisions.idempotency_keys import parse_key


class ClaimsMethods:
    """Decide the claims, settlements and lookups that peers send."""

    def __init__(self, controller: ClaimsController) -> None:
        self._controller = controller

    async def decide(self, operation: ClaimRequest | SettleRequest | LookupRequest) -> ClaimReply:
        """Return the reply to an operation.

        Cancelling the call withdraws the operation, unless a batch with it is already being
        written.
        """
        if parse_key(operation.scope.key).is_error():
            return ClaimReply(ClaimDecision.UNAVAILABLE, reason="the key is not a UUID version 7")
        fut: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._controller.send(SubmitOperation(operation, fut))
        return await fut
