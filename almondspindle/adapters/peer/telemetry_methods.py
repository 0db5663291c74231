"""The telemetry methods that a router serves."""

from almondspindle.adapters.peer.server import PeerServer
from almondspindle.adapters.peer.telemetry_client import GET_TELEMETRY, PUSH_TELEMETRY
from almondspindle.adapters.peer.telemetry_messages import (
    GetTelemetry,
    HostTelemetry,
    PushTelemetry,
    TelemetryAccepted,
    host_telemetry,
    tallies_from_wire,
)
from almondspindle.controllers.telemetry.messages import AddTallies, GetWindows
from almondspindle.controllers.telemetry.task import TelemetryController
from almondspindle.core.identifiers import HostName


class TelemetryMethods:
    """Serve the telemetry methods from the telemetry controller."""

    def __init__(self, host: HostName, telemetry: TelemetryController) -> None:
        self._host = host
        self._telemetry = telemetry

    def register(self, server: PeerServer) -> None:
        """Add the methods to `server`."""
        server.add_method(PUSH_TELEMETRY, self.push)
        server.add_method(GET_TELEMETRY, self.get)

    async def push(self, msg: PushTelemetry) -> TelemetryAccepted:
        """Add an entry's tallies to the windows."""
        self._telemetry.send(AddTallies(tallies_from_wire(msg.tallies)))
        return TelemetryAccepted()

    async def get(self, msg: GetTelemetry) -> HostTelemetry:
        """Return this host's tallies over each window."""
        totals = await self._telemetry.request(GetWindows())
        return host_telemetry(self._host, totals)
