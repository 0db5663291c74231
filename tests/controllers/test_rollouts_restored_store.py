"""Test roll-outs after the store came back from an older copy."""

from dataclasses import replace

import pytest

from almondspindle.controllers.rollouts.messages import (
    AdvanceRollouts,
    GetRolloutProgress,
    PeerRolloutsReported,
)
from almondspindle.controllers.view.messages import RolloutsChanged, SnapshotReceived
from almondspindle.controllers.view.task import STORE_SOURCE, ViewController
from almondspindle.core.clock import ManualClock
from almondspindle.core.inventory import Record, Snapshot, Topic
from almondspindle.core.rollouts import (
    RolloutProgress,
    RolloutRecord,
    RolloutStage,
    RolloutState,
)
from tests.controllers.test_restored_store import CFG
from tests.controllers.test_rollouts import GOOD, ORDER, make_play
from tests.standins import rollout_play
from tests.standins.revisions import at

NAME = rollout_play.SERVICE
REWRITTEN = replace(ORDER, created=90)
BEFORE = replace(ORDER, version="v0", created=0, state=RolloutState.COMPLETE)


def listed(record: RolloutRecord, era: int) -> RolloutsChanged:
    return RolloutsChanged({NAME: record}, {NAME: era})


def host_at(stage: RolloutStage):
    """Return a host's controller that another host has told of `stage`, and its play."""
    play = make_play(GOOD, hosts=1)
    (controller,) = play.hosts.values()
    controller.handle(listed(BEFORE, 1), 0.0)
    controller.handle(listed(ORDER, 1), 0.5)
    news = RolloutProgress(ORDER.key, 4.0, stage, 100)
    controller.handle(PeerRolloutsReported("h1", (news,)), 1.0)
    return controller, play


@pytest.mark.parametrize("stage", list(RolloutStage))
def test_a_lost_order_that_is_written_again_is_not_decided_a_second_time(stage):
    controller, _ = host_at(stage)
    controller.handle(listed(REWRITTEN, 2), 2.0)
    (progress,) = controller.handle(GetRolloutProgress(), 2.0)
    assert (progress.key, progress.stage, progress.age_s) == (REWRITTEN.key, stage, 5.0)


def test_the_outcome_that_the_store_lost_is_written_to_the_new_order():
    controller, _ = host_at(RolloutStage.REVERTED)
    controller.handle(listed(REWRITTEN, 2), 2.0)
    (report,) = controller.handle(AdvanceRollouts({}), 2.2)
    assert (report.key, report.state) == (REWRITTEN.key, RolloutState.REVERTED)


def test_not_all_hosts_write_a_lost_outcome_at_once():
    play = make_play(GOOD, hosts=12)
    stored = replace(ORDER, state=RolloutState.REVERTED)
    for host in play.hosts.values():
        host.handle(RolloutsChanged({NAME: ORDER}), 0.0)
        news = RolloutProgress(ORDER.key, 4.0, RolloutStage.REVERTED, 100)
        host.handle(PeerRolloutsReported("h1", (news,)), 1.0)
        host.handle(AdvanceRollouts({}), 1.2)
        host.handle(listed(stored, 1), 8.0)
        host.handle(listed(replace(stored, state=None), 2), 9.0)
    writers = [host for host in play.hosts.values() if host.handle(AdvanceRollouts({}), 9.2)]
    assert len(writers) == 1


def test_an_order_that_the_restored_store_lists_again_does_not_end_the_later_one():
    controller, play = host_at(RolloutStage.SHIFT)
    controller.handle(listed(BEFORE, 2), 2.0)
    (progress,) = controller.handle(GetRolloutProgress(), 2.0)
    assert (progress.key, progress.stage) == (ORDER.key, RolloutStage.SHIFT)
    controller.handle(listed(REWRITTEN, 2), 3.0)
    (progress,) = controller.handle(GetRolloutProgress(), 3.0)
    assert (progress.key, progress.stage) == (REWRITTEN.key, RolloutStage.SHIFT)
    assert play.rules[NAME].withdrawn == frozenset()


def test_a_second_order_of_the_same_version_is_a_new_roll_out():
    controller, _ = host_at(RolloutStage.REVERTED)
    controller.handle(listed(ORDER, 2), 2.0)
    controller.handle(listed(REWRITTEN, 2), 60.0)
    (progress,) = controller.handle(GetRolloutProgress(), 60.0)
    assert progress.stage is RolloutStage.CANARY


def test_a_lost_order_stays_in_use_until_it_could_be_written_again():
    published = []
    view = ViewController(CFG, ManualClock(), published.append)
    record = Record(NAME, at(900, 1), ORDER, b"order")
    view.handle(
        SnapshotReceived(Snapshot(Topic.ROLLOUTS, at(900, 1), (record,)), STORE_SOURCE), 1.0
    )
    view.handle(SnapshotReceived(Snapshot(Topic.ROLLOUTS, at(120, 2), ()), STORE_SOURCE), 5.0)
    assert published[-1] == listed(ORDER, 1)
