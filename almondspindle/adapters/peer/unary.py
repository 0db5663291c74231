"""Call unary peer methods."""

from grpc import aio

from almondspindle.adapters.peer.base import method_path
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.codec import MalformedMessage, decode, encode
from almondspindle.core.outcomes import Error, Ok, Result

CALL_TIMEOUT_S = 2.0


async def call_unary(
    channels: Channels, address: str, method: str, msg: object
) -> Result[object, str]:
    """Call a unary method of the peer at `address`; return the response or an error message."""
    call = channels.get(address).unary_unary(
        method_path(method), request_serializer=encode, response_deserializer=decode
    )
    try:
        return Ok(await call(msg, timeout=CALL_TIMEOUT_S))
    except aio.AioRpcError as exc:
        return Error(f"{exc.code().name}: {exc.details()}")
    except MalformedMessage as exc:
        return Error(f"malformed response: {exc}")
