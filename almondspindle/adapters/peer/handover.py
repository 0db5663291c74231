"""Request the release of targets from previous owners, and serve requests of new owners."""

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.server import PeerServer
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.controllers.admission.messages import GetReleasedTargets
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.handover import ReleaseRequest, ReleaseResponse

RELEASE = "Release"


class PeerHandoverClient:
    """Send release requests to previous owners over gRPC."""

    def __init__(self, channels: Channels) -> None:
        self._channels = channels

    async def request_release(self, address: str, req: ReleaseRequest) -> ReleaseResponse | None:
        """Return which targets the host at `address` has released; None if it does not respond."""
        result = await call_unary(self._channels, address, RELEASE, req)
        response = result.ok if result.is_ok() else None
        return response if isinstance(response, ReleaseResponse) else None


class HandoverMethods:
    """Serve the release requests of new owners."""

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    def register(self, server: PeerServer) -> None:
        """Add the method to `server`."""
        server.add_method(RELEASE, self.release)

    async def release(self, req: ReleaseRequest) -> ReleaseResponse:
        """Return which of the requested targets this host has released."""
        return await self._admission.request(GetReleasedTargets(req.targets))
