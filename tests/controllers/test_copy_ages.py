"""The age of copies in a simulated fleet, and which hosts ask the store because of it."""

import pytest

from almondspindle.controllers.exchange.messages import GetMaxCopyAge, GetPeersAhead, GetWatchTurn
from almondspindle.core.inventory import Topic
from almondspindle.decisions.topic_watchers import watch_wait_s
from tests.standins.revisions import at
from tests.standins.simulated_fleet import SimulatedFleet, SimulatedHost

TOPIC = Topic.ROUTES
BOUND_S = 2.0  # in which a manifest is in force
WARM_UP_S = 4.0
STEP_S = 0.2


class CopyAges:
    """Hosts that watch a topic in turn, report the ages of their copies, and ask for old ones."""

    def __init__(self, count: int, zones: str) -> None:
        self.fleet = SimulatedFleet(count, zones)
        self.asked: list[SimulatedHost] = []
        self.oldest_s = 0.0
        self.revision = at(1)  # of the store
        self._watch_ends: dict[str, float] = {}

    def run(self, seconds: float) -> None:
        """Play some seconds, and keep who asked the store, and the age of the oldest copy."""
        self.asked, self.oldest_s = [], 0.0
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(STEP_S)
            for host in self.fleet.hosts:
                if host.is_up:
                    self._play(host, self.fleet.now)

    def watchers(self) -> list[SimulatedHost]:
        now = self.fleet.now
        return [h for h in self.fleet.hosts if h.exchange.handle(GetWatchTurn(TOPIC), now)]

    def _play(self, host: SimulatedHost, now: float) -> None:
        turn = host.exchange.handle(GetWatchTurn(TOPIC), now)
        end = self._watch_ends.pop(host.cfg.host, None)
        if turn is not None:
            if end is not None and now >= end:
                self._ask(host, now)
            if end is None or now >= end:
                end = now + watch_wait_s(TOPIC, turn, now)
            self._watch_ends[host.cfg.host] = end
        for source in host.exchange.handle(GetPeersAhead({TOPIC: host.routes_revision}), now):
            host.routes_revision = host.routes_changed = source.revision
        age_s = now - host.confirmed_at
        self.oldest_s = max(self.oldest_s, age_s)
        if age_s >= host.exchange.handle(GetMaxCopyAge(TOPIC), now):
            self.asked.append(host)
            self._ask(host, now)

    def _ask(self, host: SimulatedHost, now: float) -> None:
        """Get the changes since the host's copy from the store."""
        if host.routes_revision < self.revision:
            host.routes_changed = self.revision
        host.routes_revision, host.confirmed_at = self.revision, now

    def restart(self, hosts: list[SimulatedHost]) -> None:
        """Start hosts that were killed. They know nothing but the store's list."""
        for host in hosts:
            host.is_up = True
            host.routes_revision = host.routes_known_from = self.revision
            host.confirmed_at = self.fleet.now


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_no_copy_gets_old_while_watches_end_in_turn(count, zones):
    ages = CopyAges(count, zones)
    ages.run(WARM_UP_S)
    ages.run(6.0)
    assert ages.asked == []


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_no_copy_gets_too_old_after_all_watchers_are_lost(count, zones):
    ages = CopyAges(count, zones)
    ages.run(WARM_UP_S)
    for host in ages.watchers():
        host.is_up = False
    ages.run(BOUND_S)
    assert ages.oldest_s < BOUND_S
    assert 0 < len(ages.asked) <= count / 2  # most hosts learn it from those that asked


@pytest.mark.parametrize(("count", "zones"), [(8, "abcd"), (80, "abcd"), (195, "abcdef")])
def test_copies_from_before_a_list_are_not_confirmed_by_watchers_that_have_restarted(count, zones):
    """Guards against an older copy that counts as current since the last change was a removal."""
    ages = CopyAges(count, zones)
    ages.run(WARM_UP_S)
    watchers = ages.watchers()
    for host in watchers:
        host.is_up = False
    ages.revision = at(2)  # a removal, which no list shows
    ages.run(0.6)
    ages.restart(watchers)
    ages.run(BOUND_S)
    assert ages.oldest_s < BOUND_S
    assert {host.routes_revision for host in ages.fleet.hosts} == {at(2)}
    ages.run(6.0)
    assert ages.asked == []
