"""The router's methods for claims: submit a change to the controller and await the decision."""

import asyncio

from almondspindle.controllers.claims.messages import SubmitChange
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

    async def decide(self, change: ClaimRequest | SettleRequest | LookupRequest) -> ClaimReply:
        """Return the decision on `change`.

        Cancelling the call withdraws the change, unless a batch with it is already being written.
        """
        if parse_key(change.scope.key).is_error():
            return ClaimReply(ClaimDecision.UNAVAILABLE, reason="the key is not a UUID version 7")
        fut: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._controller.send(SubmitChange(change, fut))
        return await fut
