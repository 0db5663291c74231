"""What membership costs a node, how fast it is, and how old what it tells is.

Fleets run in one process with a manual clock; every message goes through the real codec. Bytes
are those a node sends plus those it receives, with 28 bytes of IPv4 and UDP headers a datagram.
"""

import asyncio
import tracemalloc
from dataclasses import dataclass
from functools import cache
from random import Random
from time import process_time

from almondspindle.adapters.peer.probes import UdpProbeTransport
from almondspindle.controllers.membership.messages import (
    BeginProbePeriod,
    HostTableFetched,
    MembershipListeners,
    PlatformListRead,
    ProbeAcknowledged,
    ReceiveProbe,
)
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.clock import ManualClock, SystemClock
from almondspindle.core.config import ConfigSet, Service, ServiceKind
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.members import Gossip, MemberRecord, MembershipTimings
from almondspindle.core.roster import Host, HostState, Roster, Target
from almondspindle.decisions.gossip_queue import transmission_limit
from almondspindle.decisions.list_watchers import select_list_watchers
from almondspindle.decisions.ownership import OwnerTable, owner_of
from bench.output import figure, percentile, timed
from tests.standins.gossip import GossipFleet
from tests.standins.ports import free_port

SIZE = 1_100  # hosts to design for
ZONES_AT_SIZE = 10
TARGETS_AT_SIZE = 11_000
ZONES = 4
SERVICES = [f"service-{n}" for n in range(7)]
SERVICES_OWNED = 5  # services among the 10 targets of a host, another five on the next host
WARM_UP = 60  # periods until the news of the start have died away
MEASURED = 20
LOSS = 0.02
KILLS = 30
S_PER_DAY = 86_400.0
EVENTS_PER_DAY = 81 + 2_600  # hosts that fail, are restarted or replaced
RECORDS_PER_EVENT = 3  # suspect or leaving, dead, live again
TARGET_CHANGES_PER_DAY = 11_000 * 2  # each target leaves and returns once a day
RECORD_BYTES = 75  # a host's or target's record on the wire, the longer of the two
PROBES = 300
S_TO_MS = 1e3


def run() -> None:
    """Print all figures."""
    rates = {size: control_bytes(size) for size in (8, 16, 32, 64)}
    for size, rate in rates.items():
        figure(f"control_bytes_per_s_node_{size}", rate, "B/s")
    figure("control_bytes_per_s_node_1100", rates[64] + news_bytes(SIZE), "B/s extrapolated")
    figure("control_bytes_news_1100", news_bytes(SIZE), "B/s extrapolated")
    for size in (64, SIZE):
        figure(f"control_core_share_{size}", core_share(size), "share")
    detection()
    ages()
    owners()
    store_calls()
    state()


@cache
def fleet_of(size: int, loss: float = 0.0) -> GossipFleet:
    """Return a fleet whose hosts have known each other for a while."""
    config = ConfigSet(1, {}, {s: Service(s, ServiceKind.PLAIN) for s in SERVICES})
    fleet = GossipFleet(config=config, loss=loss)
    for number in range(size):
        peer = fleet.start(f"entry-host-{number:04d}", f"zone-{number % ZONES}")
        owned = [SERVICES[(number + place) % len(SERVICES)] for place in range(SERVICES_OWNED)]
        peer.own_digests = tuple(ServiceDigest(service, 46, 2) for service in owned)
    fleet.run(WARM_UP)
    return fleet


def control_bytes(size: int) -> float:
    """Return the bytes a second that a node of a quiet fleet sends and receives."""
    fleet = fleet_of(size)
    before = sum(peer.sent_bytes for peer in fleet.peers.values())
    fleet.run(MEASURED)
    sent = sum(peer.sent_bytes for peer in fleet.peers.values()) - before
    return 2.0 * sent / size / MEASURED


def news_bytes(size: int) -> float:
    """Return the bytes a second of news: each record is sent by each node a set number of times.

    The slope is in events a second; an ordinary day has them in proportion to the fleet.
    """
    records = EVENTS_PER_DAY * RECORDS_PER_EVENT + TARGET_CHANGES_PER_DAY
    return 2.0 * records / S_PER_DAY * transmission_limit(size) * RECORD_BYTES


def core_share(size: int) -> float:
    """Return the share of a core that one probe sent and one answered take in each period."""
    return asyncio.run(_core_share(size))


@dataclass
class Node:
    """A controller with its own datagram socket."""

    controller: MembershipController
    link: UdpProbeTransport
    host: Host


async def _node(name: str, size: int) -> Node:
    host = Host(name, "zone-0", f"127.0.0.1:{free_port()}")
    own = MemberRecord(name, host.zone, host.address, 1)
    listeners = MembershipListeners(lambda roster, delta: None)
    controller = MembershipController(SystemClock(), own, MembershipTimings(), listeners, Random(1))
    now = SystemClock().monotonic()
    records = tuple(
        MemberRecord(f"entry-host-{n:04d}", f"zone-{n % ZONES_AT_SIZE}", "127.0.0.1:9", 1)
        for n in range(size)
    )
    controller.handle(PlatformListRead(Roster(), now), now)
    controller.handle(HostTableFetched(Gossip(records[0], members=records)), now)
    link = UdpProbeTransport()

    async def hear(gossip: Gossip) -> Gossip:
        return controller.handle(ReceiveProbe(gossip), SystemClock().monotonic())

    async def no_help(gossip: Gossip, name: str, address: str) -> Gossip | None:
        return None

    await link.open(host.address, hear, no_help)
    return Node(controller, link, host)


async def _core_share(size: int) -> float:
    one, other = await _node("one", size), await _node("other", size)
    digests = tuple(ServiceDigest(s, 46, 2) for s in SERVICES[:SERVICES_OWNED])
    clock = SystemClock()
    began = process_time()
    for _ in range(PROBES):
        now = clock.monotonic()
        plan = one.controller.handle(BeginProbePeriod(digests), now)
        answer = await one.link.probe(other.host, plan.gossip, 1.0)
        assert answer is not None
        one.controller.handle(ProbeAcknowledged(plan.host.name, now, answer), clock.monotonic())
    used_s = process_time() - began
    one.link.close()
    other.link.close()
    return used_s / PROBES / MembershipTimings().period_s


def detection() -> None:
    """Print how long a killed host stays in the views, and false suspicions, under loss."""
    fleet = fleet_of(32, LOSS)
    first, last = [], []
    for number in range(KILLS):
        name = f"entry-host-{number % 32:04d}"
        fleet.stop(name)
        killed_at = fleet.now
        views = [p for n, p in fleet.peers.items() if n != name]
        fleet.run_until(lambda v=views, n=name: any(_is_dead(p, n) for p in v), 60)
        first.append(fleet.now - killed_at)
        fleet.run_until(lambda v=views, n=name: all(_is_dead(p, n) for p in v), 60)
        last.append(fleet.now - killed_at)
        fleet.start(name, f"zone-{number % ZONES}")
        fleet.run(10)
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        figure(f"detection_s_{label}", percentile(first, share), "s by the first host, 32 hosts")
        figure(f"detection_all_s_{label}", percentile(last, share), "s by all hosts, 32 hosts")
    false_suspicions()


def _is_dead(peer: object, name: str) -> bool:
    return peer.state_of(name) in (HostState.DEAD, None)  # type: ignore[attr-defined]


def false_suspicions() -> None:
    """Print how often a live host is suspected or held dead under loss."""
    periods = 200
    fleet = fleet_of(64, LOSS)
    for peer in fleet.peers.values():
        peer.deltas.clear()
    fleet.run(periods)
    found: dict[HostState, set[tuple[str, int]]] = {state: set() for state in HostState}
    for peer in fleet.peers.values():
        for number, delta in enumerate(peer.deltas):
            for host in delta.hosts:
                found[host.state].add((host.name, number))
    probes = 64 * periods
    suspected = len({name for name, _ in found[HostState.SUSPECT]})
    figure("false_suspicion_share", suspected / probes, f"hosts suspected a probe, {LOSS:.0%} loss")
    figure("false_deaths", len(found[HostState.DEAD]), f"hosts in {probes} probes, {LOSS:.0%} loss")


def ages() -> None:
    """Print how old the digests are that a host goes by, by the size of its zone."""
    found = {mates: digest_age(mates * ZONES) for mates in (16, 32)}
    figure("digest_age_s_p99_64", found[16], "s, 16 hosts a zone")
    figure("digest_age_s_p99_128", found[32], "s, 32 hosts a zone")
    slope = (found[32] - found[16]) / (32 - 16)
    at_size = found[32] + slope * (SIZE / ZONES_AT_SIZE - 32)
    figure("digest_age_s_p99_1100", at_size, "s extrapolated, 110 hosts a zone")
    figure("digest_age_slope", slope, "s a host of the zone")


def digest_age(size: int) -> float:
    """Return the 99th percentile of the ages of all digests in use."""
    fleet = fleet_of(size)
    found = []
    for _ in range(10):
        fleet.run_period()
        for peer in fleet.peers.values():
            found += peer.controller.digest_ages(fleet.now)
    return percentile(found, 0.99)


def owners() -> None:
    """Print the time to apply the change of one host to the owners of 11,000 targets."""
    hosts = {f"h{n}": Host(f"h{n}", f"z{n % ZONES_AT_SIZE}", "1:1") for n in range(SIZE)}
    names = (f"t{n}" for n in range(TARGETS_AT_SIZE))
    zone = {name: f"z{n % ZONES_AT_SIZE}" for n, name in enumerate(names)}
    targets = {name: Target(name, "s", zone[name], "1:2") for name in zone}
    table = OwnerTable()
    table.apply(Roster(hosts, targets))
    less = {name: host for name, host in hosts.items() if name != "h5"}
    leaves = [timed(lambda: table.apply(Roster(less, targets)))]
    joins = [timed(lambda: table.apply(Roster(hosts, targets)))]
    for _ in range(4):
        leaves.append(timed(lambda: table.apply(Roster(less, targets))))
        joins.append(timed(lambda: table.apply(Roster(hosts, targets))))
    sample = list(targets.values())[:200]
    naive_s = timed(lambda: [owner_of(t, hosts.values()) for t in sample]) / 200 * TARGETS_AT_SIZE
    worst_s = max(percentile(leaves, 0.5), percentile(joins, 0.5))
    figure("owners_apply_change_ms_11000", worst_s * S_TO_MS, "ms, the slower of leave and join")
    figure("owners_speedup_vs_naive_11000", naive_s / worst_s, "ratio, naive by 200 targets")


def store_calls() -> None:
    """Print the calls a second for the platform's list."""
    for size in (6, 64):
        fleet = fleet_of(size)
        before = sum(peer.store_calls for peer in fleet.peers.values())
        fleet.run(MEASURED)
        calls = sum(peer.store_calls for peer in fleet.peers.values()) - before
        figure(f"list_calls_per_s_{size}", calls / MEASURED, "calls/s")
    zones = [f"z{n}" for n in range(ZONES_AT_SIZE)]
    hosts = [Host(f"h{n}", zones[n % ZONES_AT_SIZE], "1:1") for n in range(SIZE)]
    timings = MembershipTimings()
    chosen = sum(len(select_list_watchers(hosts, zone, timings.list_watchers)) for zone in zones)
    figure("list_calls_per_s_1100", chosen / timings.list_interval_s, "calls/s derived")


def state() -> None:
    """Print the memory that the hosts, targets and owners of the whole system take in a node."""
    tracemalloc.start()
    clock = ManualClock()
    own = MemberRecord("own", "z0", "1:1", 1)
    table = OwnerTable()
    listeners = MembershipListeners(lambda roster, delta: table.apply(roster))
    controller = MembershipController(clock, own, MembershipTimings(), listeners, Random(1))
    hosts = [Host(f"entry-host-{n:04d}", f"zone-{n % 10}", f"10.0.{n}:9080") for n in range(SIZE)]
    targets = [
        Target(f"target-{n:05d}", SERVICES[n % 7], f"zone-{n % 10}", f"10.1.{n}:8000")
        for n in range(TARGETS_AT_SIZE)
    ]
    roster = Roster({host.name: host for host in hosts}, {t.name: t for t in targets})
    controller.handle(PlatformListRead(roster, clock.monotonic()), clock.monotonic())
    figure("membership_state_mb_1100", tracemalloc.get_traced_memory()[0] / 1e6, "MB")
    tracemalloc.stop()
