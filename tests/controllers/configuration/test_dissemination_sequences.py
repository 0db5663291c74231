"""Random sequences of writes, watches, pulls, partitions, outages and restarts.

After each step every node must have a configuration that was stored under that version.
"""

import asyncio
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.adapters.platform.stored_config import (
    CONFIG_OBJECT,
    FEED_OBJECT,
    parse_config,
)
from almondspindle.controllers.configuration.messages import ConfigReceived, GetConfig, StartPull
from almondspindle.controllers.configuration.writer import ConfigWriter, WriterCfg
from almondspindle.core.changes import BringBack, ChangeErrorCode, ObjectKind, TakeOut
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import ConfigPush
from almondspindle.decisions.configuration.delta import diff
from tests.standins.config_nodes import Network, Node, make_hosts, start_nodes, stop_nodes
from tests.standins.memory_platform import MemoryPlatform

NODE_COUNT = 8
RECOVERY_ROUNDS = 12
NODES = st.integers(0, NODE_COUNT - 1)
WRITE = st.tuples(st.just("write"), st.sampled_from([TakeOut, BringBack]), st.sampled_from("abc"))
WATCH = st.tuples(st.just("watch"), NODES)
STEPS = st.one_of(
    *[WRITE] * 4,  # with fewer writes and watches, sequences would produce few versions
    *[WATCH] * 3,
    st.tuples(st.just("pull"), NODES),
    st.tuples(st.just("cut_link"), NODES, NODES),
    st.tuples(st.just("restart"), NODES),
    st.tuples(st.just("set_store_down"), st.booleans()),
    st.tuples(st.just("lose_responses"), st.integers(1, 2)),
    st.tuples(st.just("drop_pushes"), st.booleans()),
    st.tuples(st.just("fail_feed"), st.booleans()),
    st.tuples(st.just("read_old_config"), NODES, st.integers(0, 99)),
    st.tuples(st.just("push_any_delta"), NODES, st.integers(0, 99), st.integers(0, 99)),
    st.tuples(st.just("restore_backup"), st.integers(0, 99)),
    st.tuples(st.just("heal")),
)


class SequenceRun:
    """The nodes and the store of one sequence. Steps are run by the method of the same name.

    `versions` maps each stored version to its configuration, `stored` to its stored object.
    """

    def __init__(self) -> None:
        self.net = Network()
        self.platform = MemoryPlatform()
        self.hosts = make_hosts(NODE_COUNT, 2)
        self.versions = {}
        self.stored = {}

    def node(self, number: int) -> Node:
        return self.net.nodes[f"h{number}"]

    async def write(self, cls, name: str) -> None:
        cfg = WriterCfg(attempts=3, pause_s=0.0, seed=1)
        writer = ConfigWriter(self.platform, ManualClock(), cfg)
        newest = await self.newest()
        change = cls(ObjectKind.TARGET, name)
        outcome = await writer.submit((change,), "op", in_force=newest.version)
        if outcome.is_error() and outcome.error.code is ChangeErrorCode.STORE_BEHIND:
            await writer.restore(newest, "op")
        self.record_stored()

    async def newest(self) -> ConfigSet:
        """Return the highest configuration in force on a node."""
        found = [await node.configuration.request(GetConfig()) for node in self.net.nodes.values()]
        return max(found, key=lambda config: config.version)

    def record_stored(self) -> None:
        stored = self.platform.objects.get(CONFIG_OBJECT)
        if stored is not None:
            config = parse_config(stored.value, stored.version).ok
            self.stored[config.version] = (stored.value, stored.version)
            self.versions[config.version] = config

    async def fail_feed(self, fail: bool) -> None:
        self.platform.faults.failing_objects = {FEED_OBJECT} if fail else set()

    async def read_old_config(self, number: int, index: int) -> None:
        """Have a node read a version that is not above the highest one in force."""
        newest = await self.newest()
        old = [config for version, config in self.versions.items() if version <= newest.version]
        if old:
            self.node(number).configuration.send(ConfigReceived(old[index % len(old)]))

    async def push_any_delta(self, number: int, base: int, index: int) -> None:
        """Push a delta between any two versions up to the highest one in force to a node."""
        newest = await self.newest()
        known = [config for version, config in self.versions.items() if version <= newest.version]
        if known:
            old, new = known[base % len(known)], known[index % len(known)]
            push = ConfigPush(f"h{base % NODE_COUNT}", new.version, diff(old, new))
            await self.node(number).receiver.handle_push(push)

    async def restore_backup(self, index: int) -> None:
        """Reset the stored configuration to an earlier one, like a restore from a backup."""
        known = sorted(self.stored)
        value, version = self.stored[known[index % len(known)]]
        self.platform.put(CONFIG_OBJECT, value, version)

    async def watch(self, number: int) -> None:
        if self.node(number).watcher._watching.is_set():
            await self.node(number).watcher.watch_once()

    async def pull(self, number: int) -> None:
        await self.node(number).dissemination.request(StartPull())

    async def cut_link(self, one: int, other: int) -> None:
        self.net.cut_links.add(frozenset({f"h{one}", f"h{other}"}))

    async def restart(self, number: int) -> None:
        old = self.node(number)
        await old.tasks.cancel_all()
        node = Node(self.net, replace(old.host), self.platform)
        node.start()
        node.set_hosts(self.hosts)
        await node.bootstrapper.try_once()

    async def set_store_down(self, down: bool) -> None:
        self.platform.faults.down = down

    async def lose_responses(self, count: int) -> None:
        self.platform.faults.lose_responses = count

    async def drop_pushes(self, drop: bool) -> None:
        self.net.drop_pushes = drop

    async def heal(self) -> None:
        self.net.cut_links.clear()
        self.net.drop_pushes = False
        self.platform.faults.down = False
        self.platform.faults.failing_objects = set()

    def current(self) -> tuple[bytes, int]:
        """Return the value and the store's version of the stored configuration."""
        stored = self.platform.objects[CONFIG_OBJECT]
        return stored.value, stored.version

    async def check(self) -> None:
        """Check that every node has a stored configuration and that its version only increased."""
        await self.net.settle()
        for node in self.net.nodes.values():
            in_force = await node.configuration.request(GetConfig())
            assert node.applied == sorted(set(node.applied))
            assert in_force.version == 0 or in_force == self.versions[in_force.version]


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=8, max_size=30))
def test_nodes_apply_only_stored_versions_and_converge(steps):
    async def body():
        run = SequenceRun()
        await start_nodes(run.net, run.platform, run.hosts)
        await run.write(TakeOut, "first")
        for node in run.net.nodes.values():
            await node.bootstrapper.try_once()
        for name, *args in steps:
            await getattr(run, name)(*args)
            await run.check()
        await run.heal()
        for number in range(NODE_COUNT):
            await run.watch(number)
        for _ in range(RECOVERY_ROUNDS):
            await run.net.pull_round()
        await run.check()
        newest = await run.newest()
        assert await run.net.versions() == {newest.version}
        assert newest.version >= parse_config(*run.current()).ok.version
        await stop_nodes(run.net)

    asyncio.run(body())
