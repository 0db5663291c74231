"""Limit the request rate of a team."""

from almondspindle.controllers.limits.messages import TakeToken
from almondspindle.controllers.limits.task import LimitsController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class LimitTeam:
    """Take a token from the bucket of the call's team."""

    def __init__(self, limits: LimitsController) -> None:
        self._limits = limits

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call, or a refusal that states when the next token is available."""
        assert call.team is not None
        token = await self._limits.request(TakeToken(call.team))
        return token.map(lambda _: call)
