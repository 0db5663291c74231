"""Ask routers over unary peer methods, and hand them telemetry."""

from collections.abc import Sequence

from grpc import aio

from almondspindle.adapters.peer.base import method_path
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.telemetry_messages import PushTelemetry, to_wire
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.decisions.windows import Tallies

PUSH_TELEMETRY = "PushTelemetry"
GET_TELEMETRY = "GetTelemetry"
CALL_TIMEOUT_S = 2.0


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


async def call_unary(
    channels: Channels, address: str, method: str, msg: object
) -> Result[object, str]:
    """Return the answer of the peer at `address` to a unary method, or why there is none."""
    call = channels.get(address).unary_unary(
        method_path(method), request_serializer=encode, response_deserializer=decode
    )
    try:
        return Ok(await call(msg, timeout=CALL_TIMEOUT_S))
    except aio.AioRpcError as exc:
        return Error(f"{exc.code().name}: {exc.details()}")
