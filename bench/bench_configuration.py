"""How fast a configuration is in force everywhere, and what its spread costs."""

import asyncio
from random import Random
from time import monotonic

from almondspindle.adapters.peer.codec import encode
from almondspindle.adapters.peer.config_client import PeerConfigClient
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    dump_stored,
)
from almondspindle.controllers.configuration.dissemination import PULL_INTERVAL_S
from almondspindle.controllers.configuration.manager import ConfigManager
from almondspindle.controllers.configuration.writer import ConfigWriter, WriterCfg
from almondspindle.core.changes import BringBack, ObjectKind, SetFields, TakeOut
from almondspindle.core.clock import ManualClock, SystemClock
from almondspindle.core.config import AvailabilityZone, ConfigSet, Service, ServiceKind, Team
from almondspindle.core.config_messages import ConfigPush, GetConfigRequest
from almondspindle.decisions.configuration.apply import apply_changes
from almondspindle.decisions.configuration.delta import diff
from almondspindle.decisions.configuration.dissemination import (
    TREE_FANOUT,
    push_order,
    watching_hosts,
)
from bench.byte_counter import ByteCounter
from bench.output import figure, percentile
from tests.standins.caller import Caller, wait_ready
from tests.standins.config_nodes import Network, make_hosts, start_nodes, stop_nodes
from tests.standins.fleet import SAMPLE_CONFIG, Fleet
from tests.standins.memory_platform import MemoryPlatform

HOSTS = 8
ZONES = ("walvis-a", "swakop-a")  # two hosts of each zone watch, so half learn from peers
ENGINES = 4
SPREAD_SIZES = (8, 64, 512)
STORE_SIZES = (6, 64, 1100)
FULL_SIZE = 1100
FULL_ZONES = 10
TEAMS = 600
CHANGES_PER_S = 7200 / 86_400
WATCH_WAIT_S = 5.0
CALLS_PER_CHANGE = 5  # list of hosts, read and write of the object, read and write of the feed
QUIET_S = 10.0
EVERYWHERE_BOUND_S = 17.0
STREAMS = 16
CALLS = 40
REPAIR_SIZE = 256
REPAIR_DEAD = 26
REPAIR_RUNS = 5
ROUNDS = 5
MS_PER_S = 1000.0


def run() -> None:
    """Print all figures."""
    push_s = asyncio.run(measure_processes())
    asyncio.run(measure_spread(push_s))
    measure_store_calls()


async def measure_processes() -> float:
    """Measure with real routers and entries; return the slowest push to a router, seconds."""
    roomy = {"name": "forecast-llm", "kind": "chat", "policy": {"load_floor": 64}}
    config = {**SAMPLE_CONFIG, "services": [roomy]}
    config["teams"] = [*SAMPLE_CONFIG["teams"], *stored_teams()]
    async with Fleet(router_args=("--roster-interval-s", "3600")) as fleet:
        fleet.configure(config)
        for number in range(ENGINES):
            fleet.add_engine(f"forecast-{number}", ZONES[number % len(ZONES)])
        await fleet.add_hosts({f"host-{n}": ZONES[n % len(ZONES)] for n in range(HOSTS)})
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
        await measure_quiet(fleet)
        await measure_zone_out(fleet, callers)
        return await measure_calls(fleet)


async def measure_quiet(fleet: Fleet) -> None:
    """Count the store's calls while nothing changes."""
    before = sum(fleet.store.state.calls.values())
    await asyncio.sleep(QUIET_S)
    calls = sum(fleet.store.state.calls.values()) - before
    figure(f"config_store_calls_per_s_measured_{HOSTS}", calls / QUIET_S, "1/s")


async def measure_zone_out(fleet: Fleet, callers: list[Caller]) -> None:
    """Take zones out and back under load, and time how far each change has got."""
    operator = ConfigManager(HttpPlatform(fleet.store.url), PeerConfigClient(), SystemClock(), 1)
    began: dict[str, float] = {}
    for engine in fleet.engines.values():
        note_begins(engine.state, began)
    load = [asyncio.ensure_future(keep_sending(callers, n)) for n in range(STREAMS)]
    everywhere, last_work, written = [], [], []
    stored_at = note_writes(fleet.store.state)
    for turn in range(ROUNDS * len(ZONES)):
        zone = ZONES[turn % len(ZONES)]
        for change in (TakeOut(ObjectKind.ZONE, zone), BringBack(ObjectKind.ZONE, zone)):
            started = monotonic()
            accepted = await operator.submit((change,), "bench")
            written.append(monotonic() - started)
            accepted_at = stored_at[CONFIG_OBJECT]
            rollout = (await operator.wait(accepted.ok.version, EVERYWHERE_BOUND_S)).ok
            if rollout.lagging:
                raise RuntimeError(f"not in force everywhere: {rollout.lagging}")
            everywhere.append(monotonic() - accepted_at)
            if isinstance(change, TakeOut):
                await asyncio.sleep(1.0)
                at_zone = range(ZONES.index(zone), ENGINES, len(ZONES))
                last = max(began[f"forecast-{number}"] for number in at_zone)
                last_work.append(max(0.0, last - accepted_at))
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)
    figure("config_write_ms_p50", percentile(written, 0.5) * MS_PER_S, "ms")
    figure("config_everywhere_s", max(everywhere), "s")
    figure("config_everywhere_s_p50", percentile(everywhere, 0.5), "s")
    figure("zone_out_last_new_work_s", max(last_work), "s")


def note_writes(state) -> dict[str, float]:
    """Have `state` note when it last took a write of each object; return the notes."""
    original = state.put
    stored_at: dict[str, float] = {}

    def put(name: str, value: bytes) -> int:
        stored_at[name] = monotonic()
        return original(name, value)

    state.put = put
    return stored_at


def note_begins(state, began: dict[str, float]) -> None:
    """Have `state` note in `began` when its engine last got new work."""
    original = state.count_request
    began[state.name] = 0.0

    def begin(now: float) -> None:
        began[state.name] = monotonic()
        original(now)

    state.count_request = begin


async def keep_sending(callers: list[Caller], number: int) -> None:
    """Send chats one after the other through all entries."""
    turn = 0
    while True:
        await callers[turn % len(callers)].chat(f"chat-{number}-{turn}", "turn", 4)
        turn += 1


async def measure_calls(fleet: Fleet) -> float:
    """Measure calls to a router; print their bytes on the wire and return the slowest push."""
    host = next(iter(fleet.hosts.values()))
    link = PeerConfigClient()
    async with ByteCounter(host.router.address) as counter:
        push = ConfigPush("bench", 1, diff(full_config(1), team_change(full_config(1), 0)))
        times = []
        for _ in range(CALLS):
            started = monotonic()
            await link.push_config(counter.address, push)
            times.append(monotonic() - started)
        push_bytes = counter.take() / CALLS
        for _ in range(CALLS):
            await link.get_config(counter.address, GetConfigRequest(10**6))
        pull_bytes = counter.take() / CALLS
    figure("config_push_wire_bytes", push_bytes, "B")
    figure("config_pull_wire_bytes", pull_bytes, "B")
    figure("config_push_ms_worst", max(times) * MS_PER_S, "ms")
    per_change = (TREE_FANOUT_MEAN + 1) * push_bytes * 2
    total = CHANGES_PER_S * per_change + 2 * pull_bytes / PULL_INTERVAL_S
    figure("config_bytes_per_s_node", total, "B/s")
    figure("config_bytes_per_s_watching_node", total + await watch_bytes(), "B/s")
    return max(times)


TREE_FANOUT_MEAN = 1.0  # each host has one parent in the tree, so the mean of children is one


async def watch_bytes() -> float:
    """Return what a watching host reads from the store, in bytes a second, without headers."""
    platform = MemoryPlatform()
    platform.put(CONFIG_OBJECT, dump_stored(full_config(1), ()))
    writer = ConfigWriter(platform, ManualClock(), WriterCfg(seed=1))
    for number in range(20):
        change = SetFields(ObjectKind.TEAM, f"team-{number}", {"weight": 2.0})
        await writer.submit((change,), "bench")
    feed = len(platform.objects[FEED_OBJECT].value)
    figure("config_feed_bytes", feed, "B")
    figure("config_whole_stored_bytes", len(platform.objects[CONFIG_OBJECT].value), "B")
    return CHANGES_PER_S * feed


async def measure_spread(push_s: float) -> None:
    """Measure the spread of a change by the real decisions, in one process."""
    for size in SPREAD_SIZES:
        net, platform = Network(), MemoryPlatform()
        hosts = make_hosts(size, min(size // 2, FULL_ZONES))
        nodes = await start_nodes(net, platform, hosts)
        base = full_config(1)
        platform.put(CONFIG_OBJECT, dump_stored(base, ()))
        for node in nodes:
            await node.bootstrapper.try_once()
        await net.settle()
        net.calls.clear()
        net.sent_bytes.clear()
        for node in nodes:
            node.hop = 10**6
        writer = ConfigWriter(platform, ManualClock(), WriterCfg(seed=1))
        await writer.submit((SetFields(ObjectKind.TEAM, "team-1", {"weight": 2.0}),), "bench")
        watching = [n for n in nodes if n.host.name in watching_hosts(hosts)]
        for node in watching:
            node.hop = 0
        await asyncio.gather(*(node.watcher.watch_once() for node in watching))
        await net.settle()
        if await net.versions() != {2}:
            raise RuntimeError(f"{size} hosts: versions {await net.versions()} in force")
        figure(f"config_hops_{size}", max(node.hop for node in nodes), "hops")
        figure(f"config_pushes_per_host_{size}", net.calls["push"] / size, "pushes")
        await stop_nodes(net)
    await measure_repair()
    hops = tree_depth(FULL_SIZE)
    figure(f"config_tree_depth_{FULL_SIZE}", hops, "hops")
    figure(f"config_spread_s_extrapolated_{FULL_SIZE}", hops * (TREE_FANOUT + 1) * push_s, "s")
    measure_updates()


async def measure_repair() -> None:
    """Count the rounds of pulls until all live hosts have a change that the tree failed to carry.

    A share of the hosts is dead and still listed, so whole branches of the tree are cut.
    """
    missed, rounds = [], []
    for seed in range(REPAIR_RUNS):
        net, platform = Network(), MemoryPlatform()
        hosts = make_hosts(REPAIR_SIZE, FULL_ZONES)
        nodes = await start_nodes(net, platform, hosts)
        platform.put(CONFIG_OBJECT, dump_stored(full_config(1), ()))
        for node in nodes:
            await node.bootstrapper.try_once()
        await net.settle()
        net.down.update(Random(seed).sample([h.name for h in hosts], REPAIR_DEAD))
        writer = ConfigWriter(platform, ManualClock(), WriterCfg(seed=1))
        await writer.submit((SetFields(ObjectKind.TEAM, "team-1", {"weight": 2.0}),), "bench")
        watching = [n for n in net.running() if n.host.name in watching_hosts(hosts)]
        await asyncio.gather(*(node.watcher.watch_once() for node in watching))
        await net.settle()
        late = [n for n in net.running() if n.applied[-1] < 2]
        missed.append(len(late) / REPAIR_SIZE)
        count = 0
        while await net.versions() != {2}:
            await net.pull_round()
            count += 1
        rounds.append(count)
        await stop_nodes(net)
    figure(f"config_missed_by_pushes_share_{REPAIR_SIZE}_dead_{REPAIR_DEAD}", max(missed), "share")
    figure(f"config_pull_rounds_{REPAIR_SIZE}_dead_{REPAIR_DEAD}", max(rounds), "rounds")


def tree_depth(size: int) -> int:
    """Return the hops from the watching hosts to the last host of the tree."""
    hosts = make_hosts(size, FULL_ZONES)
    reached = len(watching_hosts(hosts))
    level, depth = reached, 0
    while reached < len(push_order(1, hosts)):
        level *= TREE_FANOUT
        reached += level
        depth += 1
    return depth


def measure_updates() -> None:
    """Compare what an entry gets for one change: the difference or the whole."""
    old = full_config(1)
    new = team_change(old, 3)
    figure("config_update_whole_bytes", len(encode(new)), "B")
    figure("config_update_delta_bytes", len(encode(diff(old, new))), "B")


def measure_store_calls() -> None:
    """Work out the store's calls a second from the hosts that watch."""
    for size in STORE_SIZES:
        zones = 4 if size < 64 else FULL_ZONES
        watching = len(watching_hosts(make_hosts(size, zones)))
        quiet = watching * 2 / WATCH_WAIT_S
        changes = CHANGES_PER_S * (watching * 2 + CALLS_PER_CHANGE)
        figure(f"config_store_calls_per_s_{size}", quiet + changes, "1/s")
        figure(f"config_store_waiting_watches_{size}", watching, "calls")


def full_config(version: int) -> ConfigSet:
    """Return a configuration of the size to design for."""
    teams = {
        f"team-{n}": Team(f"team-{n}", f"{n:064x}", services=("model-0", "model-1"))
        for n in range(TEAMS)
    }
    services = {f"model-{n}": Service(f"model-{n}", ServiceKind.CHAT) for n in range(7)}
    zones = {f"zone-{n}": AvailabilityZone(f"zone-{n}") for n in range(FULL_ZONES)}
    return ConfigSet(version, teams, services, zones)


def stored_teams() -> list[dict]:
    """Return further teams as stored."""
    return [{"name": f"team-{n}", "token_sha256": f"{n:064x}"} for n in range(TEAMS)]


def team_change(config: ConfigSet, number: int) -> ConfigSet:
    """Return the next version, with one team changed."""
    change = SetFields(ObjectKind.TEAM, f"team-{number}", {"weight": 3.0})
    new = apply_changes(config, (change,)).ok
    return ConfigSet(config.version + 1, new.teams, new.services, new.zones, new.targets)
