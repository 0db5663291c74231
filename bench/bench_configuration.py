"""The time until a configuration is in force on all hosts, and the cost of its dissemination."""

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
from bench.output import percentile, print_figure
from tests.standins.caller import Caller, wait_ready
from tests.standins.config_nodes import Network, make_hosts, start_nodes, stop_nodes
from tests.standins.fleet import SAMPLE_CONFIG, Fleet
from tests.standins.memory_platform import MemoryPlatform

HOSTS = 8
ZONES = (
    "walvis-a",
    "swakop-a",
)  # two hosts of each zone watch the store, so half of the hosts depend on peers
ENGINES = 4
DISSEMINATION_SIZES = (8, 64, 512)
STORE_SIZES = (6, 64, 1100)
DESIGN_SIZE = 1100
DESIGN_ZONES = 10
TEAMS = 600
CHANGES_PER_S = 7200 / 86_400
WATCH_TIMEOUT_S = 5.0
CALLS_PER_CHANGE = 5  # list of hosts, read and write of the object, read and write of the feed
IDLE_S = 10.0
ROLLOUT_TIMEOUT_S = 17.0
CONCURRENT_CHATS = 16
CALLS_PER_KIND = 40
REPAIR_SIZE = 256
REPAIR_DEAD_HOSTS = 26
REPAIR_RUNS = 5
ROUNDS_PER_ZONE = 5
MS_PER_S = 1000.0


def run() -> None:
    """Print all figures."""
    push_s = asyncio.run(measure_fleet())
    asyncio.run(measure_dissemination(push_s))
    measure_store_calls()


async def measure_fleet() -> float:
    """Measure with real routers and entries; return the slowest push to a router in seconds."""
    service = {"name": "forecast-llm", "kind": "chat", "policy": {"load_floor": 64}}
    config = {**SAMPLE_CONFIG, "services": [service]}
    config["teams"] = [*SAMPLE_CONFIG["teams"], *stored_teams()]
    async with Fleet(router_args=("--roster-interval-s", "3600")) as fleet:
        fleet.configure(config)
        for number in range(ENGINES):
            fleet.add_engine(f"forecast-{number}", ZONES[number % len(ZONES)])
        await fleet.add_hosts({f"host-{n}": ZONES[n % len(ZONES)] for n in range(HOSTS)})
        callers = [Caller(host.entry.address) for host in fleet.hosts.values()]
        for caller in callers:
            await wait_ready(caller)
        await measure_idle_store_calls(fleet)
        await measure_zone_out(fleet, callers)
        return await measure_push_and_pull(fleet)


async def measure_idle_store_calls(fleet: Fleet) -> None:
    """Print the rate of calls to the store while nothing changes."""
    before = sum(fleet.store.state.calls.values())
    await asyncio.sleep(IDLE_S)
    calls = sum(fleet.store.state.calls.values()) - before
    print_figure(f"config_store_calls_per_s_measured_{HOSTS}", calls / IDLE_S, "1/s")


async def measure_zone_out(fleet: Fleet, callers: list[Caller]) -> None:
    """Take zones out and bring them back under load; print the times of these changes.

    Raise `RuntimeError` if a change is not in force on all hosts in time.
    """
    manager = ConfigManager(HttpPlatform(fleet.store.url), PeerConfigClient(), SystemClock(), 1)
    work_started_at: dict[str, float] = {}
    for engine in fleet.engines.values():
        record_work_starts(engine.state, work_started_at)
    load = [asyncio.ensure_future(keep_sending(callers, n)) for n in range(CONCURRENT_CHATS)]
    rollout_s, last_work_s, write_s = [], [], []
    stored_at = record_writes(fleet.store.state)
    for turn in range(ROUNDS_PER_ZONE * len(ZONES)):
        zone = ZONES[turn % len(ZONES)]
        for change in (TakeOut(ObjectKind.ZONE, zone), BringBack(ObjectKind.ZONE, zone)):
            submitted_at = monotonic()
            accepted = await manager.submit((change,), "bench")
            write_s.append(monotonic() - submitted_at)
            accepted_at = stored_at[CONFIG_OBJECT]
            rollout = (await manager.wait(accepted.ok.version, ROLLOUT_TIMEOUT_S)).ok
            if rollout.lagging:
                raise RuntimeError(f"the change is not in force on all hosts: {rollout.lagging}")
            rollout_s.append(monotonic() - accepted_at)
            if isinstance(change, TakeOut):
                await asyncio.sleep(1.0)
                engines_of_zone = range(ZONES.index(zone), ENGINES, len(ZONES))
                last_start = max(work_started_at[f"forecast-{n}"] for n in engines_of_zone)
                last_work_s.append(max(0.0, last_start - accepted_at))
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)
    print_figure("config_write_ms_p50", percentile(write_s, 0.5) * MS_PER_S, "ms")
    print_figure("config_everywhere_s", max(rollout_s), "s")
    print_figure("config_everywhere_s_p50", percentile(rollout_s, 0.5), "s")
    print_figure("zone_out_last_new_work_s", max(last_work_s), "s")


def record_writes(state) -> dict[str, float]:
    """Patch `state` to record when it last stored each object; return the record."""
    original = state.put
    stored_at: dict[str, float] = {}

    def put(name: str, value: bytes) -> int:
        stored_at[name] = monotonic()
        return original(name, value)

    state.put = put
    return stored_at


def record_work_starts(state, work_started_at: dict[str, float]) -> None:
    """Patch `state` to record in `work_started_at` when its engine last received new work."""
    original = state.count_request
    work_started_at[state.name] = 0.0

    def begin(now: float) -> None:
        work_started_at[state.name] = monotonic()
        original(now)

    state.count_request = begin


async def keep_sending(callers: list[Caller], number: int) -> None:
    """Send chats one after the other, through the entries in rotation, until cancelled."""
    turn = 0
    while True:
        await callers[turn % len(callers)].chat(f"chat-{number}-{turn}", "turn", 4)
        turn += 1


async def measure_push_and_pull(fleet: Fleet) -> float:
    """Print the bytes of pushes and pulls at a router; return the slowest push in seconds."""
    host = next(iter(fleet.hosts.values()))
    client = PeerConfigClient()
    async with ByteCounter(host.router.address) as counter:
        push = ConfigPush(
            "bench", 1, diff(design_size_config(1), with_changed_team(design_size_config(1), 0))
        )
        push_times_s = []
        for _ in range(CALLS_PER_KIND):
            started_at = monotonic()
            await client.push_config(counter.address, push)
            push_times_s.append(monotonic() - started_at)
        push_bytes = counter.read_and_reset() / CALLS_PER_KIND
        for _ in range(CALLS_PER_KIND):
            await client.get_config(counter.address, GetConfigRequest(10**6))
        pull_bytes = counter.read_and_reset() / CALLS_PER_KIND
    print_figure("config_push_wire_bytes", push_bytes, "B")
    print_figure("config_pull_wire_bytes", pull_bytes, "B")
    print_figure("config_push_ms_worst", max(push_times_s) * MS_PER_S, "ms")
    bytes_per_change = (MEAN_TREE_CHILDREN + 1) * push_bytes * 2
    bytes_per_s = CHANGES_PER_S * bytes_per_change + 2 * pull_bytes / PULL_INTERVAL_S
    print_figure("config_bytes_per_s_node", bytes_per_s, "B/s")
    print_figure("config_bytes_per_s_watching_node", bytes_per_s + await watch_bytes_per_s(), "B/s")
    return max(push_times_s)


MEAN_TREE_CHILDREN = (
    1.0  # each host has one parent in the tree, so the mean number of children is 1
)


async def watch_bytes_per_s() -> float:
    """Return the bytes per second, without headers, that a watching host reads from the store."""
    platform = MemoryPlatform()
    platform.put(CONFIG_OBJECT, dump_stored(design_size_config(1), ()))
    writer = ConfigWriter(platform, ManualClock(), WriterCfg(seed=1))
    for number in range(20):
        change = SetFields(ObjectKind.TEAM, f"team-{number}", {"weight": 2.0})
        await writer.submit((change,), "bench")
    feed_bytes = len(platform.objects[FEED_OBJECT].value)
    print_figure("config_feed_bytes", feed_bytes, "B")
    print_figure("config_whole_stored_bytes", len(platform.objects[CONFIG_OBJECT].value), "B")
    return CHANGES_PER_S * feed_bytes


async def measure_dissemination(push_s: float) -> None:
    """Measure the dissemination of a change by the production code in one process.

    `push_s` is the duration of a push in seconds, from which the time at full size is extrapolated.
    """
    for size in DISSEMINATION_SIZES:
        net, platform = Network(), MemoryPlatform()
        hosts = make_hosts(size, min(size // 2, DESIGN_ZONES))
        nodes = await start_nodes(net, platform, hosts)
        base = design_size_config(1)
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
        print_figure(f"config_hops_{size}", max(node.hop for node in nodes), "hops")
        print_figure(f"config_pushes_per_host_{size}", net.calls["push"] / size, "pushes")
        await stop_nodes(net)
    await measure_repair()
    hops = tree_depth(DESIGN_SIZE)
    print_figure(f"config_tree_depth_{DESIGN_SIZE}", hops, "hops")
    print_figure(
        f"config_spread_s_extrapolated_{DESIGN_SIZE}", hops * (TREE_FANOUT + 1) * push_s, "s"
    )
    measure_updates()


async def measure_repair() -> None:
    """Print the rounds of pulls until all live hosts have a change that the tree did not deliver.

    A share of the hosts is dead but still listed, so complete branches of the tree get no push.
    """
    missed_shares, rounds = [], []
    for seed in range(REPAIR_RUNS):
        net, platform = Network(), MemoryPlatform()
        hosts = make_hosts(REPAIR_SIZE, DESIGN_ZONES)
        nodes = await start_nodes(net, platform, hosts)
        platform.put(CONFIG_OBJECT, dump_stored(design_size_config(1), ()))
        for node in nodes:
            await node.bootstrapper.try_once()
        await net.settle()
        net.down.update(Random(seed).sample([h.name for h in hosts], REPAIR_DEAD_HOSTS))
        writer = ConfigWriter(platform, ManualClock(), WriterCfg(seed=1))
        await writer.submit((SetFields(ObjectKind.TEAM, "team-1", {"weight": 2.0}),), "bench")
        watching = [n for n in net.running() if n.host.name in watching_hosts(hosts)]
        await asyncio.gather(*(node.watcher.watch_once() for node in watching))
        await net.settle()
        missed = [n for n in net.running() if n.applied[-1] < 2]
        missed_shares.append(len(missed) / REPAIR_SIZE)
        count = 0
        while await net.versions() != {2}:
            await net.pull_round()
            count += 1
        rounds.append(count)
        await stop_nodes(net)
    print_figure(
        f"config_missed_by_pushes_share_{REPAIR_SIZE}_dead_{REPAIR_DEAD_HOSTS}",
        max(missed_shares),
        "share",
    )
    print_figure(
        f"config_pull_rounds_{REPAIR_SIZE}_dead_{REPAIR_DEAD_HOSTS}", max(rounds), "rounds"
    )


def tree_depth(size: int) -> int:
    """Return the number of hops from the watching hosts to the last host of the push tree."""
    hosts = make_hosts(size, DESIGN_ZONES)
    reached = len(watching_hosts(hosts))
    level, depth = reached, 0
    while reached < len(push_order(1, hosts)):
        level *= TREE_FANOUT
        reached += level
        depth += 1
    return depth


def measure_updates() -> None:
    """Print the size of an update to an entry for one change: the delta, and the full state."""
    old = design_size_config(1)
    new = with_changed_team(old, 3)
    print_figure("config_update_whole_bytes", len(encode(new)), "B")
    print_figure("config_update_delta_bytes", len(encode(diff(old, new))), "B")


def measure_store_calls() -> None:
    """Print the calls to the store per second, calculated from the number of watching hosts."""
    for size in STORE_SIZES:
        zones = 4 if size < 64 else DESIGN_ZONES
        watching = len(watching_hosts(make_hosts(size, zones)))
        idle_rate = watching * 2 / WATCH_TIMEOUT_S
        change_rate = CHANGES_PER_S * (watching * 2 + CALLS_PER_CHANGE)
        print_figure(f"config_store_calls_per_s_{size}", idle_rate + change_rate, "1/s")
        print_figure(f"config_store_waiting_watches_{size}", watching, "calls")


def design_size_config(version: int) -> ConfigSet:
    """Return a configuration of the design size."""
    teams = {
        f"team-{n}": Team(f"team-{n}", f"{n:064x}", services=("model-0", "model-1"))
        for n in range(TEAMS)
    }
    services = {f"model-{n}": Service(f"model-{n}", ServiceKind.CHAT) for n in range(7)}
    zones = {f"zone-{n}": AvailabilityZone(f"zone-{n}") for n in range(DESIGN_ZONES)}
    return ConfigSet(version, teams, services, zones)


def stored_teams() -> list[dict]:
    """Return `TEAMS` further teams in the stored form."""
    return [{"name": f"team-{n}", "token_sha256": f"{n:064x}"} for n in range(TEAMS)]


def with_changed_team(config: ConfigSet, number: int) -> ConfigSet:
    """Return the next version of `config`, with one team changed."""
    change = SetFields(ObjectKind.TEAM, f"team-{number}", {"weight": 3.0})
    new = apply_changes(config, (change,)).ok
    return ConfigSet(config.version + 1, new.teams, new.services, new.zones, new.targets)
