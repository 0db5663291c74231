"""Ask routers over unary peer methods, and hand them telemetry."""

from collections.abc import Sequence

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.telemetry_messages import PushTelemetry, to_wire
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.decisions.rolling_windows import Tallies

PUSH_TELEMETRY = "PushTelemetry"
GET_TELEMETRY = "GetTelemetry"


class PeerTallyLink:
    """Hand an entry's sums to the first of its routers that takes them."""

    def __init__(self, channels: Channels, addresses: Sequence[str]) -> None:
        self._channels = channels
        self._addresses = tuple(addresses)

    async def push(self, tallies: Tallies) -> bool:
        """Hand `tallies` to a router and return whether it has them."""
        msg = PushTelemetry(to_wire(tallies))
        for address in self._addresses:
            answer = await call_unary(self._channels, address, PUSH_TELEMETRY, msg)
            if answer.is_ok():
                return True
        return False
