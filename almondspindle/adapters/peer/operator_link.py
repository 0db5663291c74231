"""Client of the operators' command line for routers."""

from typing import Any

from almondspindle.adapters.peer.claims import CLAIM_METHOD
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_link import PeerConfigLink
from almondspindle.adapters.peer.operator_messages import (
    AdmissionRequest,
    AdmissionTold,
    CandidatesRequest,
    CandidatesTold,
    TargetReports,
    TargetReportsRequest,
)
from almondspindle.adapters.peer.operator_methods import (
    ASK_ADMISSION,
    GET_CANDIDATES,
    GET_TARGET_REPORTS,
)
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.core.claims import ClaimReply, LookupRequest
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.outcomes import Result


class PeerOperatorLink:
    """Query routers over gRPC. Results are errors if the router does not respond in time."""

    def __init__(self, channels: Channels, config_link: PeerConfigLink) -> None:
        self._channels = channels
        self._config_link = config_link

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries; None without a response."""
        return await self._config_link.status(address)

    async def target_reports(self, address: str) -> Result[TargetReports, str]:
        """Return a router's reports on the targets that it owns."""
        return await self._call(address, GET_TARGET_REPORTS, TargetReportsRequest())

    async def candidates(self, address: str, req: CandidatesRequest) -> Result[CandidatesTold, str]:
        """Return the candidates for a chat according to one router."""
        return await self._call(address, GET_CANDIDATES, req)

    async def admission(self, address: str, req: AdmissionRequest) -> Result[AdmissionTold, str]:
        """Return whether the owner of a target would admit a chat."""
        return await self._call(address, ASK_ADMISSION, req)

    async def look(self, address: str, look: LookupRequest) -> Result[ClaimReply, str]:
        """Return the claim record of a key as a host reads it from the store."""
        return await self._call(address, CLAIM_METHOD, look)

    async def _call(self, address: str, method: str, msg: object) -> Result[Any, str]:
        return await call_unary(self._channels, address, method, msg)
