"""Faults, drawn by a seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from soak.hosts import SoakHost
from soak.proxy import Mode, Proxy
from soak.world import World

GAP_S = (0.1, 1.5)  # between the starts of two faults, so that they overlap
LASTS_S = (0.3, 3.0)
STORE_STATUS = (429, 503)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to come; times in seconds."""

    kind: str
    after_s: float
    lasts_s: float
    pick: float  # which host or replica, 0 to 1


@dataclass
class Scene:
    """What faults act on."""

    hosts: list[SoakHost]
    world: World

    def host(self, fault: Fault) -> SoakHost:
        """Return the host that the fault picks."""
        return self.hosts[int(fault.pick * len(self.hosts))]

    def replica(self, fault: Fault) -> str:
        """Return the name of the replica that the fault picks."""
        names = sorted(self.world.replicas)
        return names[int(fault.pick * len(names))]


Act = Callable[[Scene, Fault], Awaitable[None]]
Link = Callable[[Scene, Fault], Proxy]


async def _kill(scene: Scene, fault: Fault) -> None:
    await scene.host(fault).restart(signal.SIGKILL)


async def _kill_all(scene: Scene, fault: Fault) -> None:
    await asyncio.gather(*(host.restart(signal.SIGKILL) for host in scene.hosts))


async def _pause(scene: Scene, fault: Fault) -> None:
    host = scene.host(fault)
    host.send(signal.SIGSTOP)
    await asyncio.sleep(fault.lasts_s)
    host.send(signal.SIGCONT)


async def _stop(scene: Scene, fault: Fault) -> None:
    await scene.host(fault).restart(signal.SIGTERM)


async def _reload(scene: Scene, fault: Fault) -> None:
    scene.host(fault).send(signal.SIGHUP)


async def _manifest(scene: Scene, fault: Fault) -> None:
    await scene.world.change_manifest()


async def _forget(scene: Scene, fault: Fault) -> None:
    scene.world.store.forget_history()


async def _store_refuses(scene: Scene, fault: Fault) -> None:
    await scene.world.store.fail_calls(STORE_STATUS[int(fault.pick * 2)])
    await asyncio.sleep(fault.lasts_s)
    scene.world.store.error_status = 0


def _store_link(scene: Scene, fault: Fault) -> Proxy:
    return scene.host(fault).store


def _replica_link(scene: Scene, fault: Fault) -> Proxy:
    return scene.world.replicas[scene.replica(fault)][2]


def _in_mode(mode: Mode, link: Link) -> Act:
    async def act(scene: Scene, fault: Fault) -> None:
        proxy = link(scene, fault)
        proxy.mode = mode
        await asyncio.sleep(fault.lasts_s)
        proxy.mode = Mode.PASS

    return act


def _reset(link: Link) -> Act:
    async def act(scene: Scene, fault: Fault) -> None:
        link(scene, fault).reset_all()

    return act


async def _drain(scene: Scene, fault: Fault) -> None:
    name = scene.replica(fault)
    await scene.world.register(name, "draining")
    await asyncio.sleep(fault.lasts_s)
    await scene.world.register(name)


async def _garbage(scene: Scene, fault: Fault) -> None:
    await scene.world.store.put("servers", "garbage", {"service": 7, "addr": None})


# Planned work excuses no request; what is unplanned excuses those that it may have disturbed.
PLANNED: dict[str, Act] = {
    "stop": _stop,
    "reload": _reload,
    "manifest": _manifest,
    "drain": _drain,
    "garbage": _garbage,
    "forget": _forget,
    "store refuses": _store_refuses,
    "store reset": _reset(_store_link),
    "store delayed": _in_mode(Mode.DELAY, _store_link),
    "store silent": _in_mode(Mode.SILENT, _store_link),
    "store one way": _in_mode(Mode.DROP_DOWN, _store_link),
}
UNPLANNED: dict[str, Act] = {
    "kill": _kill,
    "kill all": _kill_all,
    "pause": _pause,
    "replica reset": _reset(_replica_link),
    "replica delayed": _in_mode(Mode.DELAY, _replica_link),
    "replica silent": _in_mode(Mode.SILENT, _replica_link),
    "replica one way up": _in_mode(Mode.DROP_UP, _replica_link),
    "replica one way down": _in_mode(Mode.DROP_DOWN, _replica_link),
}
ACTS = PLANNED | UNPLANNED
# What two faults at once on one host would make of each other is left out.
EXCLUSIVE = frozenset({"kill", "kill all", "pause", "stop"})


def draw(rng: random.Random, for_s: float) -> list[Fault]:
    """Return the faults of a run of `for_s` seconds."""
    # Some runs have planned work only, so that what is lost in them has no excuse.
    kinds = sorted(PLANNED if rng.random() < 0.4 else ACTS)
    found, at = [], 0.0
    while at < for_s:
        after_s = rng.uniform(*GAP_S)
        at += after_s
        found.append(Fault(rng.choice(kinds), after_s, rng.uniform(*LASTS_S), rng.random()))
    return found
