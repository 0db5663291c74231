"""Assign calls to a version of their service while an operator moves it to another one."""

from almondspindle.controllers.rollouts.messages import ChooseVersion
from almondspindle.controllers.rollouts.task import RolloutsController
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Ok, Outcome


class AssignVersion:
    """Set the call's version."""

    def __init__(self, rollouts: RolloutsController) -> None:
        self._rollouts = rollouts

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its version."""
        if call.service is None:
            return Ok(call)
        key = call.prompt.shared_key if call.prompt else ""
        version = await self._rollouts.request(ChooseVersion(call.service, key or call.request_id))
        return Ok(call.copy_with(version=version))
