"""Tests of the prober with a transport of scripted responses."""

import asyncio
from random import Random

import pytest

from almondspindle.controllers.membership.messages import (
    CheckOwnershipStatus,
    MembershipListeners,
    PlatformListRead,
)
from almondspindle.controllers.membership.prober import Prober
from almondspindle.controllers.membership.task import MembershipController
from almondspindle.core.clock import ManualClock
from almondspindle.core.members import Gossip, MemberRecord, MembershipTimings
from almondspindle.core.outcomes import Outcome, RefusalCode
from almondspindle.core.roster import Host, HostState, Roster

HOSTS = {name: Host(name, "z", f"{name}:1") for name in ("own", "a", "b", "c")}
TIMINGS = MembershipTimings(period_s=0.001)


class FakeTransport:
    """Respond to probes as scripted.

    `responders` maps a host's name to the name of the host that responds at its address, None if
    none does. The key "<name>_helped" is for the probes of that host by helpers.
    """

    def __init__(self, **responders: str | None) -> None:
        self.responders = responders
        self.probed: list[str] = []
        self.helpers: list[str] = []
        self.fetched: list[str] = []

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        self.probed.append(host.name)
        return self._respond(host.name)

    async def probe_indirectly(self, helper, gossip, host, timeout_s) -> Gossip | None:
        self.helpers.append(helper.name)
        return self._respond(f"{host.name}_helped")

    async def fetch(self, host, gossip, timeout_s) -> Gossip | None:
        self.fetched.append(host.name)
        return self._respond(host.name)

    def _respond(self, key: str) -> Gossip | None:
        name = self.responders.get(key)
        return Gossip(MemberRecord(name, "z", f"{name}:1", 1)) if name else None


async def run_prober(transport: FakeTransport, until) -> Roster:
    clock, rosters = ManualClock(), [Roster()]
    listeners = MembershipListeners(lambda roster, delta: rosters.append(roster))
    own = MemberRecord("own", "z", "own:1", 1)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    controller.send(PlatformListRead(Roster(HOSTS), clock.monotonic()))

    async def no_digests() -> tuple:
        return ()

    prober = Prober(controller, transport, transport, TIMINGS, clock, no_digests)
    tasks = [asyncio.create_task(controller.run()), asyncio.create_task(prober.run())]
    while not until(rosters[-1]):  # noqa: ASYNC110
        await asyncio.sleep(0)
    assert (await controller.request(CheckOwnershipStatus())).is_ok()
    for task in tasks:
        task.cancel()
    return rosters[-1]


def states(roster: Roster) -> dict[str, HostState]:
    return {name: host.state for name, host in roster.hosts.items()}


CASES = [
    ("no response", {"a": None, "a_helped": None}, HostState.SUSPECT),
    ("another host responds", {"a": "b", "a_helped": None}, HostState.SUSPECT),
    ("a helper gets a response", {"a": None, "a_helped": "a"}, HostState.LIVE),
]


@pytest.mark.parametrize(("case", "responders", "state"), CASES, ids=[case[0] for case in CASES])
def test_host_is_suspected_if_neither_it_nor_a_helper_responds(case, responders, state):
    transport = FakeTransport(b="b", c="c", **responders)

    def until(roster: Roster) -> bool:
        return transport.probed.count("a") >= 2 and len(transport.helpers) >= 2 * (
            responders["a"] != "a"
        )

    roster = asyncio.run(run_prober(transport, until))
    assert states(roster)["a"] is state
    assert set(transport.helpers) == {"b", "c"} and transport.fetched


async def help_for(transport: FakeTransport, name: str) -> Gossip | None:
    clock = ManualClock()
    own = MemberRecord("own", "z", "own:1", 1)
    listeners = MembershipListeners(lambda roster, delta: None)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    task = asyncio.create_task(controller.run())
    requester_gossip = Gossip(MemberRecord("b", "z", "b:1", 1))
    response = await Prober(
        controller, transport, transport, TIMINGS, clock, lambda: None
    ).probe_for_peer(requester_gossip, name, f"{name}:1")
    task.cancel()
    return response


def test_helper_ignores_the_response_of_another_host():
    assert asyncio.run(help_for(FakeTransport(a="c"), "a")) is None
    assert asyncio.run(help_for(FakeTransport(a="a"), "a")).sender.name == "a"


async def leave(transport: FakeTransport) -> Outcome[None]:
    clock = ManualClock()
    listeners = MembershipListeners(lambda roster, delta: None)
    own = MemberRecord("own", "z", "own:1", 1)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    task = asyncio.create_task(controller.run())
    controller.send(PlatformListRead(Roster(HOSTS), clock.monotonic()))
    await Prober(controller, transport, transport, TIMINGS, clock, lambda: None).announce_leaving()
    outcome = await controller.request(CheckOwnershipStatus())
    task.cancel()
    return outcome


def test_leaving_host_notifies_all_and_refuses_new_work_although_one_does_not_respond():
    transport = FakeTransport(a="a", b="b")
    assert asyncio.run(leave(transport)).error.code is RefusalCode.LEAVING
    assert sorted(transport.probed) == ["a", "b", "c"]
