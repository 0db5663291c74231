"""Tests of how the directory applies the operators' intent and the platform's list."""

from dataclasses import replace

import pytest

from almondspindle.controllers.targets.directory import DirectoryController
from almondspindle.controllers.targets.messages import (
    ConfigChanged,
    FindOwnedTarget,
    RankTargets,
    RosterChanged,
    SubscribeOwned,
    SubscribeReturned,
)
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import AvailabilityZone, ConfigSet, Intent, TargetOverride
from almondspindle.core.outcomes import RunState
from almondspindle.core.roster import Host, Roster, Target, TargetState

NOW = 1000.0
ZONES = ("walvis-a", "swakop-a")
HOSTS = {"h1": Host("h1", "walvis-a", "a:1")}
TARGETS = {f"t-{zone}": Target(f"t-{zone}", "forecast-llm", zone, "x") for zone in ZONES}


def config(version: int, out_zones=(), out_targets=()) -> ConfigSet:
    zones = {z: AvailabilityZone(z, intent=Intent.OUT) for z in out_zones}
    targets = {t: TargetOverride(t, intent=Intent.OUT) for t in out_targets}
    return ConfigSet(version, zones=zones, targets=targets)


def make_directory(cfg: ConfigSet, targets=None) -> DirectoryController:
    controller = DirectoryController(ManualClock(), "h1")
    controller.handle(RosterChanged(Roster(HOSTS, targets or TARGETS)), NOW)
    controller.handle(ConfigChanged(cfg), NOW)
    return controller


def ranked(controller: DirectoryController) -> set[str]:
    outcome = controller.handle(RankTargets("forecast-llm", "chat"), NOW)
    return {c.target for c in outcome.ok} if outcome.is_ok() else {outcome.error.code}


LEAVING = {**TARGETS, "t-swakop-a": replace(TARGETS["t-swakop-a"], state=TargetState.LEAVING)}
CASES = [
    (config(1), TARGETS, {"t-walvis-a", "t-swakop-a"}, None),
    (config(1, ["swakop-a"]), TARGETS, {"t-walvis-a"}, "zone_out"),
    (config(1, [], ["t-swakop-a"]), TARGETS, {"t-walvis-a"}, "leaving"),
    (config(1), LEAVING, {"t-walvis-a"}, "leaving"),
    (config(1, ZONES), TARGETS, {"zone_out"}, "zone_out"),
    (config(1, ["walvis-a"], ["t-swakop-a"]), TARGETS, {"zone_out"}, "leaving"),
    (config(1, [], ["t-swakop-a", "t-walvis-a"]), TARGETS, {"no_target"}, "leaving"),
    (config(0), TARGETS, {"t-walvis-a", "t-swakop-a"}, "not_ready"),
]


@pytest.mark.parametrize(("cfg", "targets", "expected", "refusal_code"), CASES)
def test_ranking_and_refusals_follow_intent(cfg, targets, expected, refusal_code):
    controller = make_directory(cfg, targets)
    assert ranked(controller) == expected
    found = controller.handle(FindOwnedTarget("t-swakop-a"), NOW)
    assert (found.error.code if found.is_error() else None) == refusal_code
    if found.is_error():
        assert found.error.run_state is RunState.NOT_RUN
    if expected == {"zone_out"}:
        error = controller.handle(RankTargets("forecast-llm", "chat"), NOW).error
        assert error.retry_after_s and "availability zones" in error.message


def test_targets_back_in_service_are_marked_as_joined():
    controller = make_directory(config(1, ["swakop-a"]))
    owned = []
    controller.handle(SubscribeOwned(owned.append), NOW)
    controller.handle(ConfigChanged(config(2)), NOW)
    assert {item.target.name: item.joined for item in owned[-1]} == {
        "t-walvis-a": False,
        "t-swakop-a": True,
    }


def test_targets_back_in_service_are_reported_once():
    controller = make_directory(config(1, ["swakop-a"]))
    reported = []
    controller.handle(SubscribeReturned(reported.append), NOW)
    controller.handle(ConfigChanged(config(2, ["swakop-a"])), NOW)
    assert reported == []
    controller.handle(ConfigChanged(config(3)), NOW)
    controller.handle(ConfigChanged(config(4)), NOW)
    assert [msg.targets for msg in reported] == [{"t-swakop-a"}]
    controller.handle(RosterChanged(Roster(HOSTS, LEAVING)), NOW)
    controller.handle(RosterChanged(Roster(HOSTS, TARGETS)), NOW)
    assert [msg.targets for msg in reported[1:]] == [{"t-swakop-a"}]
    controller.handle(ConfigChanged(config(5, ["swakop-a"])), NOW)
    controller.handle(RosterChanged(Roster(HOSTS, {"t-walvis-a": TARGETS["t-walvis-a"]})), NOW)
    controller.handle(ConfigChanged(config(6)), NOW)
    assert len(reported) == 2
