"""Client that pushes an entry's telemetry to a router."""

from collections.abc import Sequence

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.telemetry_messages import PushTelemetry, tallies_to_wire
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.decisions.rolling_windows import Tallies

PUSH_TELEMETRY = "PushTelemetry"
GET_TELEMETRY = "GetTelemetry"


class PeerTallyClient:
    """Push an entry's tallies to its routers in turn, until one confirms them."""

    def __init__(self, channels: Channels, addresses: Sequence[str]) -> None:
        self._channels = channels
        self._addresses = tuple(addresses)

    async def push(self, tallies: Tallies) -> bool:
        """Push `tallies`; return whether a router confirmed that it accepted them."""
        msg = PushTelemetry(tallies_to_wire(tallies))
        for address in self._addresses:
            result = await call_unary(self._channels, address, PUSH_TELEMETRY, msg)
            if result.is_ok():
                return True
        return False
