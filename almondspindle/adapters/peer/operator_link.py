"""Ask routers what the operators' command line wants to know."""

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
    """Ask routers over gRPC."""

    def __init__(self, channels: Channels, config_link: PeerConfigLink) -> None:
        self._channels = channels
        self._config_link = config_link

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries."""
        return await self._config_link.status(address)

    async def target_reports(self, address: str) -> Result[TargetReports, str]:
        """Return what a router knows of the targets that it owns."""
        return await self._call(address, GET_TARGET_REPORTS, TargetReportsRequest())

    async def candidates(self, address: str, req: CandidatesRequest) -> Result[CandidatesTold, str]:
        """Return the candidates of a chat, by one router's view."""
        return await self._call(address, GET_CANDIDATES, req)

    async def admission(self, address: str, req: AdmissionRequest) -> Result[AdmissionTold, str]:
        """Return whether an owner would admit a chat."""
        return await self._call(address, ASK_ADMISSION, req)

    async def lookup_claim(self, address: str, req: LookupRequest) -> Result[ClaimReply, str]:
        """Return what a host reads of a key's claim record."""
        return await self._call(address, CLAIM_METHOD, req)

    async def _call(self, address: str, method: str, msg: object) -> Result[Any, str]:
        return await call_unary(self._channels, address, method, msg)
