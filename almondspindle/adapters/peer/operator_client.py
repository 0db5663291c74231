"""Client of the operators' command line for routers."""

from typing import Any

from almondspindle.adapters.peer.claims import CLAIM_METHOD
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.peer.operator_messages import (
    AdmissionRequest,
    AdmissionResponse,
    CandidatesRequest,
    CandidatesResponse,
    TargetReports,
    TargetReportsRequest,
)
from almondspindle.adapters.peer.operator_methods import (
    CHECK_ADMISSION,
    GET_CANDIDATES,
    GET_TARGET_REPORTS,
)
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.core.claims import ClaimReply, LookupRequest
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.outcomes import Result


class PeerOperatorClient:
    """Query routers over gRPC. Results are errors if the router does not respond in time."""

    def __init__(self, channels: Channels, config_client: PeerConfigClient) -> None:
        self._channels = channels
        self._config_client = config_client

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries; None without a response."""
        return await self._config_client.status(address)

    async def target_reports(self, address: str) -> Result[TargetReports, str]:
        """Return a router's reports on the targets that it owns."""
        return await self._call(address, GET_TARGET_REPORTS, TargetReportsRequest())

    async def candidates(
        self, address: str, req: CandidatesRequest
    ) -> Result[CandidatesResponse, str]:
        """Return the candidates for a chat according to one router."""
        return await self._call(address, GET_CANDIDATES, req)

    async def admission(
        self, address: str, req: AdmissionRequest
    ) -> Result[AdmissionResponse, str]:
        """Return whether the owner of a target would admit a chat."""
        return await self._call(address, CHECK_ADMISSION, req)

    async def lookup(self, address: str, request: LookupRequest) -> Result[ClaimReply, str]:
        """Return the claim record of a key as a host reads it from the store."""
        return await self._call(address, CLAIM_METHOD, request)

    async def _call(self, address: str, method: str, msg: object) -> Result[Any, str]:
        return await call_unary(self._channels, address, method, msg)
