"""Faults and the random schedule of a run. A seed always gives the same schedule."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.environment import VERSIONS, SoakEnvironment
from soak.hosts import SoakHost
from soak.proxy import Proxy, ProxyMode
from soak.timed_rules import DRAIN_S

# Between the starts of two faults. Shorter than most faults, so that faults overlap.
START_GAP_RANGE_S = (0.1, 1.5)
DURATION_RANGE_S = (0.3, 3.0)
ORDER_GAP_RANGE_S = (4.5, 6.0)  # longer than a roll-out, so that they follow each other
ROLLOUT_S = 4.0
MAX_SILENCE_S = 1.8  # of a sound replica; longer than the idle time-outs of the routes
RESTORE_GAP_RANGE_S = (3.5, 6.0)  # longer than a restore, so that they follow each other
AWAY_S = 0.3  # before the store comes back from a copy
CHANGE_GAP_RANGE_S = (0.5, 2.0)  # between the ends and starts of two changes of records
TURNED_AWAY_FACTOR = 3.0  # of a fault's duration: hosts that the store refuses for long
STORE_ERROR_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault. Times are in seconds; `delay_s` counts from the previous fault."""

    kind: str
    delay_s: float
    duration_s: float
    selector: float  # selects the host or replica; 0 inclusive to 1 exclusive


@dataclass
class FaultContext:
    """The hosts and the environment that faults act on."""

    hosts: list[SoakHost]
    environment: SoakEnvironment

    def host(self, fault: Fault) -> SoakHost:
        """Return the host that the fault selects."""
        return self.hosts[int(fault.selector * len(self.hosts))]

    def replica(self, fault: Fault) -> str:
        """Return the name of the replica that the fault selects."""
        names = sorted(self.environment.replicas)
        return names[int(fault.selector * len(names))]


FaultAction = Callable[[FaultContext, Fault], Awaitable[None]]
ProxySelector = Callable[[FaultContext, Fault], Proxy]


async def _kill(context: FaultContext, fault: Fault) -> None:
    await context.host(fault).restart(signal.SIGKILL)


async def _kill_all(context: FaultContext, fault: Fault) -> None:
    await asyncio.gather(*(host.restart(signal.SIGKILL) for host in context.hosts))


async def _pause(context: FaultContext, fault: Fault) -> None:
    host = context.host(fault)
    host.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    host.send_signal(signal.SIGCONT)


async def _stop(context: FaultContext, fault: Fault) -> None:
    await context.host(fault).restart(signal.SIGTERM)


async def _reload(context: FaultContext, fault: Fault) -> None:
    context.host(fault).send_signal(signal.SIGHUP)


async def _change_manifest(context: FaultContext, fault: Fault) -> None:
    await context.environment.change_manifest()


async def _forget_store_history(context: FaultContext, fault: Fault) -> None:
    context.environment.store.forget_history()


async def _store_refuses(context: FaultContext, fault: Fault) -> None:
    await context.environment.store.fail_calls(STORE_ERROR_STATUSES[int(fault.selector * 2)])
    await asyncio.sleep(fault.duration_s)
    context.environment.store.error_status = 0


def _store_proxy(context: FaultContext, fault: Fault) -> Proxy:
    return context.host(fault).store_proxy


def _replica_proxy(context: FaultContext, fault: Fault) -> Proxy:
    return context.environment.replicas[context.replica(fault)][2]


def _with_mode(mode: ProxyMode, select_proxy: ProxySelector) -> FaultAction:
    async def action(context: FaultContext, fault: Fault) -> None:
        proxy = select_proxy(context, fault)
        proxy.mode = mode
        await asyncio.sleep(fault.duration_s)
        proxy.mode = ProxyMode.PASS

    return action


def _reset(select_proxy: ProxySelector) -> FaultAction:
    async def action(context: FaultContext, fault: Fault) -> None:
        select_proxy(context, fault).reset_all()

    return action


async def _drain(context: FaultContext, fault: Fault) -> None:
    name = context.replica(fault)
    await context.environment.register(name, "draining")
    await asyncio.sleep(fault.duration_s)
    await context.environment.register(name)


async def _fall_silent(context: FaultContext, fault: Fault) -> None:
    """Make all replicas of a service silent for a moment, as a shared cause may."""
    replicas = context.environment.replicas
    service = replicas[context.replica(fault)][0]
    silence_s = min(fault.duration_s, MAX_SILENCE_S)
    silent = [replica for name, replica, _ in replicas.values() if name == service]
    await asyncio.gather(*(replica.fall_silent(silence_s) for replica in silent))


async def _leave(context: FaultContext, fault: Fault) -> None:
    """Let a replica say in its responses that it leaves, while its record says ready."""
    name, now = context.replica(fault), context.environment.now()
    _, replica, _ = context.environment.replicas[name]
    if now < replica.leaves_at or now < replica.cold_until or context.environment.is_out(name):
        return
    duration_s = DRAIN_S + fault.duration_s
    replica.leaves_at = now + duration_s
    await asyncio.sleep(duration_s)
    replica.start_again()
    await context.environment.register(name)


async def _ask_for_pause(context: FaultContext, fault: Fault) -> None:
    _, replica, _ = context.environment.replicas[context.replica(fault)]
    replica.paused_until = context.environment.now() + fault.duration_s
    await asyncio.sleep(fault.duration_s)


async def _roll_out(context: FaultContext, fault: Fault) -> None:
    """Move a service to another version, and take the order away, at times before its end."""
    environment = context.environment
    service = environment.replicas[context.replica(fault)][0]
    version = VERSIONS[int(fault.selector * 1000) % len(VERSIONS)]
    await environment.order_rollout(service, version, ROLLOUT_S)
    await asyncio.sleep(ROLLOUT_S * fault.duration_s / DURATION_RANGE_S[1])
    await environment.withdraw_rollout(service)


async def _write_malformed_entry(context: FaultContext, fault: Fault) -> None:
    await context.environment.store.put("servers", "garbage", {"service": 7, "addr": None})


async def _restore_store(context: FaultContext, fault: Fault) -> None:
    refuses = int(fault.selector * 1000) % 2 == 0
    await context.environment.restore_store(fault.duration_s, AWAY_S, refuses)


async def _turn_away(context: FaultContext, fault: Fault) -> None:
    """Let the store refuse one host."""
    proxy = context.host(fault).store_proxy
    proxy.mode = ProxyMode.REFUSE
    proxy.reset_all()
    await asyncio.sleep(fault.duration_s * TURNED_AWAY_FACTOR)
    proxy.mode = ProxyMode.PASS


async def _join(context: FaultContext, fault: Fault) -> None:
    """Start the last host, which isn't known to the others."""
    host = context.hosts[-1]
    if host.lifetime == 0:
        await host.start()


async def _drain_by_record(context: FaultContext, fault: Fault) -> None:
    await context.environment.take_out(context.replica(fault), fault.duration_s, removes=False)


async def _remove(context: FaultContext, fault: Fault) -> None:
    await context.environment.take_out(context.replica(fault), fault.duration_s, removes=True)


async def _evacuate(context: FaultContext, fault: Fault) -> None:
    zones = context.environment.layout.zone_names
    zone = zones[int(fault.selector * len(zones))]
    await context.environment.evacuate(zone, fault.duration_s)


# No request may be lost during planned operations. Requests that an unplanned fault may have
# disturbed are exempt.
PLANNED: dict[str, FaultAction] = {
    "stop": _stop,
    "reload": _reload,
    "manifest": _change_manifest,
    "drain": _drain,
    "service pauses": _fall_silent,
    "garbage": _write_malformed_entry,
    "forget": _forget_store_history,
    "store refuses": _store_refuses,
    "store reset": _reset(_store_proxy),
    "store delayed": _with_mode(ProxyMode.DELAY, _store_proxy),
    "store silent": _with_mode(ProxyMode.DROP_BOTH, _store_proxy),
    "store one way": _with_mode(ProxyMode.DROP_DOWN, _store_proxy),
}
UNPLANNED: dict[str, FaultAction] = {
    "kill": _kill,
    "kill all": _kill_all,
    "pause": _pause,
    "replica reset": _reset(_replica_proxy),
    "replica delayed": _with_mode(ProxyMode.DELAY, _replica_proxy),
    "replica silent": _with_mode(ProxyMode.DROP_BOTH, _replica_proxy),
    "replica one way up": _with_mode(ProxyMode.DROP_UP, _replica_proxy),
    "replica one way down": _with_mode(ProxyMode.DROP_DOWN, _replica_proxy),
}
FAULT_ACTIONS = PLANNED | UNPLANNED
# What replicas tell hosts in their responses. These have a schedule of their own, so that a seed
# keeps its other faults.
ANNOUNCEMENTS: dict[str, FaultAction] = {
    "replica leaves": _leave,
    "replica asks for a pause": _ask_for_pause,
}
# The store comes back from an older copy. This has a schedule of its own, too.
RESTORES: dict[str, FaultAction] = {"store restored": _restore_store}
# What operators order. These have a schedule of their own, too.
ORDERS: dict[str, FaultAction] = {"roll-out": _roll_out}
# Hosts without a path to the store, or that start late. For layouts of several zones only.
ACCESS: dict[str, FaultAction] = {"store turns a host away": _turn_away, "host joins": _join}
# Changes of records, one at a time, that the timed rules are about. For the same layouts only.
CHANGES: dict[str, FaultAction] = {
    "replica drains by record": _drain_by_record,
    "replica is removed": _remove,
    "zone is evacuated": _evacuate,
}
ALL_ACTIONS = FAULT_ACTIONS | ANNOUNCEMENTS | ORDERS | RESTORES | ACCESS | CHANGES
# These faults run one at a time: two of them at once on one host would interfere with each other.
HOST_FAULTS = frozenset(
    {
        "kill",
        "pause",
        "stop",
        "store reset",
        "store delayed",
        "store silent",
        "store one way",
        "store turns a host away",
    }
)
REPLICA_LINK_FAULTS = frozenset(
    {
        "replica reset",
        "replica delayed",
        "replica silent",
        "replica one way up",
        "replica one way down",
    }
)
EXCLUSIVE = frozenset({"kill", "kill all", "pause", "stop", "service pauses", "host joins"})


def draw_faults(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of faults over `duration_s` seconds."""
    # 40 % of the runs have planned operations only, so that no lost request in them is exempt.
    return _draw(rng, sorted(PLANNED if rng.random() < 0.4 else FAULT_ACTIONS), duration_s)


def draw_announcements(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of announcements by replicas over `duration_s` seconds."""
    return _draw(rng, sorted(ANNOUNCEMENTS), duration_s)


def draw_orders(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of operators' orders over `duration_s` seconds."""
    faults, at = [], 0.0
    while at < duration_s:
        delay_s = rng.uniform(*ORDER_GAP_RANGE_S)
        at += delay_s
        duration = rng.uniform(*DURATION_RANGE_S)
        faults.append(Fault(rng.choice(sorted(ORDERS)), delay_s, duration, rng.random()))
    return faults


def draw_restores(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of returns of the store over `duration_s` seconds."""
    return _draw(rng, sorted(RESTORES), duration_s, RESTORE_GAP_RANGE_S)


def draw_access(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of hosts that the store refuses, and the start of the last host."""
    faults = [Fault("host joins", rng.uniform(0.0, duration_s / 2), 0.0, 0.0)]
    return faults + _draw(rng, ["store turns a host away"], duration_s / 2, RESTORE_GAP_RANGE_S)


def draw_changes(rng: random.Random, duration_s: float) -> list[Fault]:
    """Return a random schedule of changes of records. Each begins after the one before has ended.

    It has as many as fit into `duration_s` seconds if each of them takes the bound of drains.
    """
    count = max(1, int(duration_s / (DRAIN_S + CHANGE_GAP_RANGE_S[1])))
    return [
        Fault(
            rng.choice(sorted(CHANGES)),
            rng.uniform(*CHANGE_GAP_RANGE_S),
            rng.uniform(*DURATION_RANGE_S),
            rng.random(),
        )
        for _ in range(count)
    ]


def impaired_hosts(context: FaultContext, fault: Fault) -> list[SoakHost]:
    """Return the hosts that `fault` acts on, or whose path to the store it impairs."""
    if fault.kind == "kill all":
        return context.hosts
    if fault.kind == "host joins":
        return context.hosts[-1:]
    return [context.host(fault)] if fault.kind in HOST_FAULTS else []


def impaired_replicas(context: FaultContext, fault: Fault) -> list[str]:
    """Return the replicas whose links `fault` impairs."""
    return [context.replica(fault)] if fault.kind in REPLICA_LINK_FAULTS else []


def _draw(
    rng: random.Random,
    kinds: list[str],
    duration_s: float,
    gap_range_s: tuple[float, float] = START_GAP_RANGE_S,
) -> list[Fault]:
    faults, at = [], 0.0
    while at < duration_s:
        delay_s = rng.uniform(*gap_range_s)
        at += delay_s
        faults.append(
            Fault(rng.choice(kinds), delay_s, rng.uniform(*DURATION_RANGE_S), rng.random())
        )
    return faults
