"""Tests of the directory: incremental updates against a directory with only the last state."""

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import (
    ConfigChanged,
    RankTargets,
    RosterChanged,
    SubscribeOwned,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import (
    AvailabilityZone,
    ConfigSet,
    Intent,
    Service,
    ServiceKind,
    TargetOverride,
)
from almondspindle.core.outcomes import RefusalCode
from almondspindle.core.roster import Host, HostState, Roster, Target, TargetState

ZONES = ["za", "zb", "south"]
SERVICES = {name: Service(name, ServiceKind.CHAT) for name in ("llm", "draft")}


def config(version: int, out: frozenset[str]) -> ConfigSet:
    zones = {
        name: AvailabilityZone(
            name, "s" if name == "south" else "n", Intent.OUT if name in out else Intent.IN
        )
        for name in ZONES
    }
    targets = {n: TargetOverride(n, Intent.OUT) for n in out if n.startswith("t")}
    return ConfigSet(version, services=SERVICES, zones=zones, targets=targets)


TARGETS = st.builds(
    lambda n, service, zone, state: Target(f"t{n}", service, ZONES[zone], f"127.0.0.1:{n}", state),
    st.integers(0, 12),
    st.sampled_from(sorted(SERVICES)),
    st.integers(0, 2),
    st.sampled_from(TargetState),
)
HOSTS = st.dictionaries(
    st.sampled_from(["h0", "h1", "h2"]),
    st.tuples(st.integers(0, 2), st.sampled_from([HostState.LIVE, HostState.LEAVING])),
)
ROSTERS = st.builds(
    lambda hosts, targets: Roster(
        {n: Host(n, ZONES[zone], f"ip:{n}", state) for n, (zone, state) in hosts.items()},
        {target.name: target for target in targets},
    ),
    HOSTS,
    st.lists(TARGETS, max_size=12),
)
OUT_OF_SERVICE = st.frozensets(st.sampled_from(["za", "zb", "t1", "t2", "t3"]))


def rankings(directory: DirectoryController) -> list:
    requests = [RankTargets(s, f"chat-{n}") for s in sorted(SERVICES) for n in range(5)]
    outcomes = [directory.handle(request, 0.0) for request in requests]
    return [o.error.code if o.is_error() else o.ok for o in outcomes]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.one_of(ROSTERS, OUT_OF_SERVICE), min_size=1, max_size=6))
def test_incremental_updates_equal_a_fresh_start(steps):
    owned: list = [(), ()]
    stepwise = DirectoryController(ManualClock(), "h0")
    stepwise.handle(SubscribeOwned(lambda targets: owned.__setitem__(0, targets)), 0.0)
    roster, current = Roster(), config(1, frozenset())
    stepwise.handle(ConfigChanged(current), 0.0)
    for number, step in enumerate(steps, 2):
        if isinstance(step, Roster):
            roster = step
            stepwise.handle(RosterChanged(roster), 0.0)
        else:
            current = config(number, step)
            stepwise.handle(ConfigChanged(current), 0.0)
    fresh = DirectoryController(ManualClock(), "h0")
    fresh.handle(SubscribeOwned(lambda targets: owned.__setitem__(1, targets)), 0.0)
    fresh.handle(ConfigChanged(current), 0.0)
    fresh.handle(RosterChanged(roster), 0.0)
    assert rankings(stepwise) == rankings(fresh)
    assert [o.target for o in owned[0]] == [o.target for o in owned[1]]


def roster(*hosts: str, targets: int = 4, state: HostState = HostState.LIVE) -> Roster:
    host_entries = {
        n: Host(n, "za", f"ip:{n}", state if n != "h0" else HostState.LIVE) for n in hosts
    }
    names = [f"t{n}" for n in range(targets)]
    return Roster(host_entries, {n: Target(n, "llm", "za", f"ip:{n}") for n in names})


def test_listener_gets_previous_owners_and_which_targets_joined():
    updates: list = []
    directory = DirectoryController(ManualClock(), "h0")
    directory.handle(SubscribeOwned(updates.append), 0.0)
    directory.handle(ConfigChanged(config(1, frozenset())), 0.0)
    directory.handle(RosterChanged(roster("h0", "h1")), 0.0)
    assert updates[-1]
    assert all(
        o.previous_owner.name == "h1" and o.answers_polls and not o.joined for o in updates[-1]
    )
    directory.handle(RosterChanged(roster("h0", "h1", state=HostState.LEAVING)), 0.0)
    assert len(updates[-1]) == 4
    assert all(o.previous_owner is None for o in updates[-1])
    directory.handle(RosterChanged(roster("h0", targets=5)), 0.0)
    assert [o.target.name for o in updates[-1] if o.joined] == ["t4"]
    directory.handle(ConfigChanged(config(2, frozenset({"t1"}))), 0.0)
    assert "t1" not in [o.target.name for o in updates[-1]]
    directory.handle(ConfigChanged(config(3, frozenset())), 0.0)
    assert [o.target.name for o in updates[-1] if o.joined] == ["t1"]


def test_service_without_targets_is_refused_with_a_retry_time():
    directory = DirectoryController(ManualClock(), "h0")
    refusal = directory.handle(RankTargets("llm", "k"), 0.0).error
    assert (refusal.code, refusal.retry_after_s) == (RefusalCode.NO_TARGET, 1.0)
