"""Client with which an entry sends operations on claims to the hosts that write them."""

from grpc import aio

from almondspindle.adapters.peer.base import method_path
from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import GetRoster
from almondspindle.core.claims import (
    ClaimDecision,
    ClaimReply,
    ClaimRequest,
    LookupRequest,
    SettleRequest,
)
from almondspindle.core.clock import Clock
from almondspindle.core.events import CLAIM_HOST_FAILED
from almondspindle.core.logs import emit
from almondspindle.core.roster import Host
from almondspindle.decisions.claim_keys import segment_of, shard_hosts

CLAIM_METHOD = "Claim"
MAX_HOSTS = 3
HOST_TIMEOUT_S = 3.0  # for one host to respond; longer than the writer's time-out for a batch
TOTAL_TIMEOUT_S = 8.0  # for all hosts together


class PeerClaimsClient:
    """Send operations on claims over gRPC to the owner of the key's shard.

    If that host does not respond or is unavailable, the operation is sent to the next hosts in
    the ranking. This is safe: the store decides, and the operation's nonce is the same each time.
    """

    def __init__(self, channels: Channels, directory: DirectoryController, clock: Clock) -> None:
        self._channels = channels
        self._directory = directory
        self._clock = clock

    async def claim(self, claim: ClaimRequest, deadline_at: float) -> ClaimReply:
        """Return the decision on `claim`; UNAVAILABLE if there is none by `deadline_at`.

        `deadline_at` is in seconds on this process's monotonic clock.
        """
        return await self._send(claim, deadline_at)

    async def settle(self, settle: SettleRequest) -> ClaimReply:
        """Send `settle`; the decision is UNAVAILABLE if it may not have been recorded."""
        return await self._send(settle, self._clock.monotonic() + TOTAL_TIMEOUT_S)

    async def lookup(self, request: LookupRequest) -> ClaimReply:
        """Return the claim record of a key."""
        return await self._send(request, self._clock.monotonic() + TOTAL_TIMEOUT_S)

    async def _send(
        self, operation: ClaimRequest | SettleRequest | LookupRequest, deadline_at: float
    ) -> ClaimReply:
        ends_at = min(deadline_at, self._clock.monotonic() + TOTAL_TIMEOUT_S)
        roster = await self._directory.request(GetRoster())
        hosts = shard_hosts(segment_of(operation.scope).shard, roster.hosts.values())
        last_reply = ClaimReply(
            ClaimDecision.UNAVAILABLE, reason="could not reach any host that writes claims"
        )
        for host in hosts[:MAX_HOSTS]:
            remaining_s = ends_at - self._clock.monotonic()
            if remaining_s <= 0:
                break
            reply = await self._send_to_host(host, operation, min(remaining_s, HOST_TIMEOUT_S))
            if reply is None:
                continue
            if reply.decision is not ClaimDecision.UNAVAILABLE:
                return reply
            last_reply = reply
        return last_reply

    async def _send_to_host(
        self, host: Host, operation: ClaimRequest | SettleRequest | LookupRequest, timeout_s: float
    ) -> ClaimReply | None:
        if not await self._channels.connect(host.address):
            emit(CLAIM_HOST_FAILED, peer=host.name, reason="no connection")
            return None
        method = self._channels.get(host.address).unary_unary(
            method_path(CLAIM_METHOD), request_serializer=encode, response_deserializer=decode
        )
        try:
            return await method(operation, timeout=timeout_s)
        except aio.AioRpcError as exc:
            emit(CLAIM_HOST_FAILED, peer=host.name, reason=exc.details())
            return None
