"""The prober's steps with a link that answers as told."""

import asyncio
from random import Random

import pytest

from almondspindle.controllers.membership.messages import (
    CheckStanding,
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


class FakeLink:
    """Answer probes as `answers` says: the name that answers at each address, None for none."""

    def __init__(self, **answers: str | None) -> None:
        self.answers = answers
        self.probed: list[str] = []
        self.helped: list[str] = []
        self.fetched: list[str] = []

    async def probe(self, host: Host, gossip: Gossip, timeout_s: float) -> Gossip | None:
        self.probed.append(host.name)
        return self._answer(host.name)

    async def probe_for(self, helper, gossip, host, timeout_s) -> Gossip | None:
        self.helped.append(helper.name)
        return self._answer(f"{host.name}_helped")

    async def fetch(self, host, gossip, timeout_s) -> Gossip | None:
        self.fetched.append(host.name)
        return self._answer(host.name)

    def _answer(self, key: str) -> Gossip | None:
        name = self.answers.get(key)
        return Gossip(MemberRecord(name, "z", f"{name}:1", 1)) if name else None


async def run_prober(link: FakeLink, until) -> Roster:
    clock, rosters = ManualClock(), [Roster()]
    listeners = MembershipListeners(lambda roster, delta: rosters.append(roster))
    own = MemberRecord("own", "z", "own:1", 1)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    controller.send(PlatformListRead(Roster(HOSTS), clock.monotonic()))

    async def no_digests() -> tuple:
        return ()

    prober = Prober(controller, link, link, TIMINGS, clock, no_digests)
    tasks = [asyncio.create_task(controller.run()), asyncio.create_task(prober.run())]
    while not until(rosters[-1]):  # noqa: ASYNC110
        await asyncio.sleep(0)
    assert (await controller.request(CheckStanding())).is_ok()
    for task in tasks:
        task.cancel()
    return rosters[-1]


def states(roster: Roster) -> dict[str, HostState]:
    return {name: host.state for name, host in roster.hosts.items()}


CASES = [
    ("no answer", {"a": None, "a_helped": None}, HostState.SUSPECT),
    ("another host answers", {"a": "b", "a_helped": None}, HostState.SUSPECT),
    ("a helper is answered", {"a": None, "a_helped": "a"}, HostState.LIVE),
]


@pytest.mark.parametrize(("case", "answers", "state"), CASES, ids=[case[0] for case in CASES])
def test_a_host_is_suspected_when_neither_it_nor_a_helper_answers(case, answers, state):
    link = FakeLink(b="b", c="c", **answers)

    def until(roster: Roster) -> bool:
        return link.probed.count("a") >= 2 and len(link.helped) >= 2 * (answers["a"] != "a")

    roster = asyncio.run(run_prober(link, until))
    assert states(roster)["a"] is state
    assert set(link.helped) == {"b", "c"} and link.fetched


async def help_for(link: FakeLink, name: str) -> Gossip | None:
    clock = ManualClock()
    own = MemberRecord("own", "z", "own:1", 1)
    listeners = MembershipListeners(lambda roster, delta: None)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    task = asyncio.create_task(controller.run())
    asking = Gossip(MemberRecord("b", "z", "b:1", 1))
    found = await Prober(controller, link, link, TIMINGS, clock, lambda: None).probe_for_peer(
        asking, name, f"{name}:1"
    )
    task.cancel()
    return found


def test_a_helper_does_not_take_another_hosts_answer_for_the_asked_ones():
    assert asyncio.run(help_for(FakeLink(a="c"), "a")) is None
    assert asyncio.run(help_for(FakeLink(a="a"), "a")).sender.name == "a"


async def leave(link: FakeLink) -> Outcome[None]:
    clock = ManualClock()
    listeners = MembershipListeners(lambda roster, delta: None)
    own = MemberRecord("own", "z", "own:1", 1)
    controller = MembershipController(clock, own, TIMINGS, listeners, Random(1))
    task = asyncio.create_task(controller.run())
    controller.send(PlatformListRead(Roster(HOSTS), clock.monotonic()))
    await Prober(controller, link, link, TIMINGS, clock, lambda: None).announce_leaving()
    standing = await controller.request(CheckStanding())
    task.cancel()
    return standing


def test_a_leaving_host_tells_all_and_refuses_new_work_although_one_does_not_answer():
    link = FakeLink(a="a", b="b")
    assert asyncio.run(leave(link)).error.code is RefusalCode.LEAVING
    assert sorted(link.probed) == ["a", "b", "c"]
