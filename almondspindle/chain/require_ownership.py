"""Refuse new work while this host may not own targets."""

from almondspindle.controllers.membership.messages import CheckOwnershipStatus
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class RequireOwnership:
    """Accept calls only while this host's view of the fleet is fresh and it is not leaving."""

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call unchanged, or a refusal with the reason."""
        status = await self._membership.request(CheckOwnershipStatus())
        return status.map(lambda _: call)
