"""The methods that a router serves to the operators' command line."""

from almondspindle.adapters.peer.operator_messages import (
    AdmissionRequest,
    AdmissionResponse,
    CandidateInfo,
    CandidatesRequest,
    CandidatesResponse,
    TargetReports,
    TargetReportsRequest,
)
from almondspindle.adapters.peer.server import PeerServer
from almondspindle.controllers.admission.messages import CheckAdmission, GetTargetReports
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.controllers.configuration.messages import GetConfig
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import FindOwnedTarget, GetRoster, RankTargets
from almondspindle.core.identifiers import HostName

GET_TARGET_REPORTS = "GetTargetReports"
GET_CANDIDATES = "GetCandidates"
CHECK_ADMISSION = "AskAdmission"


class OperatorMethods:
    """Serve queries from the state of the controllers, without changing it."""

    def __init__(
        self,
        host: HostName,
        configuration: ConfigurationController,
        directory: DirectoryController,
        admission: AdmissionController,
    ) -> None:
        self._host = host
        self._configuration = configuration
        self._directory = directory
        self._admission = admission

    def register(self, server: PeerServer) -> None:
        """Add the methods to `server`."""
        server.add_method(GET_TARGET_REPORTS, self.target_reports)
        server.add_method(GET_CANDIDATES, self.candidates)
        server.add_method(CHECK_ADMISSION, self.admission)

    async def target_reports(self, req: TargetReportsRequest) -> TargetReports:
        """Return this router's reports on the targets that it owns."""
        return TargetReports(await self._admission.request(GetTargetReports(self._host)))

    async def candidates(self, req: CandidatesRequest) -> CandidatesResponse:
        """Return the candidates for a chat, without targets that are not in the roster."""
        config = await self._configuration.request(GetConfig())
        ranked = await self._directory.request(RankTargets(req.service, req.chat_id))
        if ranked.is_error():
            return CandidatesResponse(config.version, (), ranked.error.message)
        roster = await self._directory.request(GetRoster())
        candidates = tuple(
            CandidateInfo(c.target, roster.targets[c.target].zone, c.owner, c.owner_address)
            for c in ranked.ok
            if c.target in roster.targets
        )
        return CandidatesResponse(config.version, candidates)

    async def admission(self, req: AdmissionRequest) -> AdmissionResponse:
        """Return the reason why this router would refuse a chat now, empty if it would not."""
        found = await self._directory.request(FindOwnedTarget(req.target))
        if found.is_error():
            return AdmissionResponse(found.error.message)
        refusal = await self._admission.request(CheckAdmission(req.target, req.chat_id))
        return AdmissionResponse(refusal.message if refusal else "")
