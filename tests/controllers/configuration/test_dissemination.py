"""Dissemination of configuration versions among routers, under faults."""

import asyncio
from dataclasses import replace

import pytest

from almondspindle.adapters.platform.stored_config import CONFIG_OBJECT, FEED_OBJECT, dump_stored
from almondspindle.controllers.configuration.follower import ConfigFollower
from almondspindle.controllers.configuration.messages import (
    ApplyDelta,
    ConfigReceived,
    DeltaOutcome,
    EntrySubscribed,
    EntryUnsubscribed,
    GetConfig,
    GetHostStatus,
    PeerVersion,
)
from almondspindle.controllers.configuration.rollout import RolloutWaiter
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.configuration.writer import ConfigWriter, WriterCfg
from almondspindle.core.changes import BringBack, CreateObject, ObjectKind, TakeOut
from almondspindle.core.clock import ManualClock, SystemClock
from almondspindle.core.config import AvailabilityZone, ConfigSet, Intent
from almondspindle.core.config_messages import ConfigPush
from almondspindle.decisions.configuration.delta import diff
from almondspindle.decisions.configuration.dissemination import is_watching, push_order, push_peers
from tests.standins.config_nodes import (
    MemoryLink,
    Network,
    Node,
    make_hosts,
    start_nodes,
    stop_nodes,
)
from tests.standins.memory_platform import MemoryPlatform

PULL_ROUNDS = 3  # in 17 s, with at most 6 s between pulls
OUT = TakeOut(ObjectKind.ZONE, "swakop-a")
BACK = BringBack(ObjectKind.ZONE, "swakop-a")


def config(version: int, zones: int = 3) -> ConfigSet:
    made = {f"zone-{n}": AvailabilityZone(f"zone-{n}") for n in range(zones)}
    made["mark"] = AvailabilityZone("mark", region=f"r{version}")
    return ConfigSet(version, zones=made)


async def write(platform: MemoryPlatform, *changes) -> int:
    cfg = WriterCfg(pause_s=0.0, seed=1)
    outcome = await ConfigWriter(platform, ManualClock(), cfg).submit(changes, "op")
    return outcome.ok.version


def fleet_test(count: int, zones: int):
    """Run a check with `count` nodes that have version 1 in force."""

    def decorate(check):
        def run():
            async def body():
                net, platform = Network(), MemoryPlatform()
                hosts = make_hosts(count, zones)
                nodes = await start_nodes(net, platform, hosts)
                await write(platform, CreateObject(ObjectKind.ZONE, "swakop-a"))
                for node in nodes:
                    assert await node.bootstrapper.try_once()
                await net.settle()
                net.calls.clear()
                try:
                    await check(net, platform, nodes, hosts)
                finally:
                    await stop_nodes(net)

            asyncio.run(body())

        run.__name__ = check.__name__
        return run

    return decorate


async def watch_all(nodes: list[Node]) -> None:
    """Have the watching hosts read the latest changes from the store."""
    watching = [node for node in nodes if node.watcher._watching.is_set()]
    await asyncio.gather(*(node.watcher.watch_once() for node in watching))


@fleet_test(60, 3)
async def test_pushes_alone_propagate_a_change_to_all_nodes(net, platform, nodes, hosts):
    version = await write(platform, OUT)
    await watch_all(nodes)
    await net.settle()
    assert await net.versions() == {version}
    assert sum(node.watcher._watching.is_set() for node in nodes) == 6
    assert platform.calls["watch"] == 6


@fleet_test(60, 3)
async def test_pulls_propagate_a_change_past_dead_hosts_and_partitions(net, platform, nodes, hosts):
    net.down.update(host.name for host in push_order(2, hosts)[6:18])  # inner nodes of the tree
    for near in hosts:
        for far in hosts:
            if near.zone == "z0" and far.zone == "z1":
                net.cut_links.add(frozenset({near.name, far.name}))
    version = await write(platform, OUT)
    await watch_all([node for node in net.running() if node.host.zone == "z0"])
    await net.settle()
    for _ in range(PULL_ROUNDS * 2):
        await net.pull_round()
    assert await net.versions() == {version}


@fleet_test(40, 2)
async def test_a_large_change_is_pulled_after_its_version_is_pushed(net, platform, nodes, hosts):
    changes = [CreateObject(ObjectKind.ZONE, f"zone-{n}") for n in range(100)]
    version = await write(platform, *changes)
    await watch_all(nodes)
    await net.settle()
    assert await net.versions() == {version}
    assert net.calls["response"] >= 30


@fleet_test(12, 3)
async def test_a_host_without_the_store_receives_changes_from_peers(net, platform, nodes, hosts):
    cut_off = next(node for node in nodes if node.watcher._watching.is_set())
    cut_off.watcher._platform = MemoryPlatform()
    cut_off.watcher._platform.faults.down = True
    assert not await cut_off.watcher.watch_once()
    version = await write(platform, OUT)
    await watch_all([node for node in nodes if node is not cut_off])
    await net.settle()
    assert await net.versions() == {version}


@fleet_test(12, 3)
async def test_another_host_watches_after_a_watching_host_left(net, platform, nodes, hosts):
    first = next(node for node in nodes if node.watcher._watching.is_set())
    net.down.add(first.host.name)
    left = [host for host in hosts if host is not first.host]
    for node in net.running():
        node.set_hosts(left)
        await node.dissemination.request(GetHostStatus())
    watching = [n for n in net.running() if n.watcher._watching.is_set()]
    assert sum(node.host.zone == first.host.zone for node in watching) == 2


@fleet_test(6, 2)
async def test_a_version_reported_during_a_pull_is_pulled_next(net, platform, nodes, hosts):
    newest = config(9)
    net.drop_pushes = True
    nodes[0].configuration.send(ConfigReceived(newest))
    await net.settle()
    nodes[1].dissemination.send(PeerVersion("h2", 8))  # stale; the pull finds no update
    nodes[1].dissemination.send(PeerVersion("h0", 9))
    await net.settle()
    assert (await nodes[1].configuration.request(GetConfig())) == newest


@fleet_test(10, 2)
async def test_a_restart_without_the_store_uses_the_highest_peer(net, platform, nodes, hosts):
    version = await write(platform, OUT)
    platform.faults.down = True
    net.drop_pushes = True
    await nodes[3].bootstrapper.try_once()  # this peer remains stale
    fresh = config(version)
    for node in nodes[5:7]:
        node.configuration.send(ConfigReceived(fresh))
        await node.configuration.request(GetConfig())
    await net.settle()
    for seeds, view in (((), hosts), (("h1", "h5"), [])):
        again = Node(net, replace(hosts[9], name="again", address="again"), platform, seeds)
        again.start()
        again.set_hosts(view)
        assert await again.bootstrapper.try_once()
        assert again.applied[-1] == version
        await again.tasks.cancel_all()


def test_nothing_is_in_force_after_a_start_without_store_and_peers():
    async def check():
        net, platform = Network(), MemoryPlatform()
        platform.faults.down = True
        node = Node(net, make_hosts(1, 1)[0], platform)
        node.start()
        assert not await node.bootstrapper.try_once()
        platform.faults.down = False
        platform.put(CONFIG_OBJECT, dump_stored(config(4), ()))
        assert await node.bootstrapper.try_once()
        assert node.applied[-1] == 4
        await stop_nodes(net)

    asyncio.run(check())


async def write_lower_version(platform, node):
    platform.put(CONFIG_OBJECT, dump_stored(config(2), ()), version=1)


async def delete_config(platform, node):
    await platform.delete(CONFIG_OBJECT, 0)
    await platform.delete(FEED_OBJECT, 0)


async def write_invalid_config(platform, node):
    platform.put(CONFIG_OBJECT, b"{")


async def write_previous_feed(platform, node):
    feed = platform.previous[FEED_OBJECT]
    platform.put(FEED_OBJECT, feed.value)


async def write_previous_config(platform, node):
    stored = platform.previous[CONFIG_OBJECT]
    platform.put(CONFIG_OBJECT, stored.value)


async def push_old_delta(platform, node):
    await node.receiver.handle_push(ConfigPush("h1", 2, diff(config(1), config(2))))


async def read_stale_config(platform, node):
    node.configuration.send(ConfigReceived(config(1)))


REVERTING_FAULTS = [
    (write_lower_version, "store_behind"),
    (delete_config, "store_behind"),
    (write_previous_config, "store_behind"),
    (write_invalid_config, "stored_invalid"),
    (write_previous_feed, "ok"),
    (push_old_delta, "ok"),
    (read_stale_config, "ok"),
]


@pytest.mark.parametrize(("fault", "code"), REVERTING_FAULTS)
def test_the_version_in_force_never_decreases(fault, code):
    @fleet_test(2, 1)
    async def run(net, platform, nodes, hosts):
        for change in (OUT, BACK, OUT):
            version = await write(platform, change)
            await watch_all(nodes)
        node = nodes[0]
        await fault(platform, node)
        await watch_all(nodes)
        await net.settle()
        in_force = await node.configuration.request(GetConfig())
        assert (in_force.version, in_force.zone_intent("swakop-a")) == (version, Intent.OUT)
        assert node.applied == sorted(node.applied)
        writer = ConfigWriter(platform, ManualClock(), WriterCfg(attempts=3, pause_s=0.0))
        outcome = await writer.submit((BACK,), "op", in_force=version)
        assert (outcome.error.code if outcome.is_error() else "ok") == code
        if outcome.is_error():
            outcome = await writer.restore(in_force, "op")
        later = outcome.ok.version
        assert later == version + 1
        await watch_all(nodes)
        await net.settle()
        assert await net.versions() == {later}
        await watch_all(nodes)
        assert node.watcher._seen_feed_version == platform.objects[FEED_OBJECT].version

    run()


@fleet_test(2, 1)
async def test_a_divergent_history_is_replaced_by_a_full_pull(net, platform, nodes, hosts):
    net.drop_pushes = True
    lost, kept = replace(config(9, zones=5), nonce="lost"), replace(config(9), nonce="kept")
    after = replace(config(10), nonce="after")
    nodes[0].configuration.send(ConfigReceived(kept))
    nodes[0].configuration.send(ConfigReceived(after))
    nodes[1].configuration.send(ConfigReceived(lost))
    await net.settle()
    push = ConfigPush("h0", 10, diff(kept, after))
    assert (await nodes[1].receiver.handle_push(push)).version == 9
    await net.settle()
    assert await nodes[1].configuration.request(GetConfig()) == after


DELTA_CASES = [
    (0, 2, DeltaOutcome.OLD),
    (3, 3, DeltaOutcome.OLD),
    (2, 4, DeltaOutcome.GAP),
    (3, 5, DeltaOutcome.APPLIED),
]


@pytest.mark.parametrize(("base", "version", "outcome"), DELTA_CASES)
def test_a_delta_applies_only_to_its_own_base(base, version, outcome):
    @fleet_test(1, 1)
    async def run(net, platform, nodes, hosts):
        nodes[0].configuration.send(ConfigReceived(config(3)))
        delta = diff(config(base), config(version))
        assert await nodes[0].configuration.request(ApplyDelta(delta)) is outcome
        in_force = await nodes[0].configuration.request(GetConfig())
        assert in_force == config(version if outcome is DeltaOutcome.APPLIED else 3)

    run()


@fleet_test(4, 1)
async def test_a_change_missing_from_the_feed_is_detected(net, platform, nodes, hosts):
    original = platform.write

    async def stop_before_feed(name, value, expected):
        if name == FEED_OBJECT:
            raise asyncio.CancelledError
        return await original(name, value, expected)

    platform.write = stop_before_feed
    with pytest.raises(asyncio.CancelledError):
        await write(platform, OUT)
    await watch_all(nodes)
    await net.settle()
    assert await net.versions() == {2}


@fleet_test(3, 1)
async def test_an_entry_applies_and_acknowledges_versions(net, platform, nodes, hosts):
    controller = ConfigurationController(ManualClock())
    task = asyncio.ensure_future(controller.run())
    for node in nodes:
        node.dissemination.send(EntrySubscribed("entry"))
    follower = ConfigFollower(
        "entry", controller, MemoryLink(net, "entry"), lambda: "h0", lambda: asyncio.sleep(0)
    )
    base = await nodes[0].configuration.request(GetConfig())
    await follower.apply_and_acknowledge(base)
    for change in (OUT, BACK):
        await write(platform, change)
        await watch_all(nodes)
    await net.settle()
    newest = await nodes[0].configuration.request(GetConfig())
    await follower.apply_and_acknowledge(
        diff(config(2), config(3))
    )  # another base, so the entry requests its own delta
    assert await controller.request(GetConfig()) == newest
    waiter = RolloutWaiter(MemoryLink(net, "cli"), SystemClock(), 0.0)
    status = {host.name: status for host, status in await waiter.survey(hosts)}
    assert status["h0"].entries == {"entry": newest.version}
    rollout = await waiter.wait(newest.version, hosts, 0.0)
    assert [(lag.host.name, lag.reason) for lag in rollout.lagging] == [
        ("h1", "entries without it: entry"),
        ("h2", "entries without it: entry"),
    ]
    net.down.add("h2")
    nodes[1].dissemination.send(EntryUnsubscribed("entry"))
    rollout = await waiter.wait(newest.version, hosts, 0.0)
    assert [(lag.host.name, lag.reason) for lag in rollout.lagging] == [("h2", "no response")]
    task.cancel()


def test_the_push_tree_reaches_every_host():
    hosts = make_hosts(500, 10)
    reached: list[str] = []
    for host in hosts:
        reached += [peer.name for peer in push_peers(7, host.name, hosts, 0)[:-1]]
    roots = [host.name for host in hosts if is_watching(host.name, hosts)]
    assert set(reached) >= {host.name for host in hosts} - set(roots)
    assert len(roots) == 20
