"""Ask previous owners for their targets, and answer new ones."""

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.server import PeerServer
from almondspindle.adapters.peer.telemetry import call_unary
from almondspindle.controllers.admission.messages import GetReleasedTargets
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.handover import ReleaseRequest, ReleaseResponse

RELEASE = "Release"


class PeerHandoverLink:
    """Ask over a unary peer method."""

    def __init__(self, channels: Channels) -> None:
        self._channels = channels

    async def request_release(self, address: str, req: ReleaseRequest) -> ReleaseResponse | None:
        """Return which targets the host at `address` has let go of; None if it does not answer."""
        found = await call_unary(self._channels, address, RELEASE, req)
        answer = found.ok if found.is_ok() else None
        return answer if isinstance(answer, ReleaseResponse) else None


class HandoverMethods:
    """Answer new owners from the admission controller."""

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    def register(self, server: PeerServer) -> None:
        """Add the method to `server`."""
        server.add_method(RELEASE, self.release)

    async def release(self, req: ReleaseRequest) -> ReleaseResponse:
        """Return which of the targets this host no longer owns."""
        return await self._admission.request(GetReleasedTargets(req.targets))
