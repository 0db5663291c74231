"""Refuse calls for targets that this host does not own or that are out of service."""

from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import FindOwnedTarget
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class CheckTarget:
    """Accept calls only for owned targets that are in service and whose zone is in service."""

    def __init__(self, directory: DirectoryController) -> None:
        self._directory = directory

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its target's address and service, or a refusal with the reason."""
        assert call.target is not None
        found = await self._directory.request(FindOwnedTarget(call.target))
        return found.map(
            lambda target: call.copy_with(target_address=target.address, service=target.service)
        )
