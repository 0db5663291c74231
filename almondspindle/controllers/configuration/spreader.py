"""The controller that disseminates versions to peers and tracks which ones entries have."""

from asyncio import Queue
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from random import Random
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.configuration.messages import (
    ConfigInForce,
    EntryAcked,
    EntryJoined,
    EntryLeft,
    FindNewer,
    GetHostStatus,
    HostsRead,
    PeerVersion,
    PullDue,
    PullEnded,
    SamplePeers,
)
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import (
    ConfigPush,
    ConfigResponse,
    ConfigUpToDate,
    GetConfigRequest,
    HostStatus,
)
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.roster import Host
from almondspindle.decisions.configuration.delta import count_changed_objects, diff
from almondspindle.decisions.configuration.dissemination import (
    REACHABLE_STATES,
    is_watching,
    push_peers,
)

KEPT_VERSIONS = 16  # recent configurations that can serve as the base of a delta
PUSHED_OBJECTS = 40  # of a larger delta only the version is pushed; peers pull the rest
PULL_INTERVAL_S = 5.0
PULL_TRIES = 3  # peers queried per interval, until one of them responds
PULL_JITTER = 0.2  # fraction of the interval


@dataclass(frozen=True, slots=True)
class SpreadCfg:
    """Settings of the dissemination.

    `seeds` are the addresses to query while no peer is known. `seed` initializes the random
    numbers; None stands for a random seed.
    """

    host: HostName
    zone: ZoneName
    seeds: tuple[str, ...] = ()
    seed: int | None = None


@dataclass(frozen=True, slots=True)
class PushJob:
    """Push a version to the peer at `address`."""

    address: str
    push: ConfigPush


@dataclass(frozen=True, slots=True)
class PullJob:
    """Pull a newer version from the peer at `address`."""

    address: str
    req: GetConfigRequest


Job = PushJob | PullJob


class SpreadController(Controller):
    """Own the recent configurations, the known hosts and the acknowledgements of entries.

    The controller makes no calls itself. It queues them in `jobs` for the task that owns the
    connections to peers. `on_role` is called with whether this host watches the store.
    """

    def __init__(
        self, clock: Clock, cfg: SpreadCfg, on_role: Callable[[bool], None] = lambda watching: None
    ) -> None:
        super().__init__(clock)
        self.jobs: Queue[Job] = Queue()
        self._cfg = cfg
        self._on_role = on_role
        self._random = Random(cfg.seed)
        self._config = ConfigSet()
        self._kept: OrderedDict[int, ConfigSet] = OrderedDict()
        self._hosts: tuple[Host, ...] = ()
        self._pulling = False
        self._tries_left = 0
        self._wanted: tuple[int, str] = (0, "")
        self._entries: dict[HostName, int] = {}
        self._streams: dict[HostName, int] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: HostsRead, now: float) -> None:
        if msg.hosts == self._hosts:
            return
        self._hosts = msg.hosts
        self._on_role(is_watching(self._cfg.host, msg.hosts))

    @handle.register
    def _(self, msg: ConfigInForce, now: float) -> None:
        old = self._config
        self._config = msg.config
        self._kept[msg.config.version] = msg.config
        while len(self._kept) > KEPT_VERSIONS:
            self._kept.popitem(last=False)
        if old.version > 0:
            self._push(old)

    @handle.register
    def _(self, msg: PeerVersion, now: float) -> None:
        if msg.version <= self._config.version:
            return
        for host in self._hosts:
            if host.name == msg.host:
                self._wanted = max(self._wanted, (msg.version, host.address))
                self._pull(host.address)

    @handle.register
    def _(self, msg: PullDue, now: float) -> float:
        self._tries_left = PULL_TRIES
        self._pull_from_any()
        return PULL_INTERVAL_S * self._random.uniform(1.0 - PULL_JITTER, 1.0 + PULL_JITTER)

    @handle.register
    def _(self, msg: PullEnded, now: float) -> None:
        self._pulling = False
        version, address = self._wanted
        self._wanted = (0, "")
        if version > self._config.version:
            self._pull(address)
        elif not msg.answered:
            self._pull_from_any()

    @handle.register
    def _(self, msg: FindNewer, now: float) -> ConfigResponse:
        if msg.have >= self._config.version:
            return ConfigUpToDate(self._config.version)
        base = self._kept.get(msg.have)
        if base is None or base.nonce != msg.nonce:
            return self._config
        return diff(base, self._config)

    @handle.register
    def _(self, msg: EntryJoined, now: float) -> None:
        self._streams[msg.entry] = self._streams.get(msg.entry, 0) + 1
        self._entries.setdefault(msg.entry, 0)

    @handle.register
    def _(self, msg: EntryLeft, now: float) -> None:
        self._streams[msg.entry] -= 1
        if self._streams[msg.entry] == 0:
            del self._streams[msg.entry]
            del self._entries[msg.entry]

    @handle.register
    def _(self, msg: EntryAcked, now: float) -> None:
        if msg.entry in self._entries:
            self._entries[msg.entry] = max(self._entries[msg.entry], msg.version)

    @handle.register
    def _(self, msg: GetHostStatus, now: float) -> HostStatus:
        entries = {str(name): version for name, version in self._entries.items()}
        return HostStatus(self._cfg.host, self._cfg.zone, self._config.version, entries)

    @handle.register
    def _(self, msg: SamplePeers, now: float) -> list[str]:
        return self._sample(msg.count)

    def _sample(self, count: int) -> list[str]:
        peers = [
            host.address
            for host in self._hosts
            if host.name != self._cfg.host and host.state in REACHABLE_STATES
        ]
        addresses = peers or list(self._cfg.seeds)
        return self._random.sample(addresses, min(count, len(addresses)))

    def _pull_from_any(self) -> None:
        if self._tries_left == 0:
            return
        self._tries_left -= 1
        for address in self._sample(1):
            self._pull(address)

    def _pull(self, address: str) -> None:
        if not self._pulling:
            self._pulling = True
            self.jobs.put_nowait(
                PullJob(address, GetConfigRequest(self._config.version, self._config.nonce))
            )

    def _push(self, old: ConfigSet) -> None:
        version = self._config.version
        delta = diff(old, self._config)
        pushed_delta = delta if count_changed_objects(delta) <= PUSHED_OBJECTS else None
        push = ConfigPush(self._cfg.host, version, pushed_delta)
        pick = self._random.randrange(2**32)
        for host in push_peers(version, self._cfg.host, self._hosts, pick):
            self.jobs.put_nowait(PushJob(host.address, push))
