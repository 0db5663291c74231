"""Configuration controllers of several routers in one process, with links that a test can cut.

Only the sockets are replaced. Messages pass through the real codec.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from almondspindle.adapters.peer.codec import decode, encode
from almondspindle.controllers.configuration.bootstrap import ConfigBootstrapper
from almondspindle.controllers.configuration.dissemination import (
    DisseminationCfg,
    DisseminationController,
)
from almondspindle.controllers.configuration.exchange import ConfigExchange, ConfigReceiver
from almondspindle.controllers.configuration.messages import (
    ConfigApplied,
    EntryAcked,
    GetConfig,
    GetConfigSince,
    GetHostStatus,
    HostsUpdated,
    StartPull,
    SubscribeConfig,
)
from almondspindle.controllers.configuration.task import ConfigurationController
from almondspindle.controllers.configuration.watcher import ConfigWatcher
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.roster import Host
from almondspindle.utils.tasks import TaskSet
from tests.standins.memory_platform import MemoryPlatform

QUIET_TURNS = 50  # iterations of the event loop without any call between nodes


@dataclass
class Network:
    """The links between nodes.

    Hosts in `down` do not respond. Pairs of hosts in `cut_links` do not reach each other.
    """

    nodes: dict[str, "Node"] = field(default_factory=dict)
    down: set[str] = field(default_factory=set)
    cut_links: set[frozenset[str]] = field(default_factory=set)
    drop_pushes: bool = False
    calls: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)

    def find_node(self, source: str, address: str) -> "Node | None":
        """Return the node at `address`, or None when `source` does not reach it."""
        if {source, address} & self.down or frozenset({source, address}) in self.cut_links:
            return None
        return self.nodes.get(address)

    def transmit(self, source: str, kind: str, msg: object) -> object:
        """Pass `msg` through the codec and count its bytes."""
        data = encode(msg)
        self.calls[kind] += 1
        self.sent_bytes[source] += len(data)
        return decode(data)

    async def settle(self) -> None:
        """Return once the nodes have stopped calling each other."""
        quiet = 0
        while quiet < QUIET_TURNS:
            before = sum(self.calls.values())
            await asyncio.sleep(0)
            busy = before != sum(self.calls.values()) or any(n.is_busy() for n in self.running())
            quiet = 0 if busy else quiet + 1

    def running(self) -> list["Node"]:
        """Return the nodes that are not down."""
        return [node for name, node in self.nodes.items() if name not in self.down]

    async def pull_round(self) -> None:
        """Have every running node pull from one random peer."""
        for node in self.running():
            await node.dissemination.request(StartPull())
        await self.settle()

    async def versions(self) -> set[int]:
        """Return the versions in force on the running nodes."""
        return {(await node.configuration.request(GetConfig())).version for node in self.running()}


@dataclass
class MemoryLink:
    """The client of one node for all others."""

    net: Network
    source: str

    async def get_config(self, address, req):
        """Return the update from the requester's version to the peer's version."""
        node = self.net.find_node(self.source, address)
        if node is None:
            return None
        req = self.net.transmit(self.source, "get", req)
        response = await node.dissemination.request(GetConfigSince(req.have, req.nonce))
        return self.net.transmit(address, "response", response)

    async def push_config(self, address, push):
        """Push a version to a peer."""
        node = self.net.find_node(self.source, address)
        if node is None or self.net.drop_pushes:
            return None
        push = self.net.transmit(self.source, "push", push)
        node.hop = min(node.hop, self.net.nodes[self.source].hop + 1)
        return self.net.transmit(address, "note", await node.receiver.handle_push(push))

    async def ack_config(self, address, ack):
        """Acknowledge a version."""
        node = self.net.find_node(self.source, address)
        if node is not None:
            node.dissemination.send(EntryAcked(ack.subscriber, ack.version))

    async def status(self, address) -> HostStatus | None:
        """Return the status of a host."""
        node = self.net.find_node(self.source, address)
        return await node.dissemination.request(GetHostStatus()) if node else None


class Node:
    """The configuration part of one router. Its address is its name."""

    def __init__(
        self, net: Network, host: Host, platform: MemoryPlatform, seeds: tuple[str, ...] = ()
    ) -> None:
        clock = ManualClock()
        link = MemoryLink(net, host.name)
        seed = len(net.nodes)
        self.host = host
        self.hop = 10**6
        self.applied: list[int] = []
        self.configuration = ConfigurationController(clock)
        self.watcher = ConfigWatcher(platform, self.configuration, wait_s=0.02)
        self.dissemination = DisseminationController(
            clock, DisseminationCfg(host.name, host.zone, seeds, seed), self.watcher.set_watching
        )
        self.exchange = ConfigExchange(self.dissemination, self.configuration, link)
        self.receiver = ConfigReceiver(host.name, self.dissemination, self.configuration)
        self.bootstrapper = ConfigBootstrapper(
            platform, self.dissemination, self.configuration, link
        )
        self.tasks = TaskSet()
        net.nodes[host.name] = self

    def start(self) -> None:
        """Run the controllers and the exchange. Tests trigger watches and pulls themselves."""
        self.configuration.send(SubscribeConfig(self._config_applied))
        for task in (self.configuration, self.dissemination, self.exchange):
            self.tasks.start(type(task).__name__, task.run())

    def set_hosts(self, hosts: list[Host]) -> None:
        """Set the hosts that the node knows."""
        self.dissemination.send(HostsUpdated(tuple(hosts)))

    def is_busy(self) -> bool:
        """Return whether calls to peers are queued."""
        return not self.dissemination.jobs.empty()

    def _config_applied(self, config: ConfigSet) -> None:
        self.applied.append(config.version)
        self.dissemination.send(ConfigApplied(config))


def make_hosts(count: int, zones: int) -> list[Host]:
    """Return `count` live hosts, distributed evenly over `zones` zones."""
    return [Host(f"h{n}", f"z{n % zones}", f"h{n}") for n in range(count)]


async def start_nodes(net: Network, platform: MemoryPlatform, hosts: list[Host]) -> list[Node]:
    """Start a node for each host. Every node knows all hosts and has no configuration."""
    nodes = [Node(net, host, platform) for host in hosts]
    for node in nodes:
        node.start()
        node.set_hosts(hosts)
    return nodes


async def stop_nodes(net: Network) -> None:
    """Stop all nodes."""
    for node in net.nodes.values():
        await node.tasks.cancel_all()
