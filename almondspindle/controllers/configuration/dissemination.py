"""The controller that disseminates versions to peers and tracks the version of each entry."""

from asyncio import Queue
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from random import Random
from typing import Any

from almondspindle.controllers.base import Controller
from almondspindle.controllers.configuration.messages import (
    ConfigApplied,
    EntryAcked,
    EntrySubscribed,
    EntryUnsubscribed,
    GetConfigSince,
    GetHostStatus,
    HostsUpdated,
    PeerVersion,
    PullEnded,
    SamplePeers,
    StartPull,
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

RECENT_VERSIONS = 16  # recent configurations that can serve as the base of a delta
# If a delta changes more objects than this, only the version is pushed, and peers pull the delta.
MAX_PUSHED_OBJECTS = 40
PULL_INTERVAL_S = 5.0
PULL_ATTEMPTS = 3  # maximum number of random peers per interval, until one of them responds
PULL_JITTER = 0.2  # fraction of the interval


@dataclass(frozen=True, slots=True)
class DisseminationCfg:
    """Settings of the dissemination.

    `seeds` are the addresses to query while no peer is known. `seed` is the seed of the random
    number generator; if it is None, the generator is seeded randomly.
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


class DisseminationController(Controller):
    """Own the recent configurations, the known hosts and the acknowledgements of entries.

    The controller makes no calls itself. It queues them in `jobs` for the task that owns the
    connections to peers. After each change of the hosts, `on_role_change` is called with whether
    this host watches the store.
    """

    def __init__(
        self,
        clock: Clock,
        cfg: DisseminationCfg,
        on_role_change: Callable[[bool], None] = lambda watching: None,
    ) -> None:
        super().__init__(clock)
        self.jobs: Queue[Job] = Queue()
        self._cfg = cfg
        self._on_role_change = on_role_change
        self._random = Random(cfg.seed)
        self._config = ConfigSet()
        self._recent: OrderedDict[int, ConfigSet] = OrderedDict()
        self._hosts: tuple[Host, ...] = ()
        self._is_pulling = False
        self._attempts_left = 0
        self._next_pull: tuple[int, str] = (0, "")  # version and address of the peer that has it
        self._acked_versions: dict[HostName, int] = {}
        self._subscriptions: dict[HostName, int] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from the `messages` module."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: HostsUpdated, now: float) -> None:
        if msg.hosts == self._hosts:
            return
        self._hosts = msg.hosts
        self._on_role_change(is_watching(self._cfg.host, msg.hosts))

    @handle.register
    def _(self, msg: ConfigApplied, now: float) -> None:
        old = self._config
        self._config = msg.config
        self._recent[msg.config.version] = msg.config
        while len(self._recent) > RECENT_VERSIONS:
            self._recent.popitem(last=False)
        if old.version > 0:
            self._push(old)

    @handle.register
    def _(self, msg: PeerVersion, now: float) -> None:
        if msg.version <= self._config.version:
            return
        for host in self._hosts:
            if host.name == msg.host:
                self._next_pull = max(self._next_pull, (msg.version, host.address))
                self._pull(host.address)

    @handle.register
    def _(self, msg: StartPull, now: float) -> float:
        self._attempts_left = PULL_ATTEMPTS
        self._pull_from_random_peer()
        return PULL_INTERVAL_S * self._random.uniform(1.0 - PULL_JITTER, 1.0 + PULL_JITTER)

    @handle.register
    def _(self, msg: PullEnded, now: float) -> None:
        self._is_pulling = False
        version, address = self._next_pull
        self._next_pull = (0, "")
        if version > self._config.version:
            self._pull(address)
        elif not msg.responded:
            self._pull_from_random_peer()

    @handle.register
    def _(self, msg: GetConfigSince, now: float) -> ConfigResponse:
        if msg.have >= self._config.version:
            return ConfigUpToDate(self._config.version)
        base = self._recent.get(msg.have)
        if base is None or base.nonce != msg.nonce:
            return self._config
        return diff(base, self._config)

    @handle.register
    def _(self, msg: EntrySubscribed, now: float) -> None:
        self._subscriptions[msg.entry] = self._subscriptions.get(msg.entry, 0) + 1
        self._acked_versions.setdefault(msg.entry, 0)

    @handle.register
    def _(self, msg: EntryUnsubscribed, now: float) -> None:
        self._subscriptions[msg.entry] -= 1
        if self._subscriptions[msg.entry] == 0:
            del self._subscriptions[msg.entry]
            del self._acked_versions[msg.entry]

    @handle.register
    def _(self, msg: EntryAcked, now: float) -> None:
        if msg.entry in self._acked_versions:
            self._acked_versions[msg.entry] = max(self._acked_versions[msg.entry], msg.version)

    @handle.register
    def _(self, msg: GetHostStatus, now: float) -> HostStatus:
        entries = {str(name): version for name, version in self._acked_versions.items()}
        return HostStatus(self._cfg.host, self._cfg.zone, self._config.version, entries)

    @handle.register
    def _(self, msg: SamplePeers, now: float) -> list[str]:
        return self._sample_addresses(msg.count)

    def _sample_addresses(self, count: int) -> list[str]:
        peers = [
            host.address
            for host in self._hosts
            if host.name != self._cfg.host and host.state in REACHABLE_STATES
        ]
        addresses = peers or list(self._cfg.seeds)
        return self._random.sample(addresses, min(count, len(addresses)))

    def _pull_from_random_peer(self) -> None:
        if self._attempts_left == 0:
            return
        self._attempts_left -= 1
        for address in self._sample_addresses(1):
            self._pull(address)

    def _pull(self, address: str) -> None:
        if not self._is_pulling:
            self._is_pulling = True
            self.jobs.put_nowait(
                PullJob(address, GetConfigRequest(self._config.version, self._config.nonce))
            )

    def _push(self, old: ConfigSet) -> None:
        version = self._config.version
        delta = diff(old, self._config)
        pushed_delta = delta if count_changed_objects(delta) <= MAX_PUSHED_OBJECTS else None
        push = ConfigPush(self._cfg.host, version, pushed_delta)
        random_number = self._random.randrange(2**32)
        for host in push_peers(version, self._cfg.host, self._hosts, random_number):
            self.jobs.put_nowait(PushJob(host.address, push))
