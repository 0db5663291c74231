"""Refuse new work while this host may not claim ownership."""

from almondspindle.controllers.membership.messages import CheckOwnershipStatus
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class RequireOwnership:
    """Let calls pass only while this host's view is fresh and it is not leaving."""

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call as it is, or a refusal with the reason."""
        standing = await self._membership.request(CheckOwnershipStatus())
        return standing.map(lambda _: call)
