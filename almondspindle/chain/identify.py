"""Determine the team of a call from its bearer token."""

import hashlib

from almondspindle.controllers.configuration.messages import FindTeam
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome, RefusalCode, refused


class IdentifyTeam:
    """Set the team that owns the call's bearer token."""

    def __init__(self, configuration: ConfigurationController) -> None:
        self._configuration = configuration

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its team, or a refusal for a missing or unknown token."""
        if not call.bearer_token:
            return refused(
                RefusalCode.UNAUTHENTICATED, "send an Authorization header: Bearer <team token>"
            )
        digest = hashlib.sha256(call.bearer_token.encode()).hexdigest()
        found = await self._configuration.request(FindTeam(digest))
        return found.map(lambda team: call.copy_with(team=team.name))
