"""The router's side of claims from entries: hand them to the controller, await the decision."""

import asyncio

from almondspindle.controllers.claims.messages import Submit
from almondspindle.controllers.claims.task import ClaimsController
from almondspindle.core.claims import Claim, ClaimReply, Decision, Look, Settle
from almondspindle.decisions.idempotency_keys import parse_key


class ClaimsMethods:
    """Answer claims, settlements and looks as peers send them."""

    def __init__(self, controller: ClaimsController) -> None:
        self._controller = controller

    async def decide(self, change: Claim | Settle | Look) -> ClaimReply:
        """Return the decision on `change`. Cancelling the wait withdraws what is not begun."""
        if parse_key(change.scope.key).is_error():
            return ClaimReply(Decision.UNAVAILABLE, reason="the key is not a UUID version 7")
        fut: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._controller.tell(Submit(change, fut))
        return await fut
