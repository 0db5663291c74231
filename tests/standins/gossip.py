"""Many membership controllers in one process, with a manual clock and network partitions.

In each period every running host sends its probe immediately, in an order shuffled by a fixed
seed. Every message passes through the real codec, so that its bytes can be counted.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.adapters.peer.probe_messages import (
    IndirectProbeRequest,
    IndirectProbeResponse,
    Probe,
    ProbeAck,
    gossip_from_wire,
    to_wire,
)
from almondspindle.adapters.peer.probes import DATAGRAM_OVERHEAD_BYTES
from almondspindle.controllers.membership.messages import (
    BeginLeaving,
    BeginProbePeriod,
    CheckOwnershipStatus,
    GetHostTable,
    HostTableFetched,
    MembershipConfigChanged,
    MembershipListeners,
    PickHelpers,
    PlatformListRead,
    ProbeAcknowledged,
    ProbeFailed,
    ProbePlan,
    ReceiveProbe,
    RefuseNewWork,
    ShouldReadList,
)
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.members import Gossip, MemberRecord, MembershipTimings
from almondspindle.core.roster import Host, HostState, Roster, Target
from almondspindle.decisions.ownership import owner_of

MS_PER_S = 1000


@dataclass
class Peer:
    """One host: its controller, and what its listeners received."""

    host: Host
    controller: MembershipController
    roster: Roster = field(default_factory=Roster)
    deltas: list = field(default_factory=list)
    digests: dict = field(default_factory=dict)
    peer_config_versions: list = field(default_factory=list)
    own_digests: tuple[ServiceDigest, ...] = ()
    is_running: bool = True
    store_calls: int = 0
    sent_bytes: int = 0
    largest_message_bytes: int = 0
    tables_fetched: int = 0
    sent_messages: int = 0

    def state_of(self, name: str) -> HostState | None:
        """Return the state of host `name` in this host's roster, None if it is not there."""
        found = self.roster.hosts.get(name)
        return found.state if found else None

    def may_own(self, now: float) -> bool:
        """Return whether this host accepts new work."""
        return self.controller.handle(CheckOwnershipStatus(), now).is_ok()

    def owns(self, target: str, now: float) -> bool:
        """Return whether this host would serve requests for `target` now."""
        if not self.is_running or not self.may_own(now):
            return False
        return owner_name(self, target) == self.host.name


@dataclass
class GossipFleet:
    """A fleet of peers with the platform's list and simulated faults.

    `loss` is the share of messages that are lost, from 0 to 1. `partitioned` holds pairs of a
    sender and a receiver between which all messages are lost.
    """

    seed: int = 1
    timings: MembershipTimings = field(default_factory=MembershipTimings)
    config: ConfigSet = field(default_factory=ConfigSet)
    loss: float = 0.0
    store_down: bool = False
    clock: ManualClock = field(default_factory=ManualClock)
    peers: dict[str, Peer] = field(default_factory=dict)
    platform_list: Roster = field(default_factory=Roster)
    partitioned: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._by_address: dict[str, Peer] = {}

    @property
    def now(self) -> float:
        """Return the monotonic time of all hosts in seconds."""
        return self.clock.monotonic()

    def list_targets(self, targets: Iterable[Target]) -> None:
        """Set the targets of the platform's list."""
        self.platform_list = Roster(self.platform_list.hosts, {t.name: t for t in targets})

    def start(self, name: str, zone: str, address: str | None = None) -> Peer:
        """Start or restart a host, and add it to the platform's list."""
        host = Host(name, zone, address or f"{name}:1")
        boot = int(self.clock.wall() * MS_PER_S)
        peer = Peer(host, None)  # type: ignore[arg-type]

        def on_roster(roster, delta) -> None:
            peer.roster = roster
            peer.deltas.append(delta)

        listeners = MembershipListeners(
            on_roster,
            peer.digests.update,
            lambda name, v: peer.peer_config_versions.append((name, v)),
        )
        own = MemberRecord(name, zone, host.address, boot)
        rng = Random(f"{self.seed}-{name}-{boot}")
        peer.controller = MembershipController(self.clock, own, self.timings, listeners, rng)
        peer.controller.handle(MembershipConfigChanged(self.config), self.now)
        self.peers[name] = self._by_address[host.address] = peer
        self.platform_list = Roster(
            {**self.platform_list.hosts, name: host}, self.platform_list.targets
        )
        return peer

    def stop(self, name: str) -> None:
        """Stop or pause a host; its controller keeps its state."""
        self.peers[name].is_running = False

    def resume(self, name: str) -> None:
        """Resume a paused host."""
        self.peers[name].is_running = True

    def partition(self, one: Iterable[str], other: Iterable[str], both_ways: bool = True) -> None:
        """Drop all messages from hosts in `one` to hosts in `other`, and back if `both_ways`."""
        pairs = {(a, b) for a in one for b in other}
        self.partitioned |= pairs | ({(b, a) for a, b in pairs} if both_ways else set())

    def run(self, periods: int) -> None:
        """Run `periods` probe periods."""
        for _ in range(periods):
            self.run_period()

    def run_until(self, condition: Callable[[], bool], bound: int) -> int:
        """Run until `condition` holds and return the number of periods; fail after `bound`."""
        for period in range(bound + 1):
            if condition():
                return period
            self.run_period()
        raise AssertionError(f"the condition did not hold within {bound} periods")

    def run_period(self) -> None:
        """Run one probe period of all hosts."""
        running = [peer for peer in self.peers.values() if peer.is_running]
        self.rng.shuffle(running)
        for peer in running:
            self._read_list(peer)
            self._begin_period(peer)
            self.clock.advance(self.timings.period_s / len(running))

    def announce_leaving(self, name: str) -> None:
        """Announce a planned stop of a host as the prober does, then make it refuse new work."""
        peer = self.peers[name]
        for plan in peer.controller.handle(BeginLeaving(), self.now):
            self._probe(peer, plan.host.address, plan.gossip)
        peer.controller.handle(RefuseNewWork(), self.now)

    def owners_agree(self) -> bool:
        """Return whether each target has a serving owner on which all running hosts agree."""
        running = [peer for peer in self.peers.values() if peer.is_running]
        return all(
            len({owner_name(peer, name) for peer in running}) == 1
            and any(peer.owns(name, self.now) for peer in running)
            for name in self.platform_list.targets
        )

    def unserved_targets(self) -> list[str]:
        """Return the targets whose owner in the view of some running host does not serve them."""
        running = [peer for peer in self.peers.values() if peer.is_running]
        return [
            name
            for name in self.platform_list.targets
            for peer in running
            if not self._is_served(owner_name(peer, name), name)
        ]

    def _is_served(self, owner: str | None, target: str) -> bool:
        return owner is not None and self.peers[owner].owns(target, self.now)

    def _read_list(self, peer: Peer) -> None:
        if not peer.controller.handle(ShouldReadList(), self.now):
            return
        peer.store_calls += 1
        if not self.store_down:
            peer.controller.handle(PlatformListRead(self.platform_list, self.now), self.now)

    def _begin_period(self, peer: Peer) -> None:
        plan = peer.controller.handle(BeginProbePeriod(peer.own_digests), self.now)
        if plan is None:
            return
        sent_at = self.now
        ack = self._probe(peer, plan.host.address, plan.gossip)
        if ack is None or ack.sender.name != plan.host.name:
            ack = self._probe_by_helpers(peer, plan.host)
        elif plan.fetch_table:
            self._fetch_table(peer, plan)
        if ack is None:
            peer.controller.handle(ProbeFailed(plan.host.name, sent_at), self.now)
        else:
            peer.controller.handle(ProbeAcknowledged(plan.host.name, sent_at, ack), self.now)

    def _fetch_table(self, peer: Peer, plan: ProbePlan) -> None:
        other = self._by_address[plan.host.address]
        table = other.controller.handle(GetHostTable(plan.gossip), self.now)
        peer.controller.handle(HostTableFetched(table), self.now)
        peer.tables_fetched += 1

    def _probe_by_helpers(self, peer: Peer, host: Host) -> Gossip | None:
        acks = []
        for plan in peer.controller.handle(PickHelpers(host.name), self.now):
            request = self._send(
                peer, IndirectProbeRequest(0, to_wire(plan.gossip), host.name, host.address)
            )
            helper = self._reachable_peer(peer, plan.host.address)
            if request is None or helper is None:
                continue
            gossip = helper.controller.handle(
                ReceiveProbe(gossip_from_wire(request.gossip)), self.now
            )
            found = self._probe(helper, host.address, gossip)
            if found is not None and found.sender.name != host.name:
                found = None
            result = IndirectProbeResponse(0, to_wire(found) if found else None)
            response = self._send(helper, result) if self._delivers(helper, peer) else None
            if response is not None and response.gossip is not None:
                acks.append(gossip_from_wire(response.gossip))
        return acks[0] if acks else None

    def _probe(self, peer: Peer, address: str, gossip: Gossip) -> Gossip | None:
        probe = self._send(peer, Probe(0, to_wire(gossip)))
        other = self._reachable_peer(peer, address)
        if probe is None or other is None:
            return None
        own_gossip = other.controller.handle(ReceiveProbe(gossip_from_wire(probe.gossip)), self.now)
        ack = self._send(other, ProbeAck(0, to_wire(own_gossip)))
        if ack is None or not self._delivers(other, peer):
            return None
        return gossip_from_wire(ack.gossip)

    def _send(self, peer: Peer, msg: object):
        """Count the encoded bytes; return the message as received, or None if it is lost."""
        data = encode(msg)
        peer.sent_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        peer.largest_message_bytes = max(peer.largest_message_bytes, len(data))
        peer.sent_messages += 1
        return None if self.rng.random() < self.loss else decode(data)

    def _reachable_peer(self, peer: Peer, address: str) -> Peer | None:
        other = self._by_address.get(address)
        if other is None or not other.is_running or not self._delivers(peer, other):
            return None
        return other

    def _delivers(self, one: Peer, other: Peer) -> bool:
        return (one.host.name, other.host.name) not in self.partitioned


def owner_name(peer: Peer, target: str) -> str | None:
    """Return the owner of `target` in the view of `peer`, None if there is none."""
    found = peer.roster.targets.get(target)
    owner = owner_of(found, peer.roster.hosts.values()) if found else None
    return owner.name if owner else None
