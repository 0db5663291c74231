"""Claims from an entry to the hosts that write them, over gRPC."""

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
HOSTS_TRIED = 3
TRY_S = 3.0  # time for one host to decide; above the writer's own bound
CLAIM_BOUND_S = 8.0  # time for all hosts together


class PeerClaimsLink:
    """Ask the owner of a key's shard, then the next hosts.

    Asking several is safe: the store decides, and all are asked for the same nonce.
    """

    def __init__(self, channels: Channels, directory: DirectoryController, clock: Clock) -> None:
        self._channels = channels
        self._directory = directory
        self._clock = clock

    async def claim(self, claim: ClaimRequest, deadline_at: float) -> ClaimReply:
        """Return the decision on `claim`; UNAVAILABLE when none came by `deadline_at`."""
        return await self._ask(claim, deadline_at)

    async def settle(self, settle: SettleRequest) -> ClaimReply:
        """Have `settle` recorded; the decision is UNAVAILABLE when it may not be."""
        return await self._ask(settle, self._clock.monotonic() + CLAIM_BOUND_S)

    async def look(self, look: LookupRequest) -> ClaimReply:
        """Return what is recorded for a key."""
        return await self._ask(look, self._clock.monotonic() + CLAIM_BOUND_S)

    async def _ask(
        self, change: ClaimRequest | SettleRequest | LookupRequest, deadline_at: float
    ) -> ClaimReply:
        ends_at = min(deadline_at, self._clock.monotonic() + CLAIM_BOUND_S)
        roster = await self._directory.request(GetRoster())
        hosts = shard_hosts(segment_of(change.scope).shard, roster.hosts.values())
        last = ClaimReply(
            ClaimDecision.UNAVAILABLE, reason="no host that writes claims was reached"
        )
        for host in hosts[:HOSTS_TRIED]:
            left_s = ends_at - self._clock.monotonic()
            if left_s <= 0:
                break
            reply = await self._ask_host(host, change, min(left_s, TRY_S))
            if reply is None:
                continue
            if reply.decision is not ClaimDecision.UNAVAILABLE:
                return reply
            last = reply
        return last

    async def _ask_host(
        self, host: Host, change: ClaimRequest | SettleRequest | LookupRequest, bound_s: float
    ) -> ClaimReply | None:
        if not await self._channels.connect(host.address):
            emit(CLAIM_HOST_FAILED, peer=host.name, reason="no connection")
            return None
        method = self._channels.get(host.address).unary_unary(
            method_path(CLAIM_METHOD), request_serializer=encode, response_deserializer=decode
        )
        try:
            return await method(change, timeout=bound_s)
        except aio.AioRpcError as exc:
            emit(CLAIM_HOST_FAILED, peer=host.name, reason=exc.details())
            return None
