"""The cost of membership to a node, the detection times, and the age of the digests.

Fleets run in one process with a manual clock; every message passes the production codec. Bytes
are the sum of what a node sends and receives, with 28 bytes of IPv4 and UDP headers per datagram.
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
from bench.output import duration_of, percentile, print_figure
from tests.standins.gossip import GossipFleet
from tests.standins.ports import free_port

DESIGN_SIZE = 1_100  # hosts at the design size
ZONES_AT_SIZE = 10
TARGETS_AT_SIZE = 11_000
ZONES = 4
SERVICES = [f"service-{n}" for n in range(7)]
SERVICES_OWNED = 5  # services among the 10 targets of a host; the next host has another five
WARM_UP_PERIODS = 60  # periods until the gossip updates of the start have expired
MEASURED_PERIODS = 20
LOSS_SHARE = 0.02
KILLS = 30
S_PER_DAY = 86_400.0
EVENTS_PER_DAY = 81 + 2_600  # hosts that fail, are restarted or are replaced
RECORDS_PER_EVENT = 3  # suspect or leaving, dead, live again
TARGET_CHANGES_PER_DAY = 11_000 * 2  # each target leaves and returns once a day
RECORD_BYTES = 75  # a host's or target's record on the wire, the longer of the two
PROBES = 300
MS_PER_S = 1e3


def run() -> None:
    """Print all figures."""
    rates = {size: measure_bytes_per_s(size) for size in (8, 16, 32, 64)}
    for size, rate in rates.items():
        print_figure(f"control_bytes_per_s_node_{size}", rate, "B/s")
    print_figure(
        "control_bytes_per_s_node_1100",
        rates[64] + update_bytes_per_s(DESIGN_SIZE),
        "B/s extrapolated",
    )
    print_figure("control_bytes_news_1100", update_bytes_per_s(DESIGN_SIZE), "B/s extrapolated")
    for size in (64, DESIGN_SIZE):
        print_figure(f"control_core_share_{size}", measure_core_share(size), "share")
    measure_detection()
    measure_digest_ages()
    measure_owner_changes()
    measure_list_calls()
    measure_memory()


@cache
def settled_fleet(size: int, loss: float = 0.0) -> GossipFleet:
    """Return a fleet of `size` hosts after its warm-up. Calls with equal arguments share it."""
    config = ConfigSet(1, {}, {s: Service(s, ServiceKind.PLAIN) for s in SERVICES})
    fleet = GossipFleet(config=config, loss=loss)
    for number in range(size):
        peer = fleet.start(f"entry-host-{number:04d}", f"zone-{number % ZONES}")
        owned = [SERVICES[(number + offset) % len(SERVICES)] for offset in range(SERVICES_OWNED)]
        peer.own_digests = tuple(ServiceDigest(service, 46, 2) for service in owned)
    fleet.run(WARM_UP_PERIODS)
    return fleet


def measure_bytes_per_s(size: int) -> float:
    """Return the bytes per second that a node sends and receives while nothing changes."""
    fleet = settled_fleet(size)
    before = sum(peer.sent_bytes for peer in fleet.peers.values())
    fleet.run(MEASURED_PERIODS)
    sent = sum(peer.sent_bytes for peer in fleet.peers.values()) - before
    return 2.0 * sent / size / MEASURED_PERIODS


def update_bytes_per_s(size: int) -> float:
    """Return the bytes per second that a node sends and receives for gossip updates.

    Each node sends each changed record `transmission_limit(size)` times. The number of changes is
    that of an ordinary day at the design size.
    """
    records = EVENTS_PER_DAY * RECORDS_PER_EVENT + TARGET_CHANGES_PER_DAY
    return 2.0 * records / S_PER_DAY * transmission_limit(size) * RECORD_BYTES


def measure_core_share(size: int) -> float:
    """Return the share of a core for one sent and one answered probe per period."""
    return asyncio.run(_measure_core_share(size))


@dataclass
class Node:
    """A membership controller with its own UDP socket."""

    controller: MembershipController
    transport: UdpProbeTransport
    host: Host


async def _open_node(name: str, size: int) -> Node:
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
    transport = UdpProbeTransport()

    async def receive_probe(gossip: Gossip) -> Gossip:
        return controller.handle(ReceiveProbe(gossip), SystemClock().monotonic())

    async def probe_for_peer(gossip: Gossip, name: str, address: str) -> Gossip | None:
        return None

    await transport.open(host.address, receive_probe, probe_for_peer)
    return Node(controller, transport, host)


async def _measure_core_share(size: int) -> float:
    one, other = await _open_node("one", size), await _open_node("other", size)
    digests = tuple(ServiceDigest(s, 46, 2) for s in SERVICES[:SERVICES_OWNED])
    clock = SystemClock()
    cpu_start_s = process_time()
    for _ in range(PROBES):
        now = clock.monotonic()
        probe = one.controller.handle(BeginProbePeriod(digests), now)
        gossip = await one.transport.probe(other.host, probe.gossip, 1.0)
        assert gossip is not None
        one.controller.handle(ProbeAcknowledged(probe.host.name, now, gossip), clock.monotonic())
    cpu_s = process_time() - cpu_start_s
    one.transport.close()
    other.transport.close()
    return cpu_s / PROBES / MembershipTimings().period_s


def measure_detection() -> None:
    """Print the times until the first and all hosts detect a killed host, with packet loss.

    Also print the false suspicions.
    """
    fleet = settled_fleet(32, LOSS_SHARE)
    first_s, last_s = [], []
    for number in range(KILLS):
        name = f"entry-host-{number % 32:04d}"
        fleet.stop(name)
        killed_at = fleet.now
        views = [p for n, p in fleet.peers.items() if n != name]
        fleet.run_until(lambda v=views, n=name: any(_is_dead(p, n) for p in v), 60)
        first_s.append(fleet.now - killed_at)
        fleet.run_until(lambda v=views, n=name: all(_is_dead(p, n) for p in v), 60)
        last_s.append(fleet.now - killed_at)
        fleet.start(name, f"zone-{number % ZONES}")
        fleet.run(10)
    for share, label in ((0.5, "p50"), (0.99, "p99")):
        print_figure(
            f"detection_s_{label}", percentile(first_s, share), "s by the first host, 32 hosts"
        )
        print_figure(
            f"detection_all_s_{label}", percentile(last_s, share), "s by all hosts, 32 hosts"
        )
    measure_false_suspicions()


def _is_dead(peer: object, name: str) -> bool:
    return peer.state_of(name) in (HostState.DEAD, None)  # type: ignore[attr-defined]


def measure_false_suspicions() -> None:
    """Print how often a live host is suspected or declared dead with packet loss."""
    periods = 200
    fleet = settled_fleet(64, LOSS_SHARE)
    for peer in fleet.peers.values():
        peer.deltas.clear()
    fleet.run(periods)
    seen: dict[HostState, set[tuple[str, int]]] = {state: set() for state in HostState}
    for peer in fleet.peers.values():
        for number, delta in enumerate(peer.deltas):
            for host in delta.hosts:
                seen[host.state].add((host.name, number))
    probes = 64 * periods
    suspected = len({name for name, _ in seen[HostState.SUSPECT]})
    print_figure(
        "false_suspicion_share",
        suspected / probes,
        f"hosts suspected a probe, {LOSS_SHARE:.0%} loss",
    )
    print_figure(
        "false_deaths",
        len(seen[HostState.DEAD]),
        f"hosts in {probes} probes, {LOSS_SHARE:.0%} loss",
    )


def measure_digest_ages() -> None:
    """Print the 99th percentile of the age of digests, by the number of hosts in a zone."""
    age_s = {zone_size: digest_age_p99(zone_size * ZONES) for zone_size in (16, 32)}
    print_figure("digest_age_s_p99_64", age_s[16], "s, 16 hosts a zone")
    print_figure("digest_age_s_p99_128", age_s[32], "s, 32 hosts a zone")
    slope = (age_s[32] - age_s[16]) / (32 - 16)
    at_size = age_s[32] + slope * (DESIGN_SIZE / ZONES_AT_SIZE - 32)
    print_figure("digest_age_s_p99_1100", at_size, "s extrapolated, 110 hosts a zone")
    print_figure("digest_age_slope", slope, "s a host of the zone")


def digest_age_p99(size: int) -> float:
    """Return the 99th percentile of the ages, in seconds, of all digests in a fleet."""
    fleet = settled_fleet(size)
    ages_s = []
    for _ in range(10):
        fleet.run_period()
        for peer in fleet.peers.values():
            ages_s += peer.controller.digest_ages(fleet.now)
    return percentile(ages_s, 0.99)


def measure_owner_changes() -> None:
    """Print the time to update the owners of 11,000 targets after a change of one host."""
    hosts = {f"h{n}": Host(f"h{n}", f"z{n % ZONES_AT_SIZE}", "1:1") for n in range(DESIGN_SIZE)}
    names = (f"t{n}" for n in range(TARGETS_AT_SIZE))
    zone = {name: f"z{n % ZONES_AT_SIZE}" for n, name in enumerate(names)}
    targets = {name: Target(name, "s", zone[name], "1:2") for name in zone}
    table = OwnerTable()
    table.apply(Roster(hosts, targets))
    fewer_hosts = {name: host for name, host in hosts.items() if name != "h5"}
    leaves = [duration_of(lambda: table.apply(Roster(fewer_hosts, targets)))]
    joins = [duration_of(lambda: table.apply(Roster(hosts, targets)))]
    for _ in range(4):
        leaves.append(duration_of(lambda: table.apply(Roster(fewer_hosts, targets))))
        joins.append(duration_of(lambda: table.apply(Roster(hosts, targets))))
    sample = list(targets.values())[:200]
    naive_s = (
        duration_of(lambda: [owner_of(t, hosts.values()) for t in sample]) / 200 * TARGETS_AT_SIZE
    )
    worst_s = max(percentile(leaves, 0.5), percentile(joins, 0.5))
    print_figure(
        "owners_apply_change_ms_11000", worst_s * MS_PER_S, "ms, the slower of leave and join"
    )
    print_figure("owners_speedup_vs_naive_11000", naive_s / worst_s, "ratio, naive by 200 targets")


def measure_list_calls() -> None:
    """Print the calls per second for the list of the platform."""
    for size in (6, 64):
        fleet = settled_fleet(size)
        before = sum(peer.store_calls for peer in fleet.peers.values())
        fleet.run(MEASURED_PERIODS)
        calls = sum(peer.store_calls for peer in fleet.peers.values()) - before
        print_figure(f"list_calls_per_s_{size}", calls / MEASURED_PERIODS, "calls/s")
    zones = [f"z{n}" for n in range(ZONES_AT_SIZE)]
    hosts = [Host(f"h{n}", zones[n % ZONES_AT_SIZE], "1:1") for n in range(DESIGN_SIZE)]
    timings = MembershipTimings()
    watchers = sum(len(select_list_watchers(hosts, zone, timings.list_watchers)) for zone in zones)
    print_figure("list_calls_per_s_1100", watchers / timings.list_interval_s, "calls/s derived")


def measure_memory() -> None:
    """Print the memory that a node needs for all hosts, targets and owners of the system."""
    tracemalloc.start()
    clock = ManualClock()
    own = MemberRecord("own", "z0", "1:1", 1)
    table = OwnerTable()
    listeners = MembershipListeners(lambda roster, delta: table.apply(roster))
    controller = MembershipController(clock, own, MembershipTimings(), listeners, Random(1))
    hosts = [
        Host(f"entry-host-{n:04d}", f"zone-{n % 10}", f"10.0.{n}:9080") for n in range(DESIGN_SIZE)
    ]
    targets = [
        Target(f"target-{n:05d}", SERVICES[n % 7], f"zone-{n % 10}", f"10.1.{n}:8000")
        for n in range(TARGETS_AT_SIZE)
    ]
    roster = Roster({host.name: host for host in hosts}, {t.name: t for t in targets})
    controller.handle(PlatformListRead(roster, clock.monotonic()), clock.monotonic())
    print_figure("membership_state_mb_1100", tracemalloc.get_traced_memory()[0] / 1e6, "MB")
    tracemalloc.stop()
