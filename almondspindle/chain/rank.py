"""Rank the targets that may serve a call."""

from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import RankTargets
from almondspindle.core.calls import Call
from almondspindle.core.outcomes import Outcome


class RankCandidates:
    """Set the candidate targets of a call, best first."""

    def __init__(self, directory: DirectoryController) -> None:
        self._directory = directory

    async def apply(self, call: Call, now: float) -> Outcome[Call]:
        """Return the call with its candidates, or a refusal if there is none."""
        assert call.service is not None
        key = call.chat_id or call.request_id
        ranked = await self._directory.request(RankTargets(call.service, key))
        return ranked.map(lambda candidates: call.copy_with(candidates=candidates))
