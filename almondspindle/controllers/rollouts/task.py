"""The controller that owns this host's view of all roll-outs."""

from collections.abc import Callable, Mapping
from dataclasses import asdict
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.rollouts.messages import (
    AdvanceRollouts,
    AttemptObserved,
    ChooseVersion,
    DescribeRollouts,
    GetRolloutProgress,
    PeerRolloutsReported,
    RolloutStored,
    StatusReport,
    VersionRulesChanged,
)
from almondspindle.controllers.rollouts.rollout import Rollout
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import HostsChanged, RolloutsChanged, TargetsChanged
from almondspindle.core.clock import Clock
from almondspindle.core.events import (
    ROLLOUT_RETURNED,
    ROLLOUT_REWRITTEN,
    ROLLOUT_STAGE_REACHED,
    ROLLOUT_STARTED,
    ROLLOUT_WITHDRAWN,
)
from almondspindle.core.identifiers import ServiceName, TargetName
from almondspindle.core.logs import emit
from almondspindle.core.metrics import (
    EXPOSED,
    ROLLOUTS_COMPLETED,
    ROLLOUTS_REVERTED,
    MetricSender,
    NullMetrics,
)
from almondspindle.core.node import NodeCfg
from almondspindle.core.rollouts import (
    OUTCOMES,
    RolloutKey,
    RolloutProgress,
    RolloutRecord,
    RolloutStage,
    Tally,
    VersionChoice,
    VersionRule,
    VersionUse,
)
from almondspindle.decisions.rollout_evidence import (
    OLD_VERSIONS,
    OTHER_TARGETS,
    RouteEvidence,
    add_response,
    assess,
    bound_tallies,
    canary_share,
    counted_alone,
    duration_bucket,
    is_failure,
    is_timed,
)
from almondspindle.decisions.rollout_exposure import (
    ExposureLog,
    is_in_share,
    may_expose,
    rank_of,
    slack_share,
    sum_exposure,
    usable_slack,
)
from almondspindle.decisions.rollout_orders import OrderChange, compare_orders, replace_order
from almondspindle.decisions.rollout_stages import RolloutTimes, next_stage, shifted_share

# Old targets stop when a roll-out is complete, and leave the store's list some seconds later.
OLD_TARGETS_LISTED_S = 15.0
WRITE_RETRY_S = 1.0
WRITE_DELAY_S = 0.7  # between two hosts in rank that may write the same state
MAX_WRITE_RANK = 6
VERSION_USES = {
    RolloutStage.CANARY: VersionUse.CANARY,
    RolloutStage.SHIFT: VersionUse.SHIFT,
    RolloutStage.CLOSED: VersionUse.ONLY,
    RolloutStage.COMPLETE: VersionUse.ONLY,
    RolloutStage.REVERTED: VersionUse.NEVER,
}
STAGE_METRICS = {
    RolloutStage.COMPLETE: ROLLOUTS_COMPLETED,
    RolloutStage.REVERTED: ROLLOUTS_REVERTED,
}


class RolloutsController(Controller):
    """Own the roll-outs: their age, stage and evidence.

    `publish` gets the rules by which targets of the versions are selected.
    """

    on_exception = OnException.DROP

    def __init__(
        self,
        cfg: NodeCfg,
        clock: Clock,
        publish: Callable[[VersionRulesChanged], None],
        metrics: MetricSender | None = None,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._publish = publish
        self._metrics = metrics or NullMetrics()
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._hosts: tuple[str, ...] = (cfg.host,)
        # Targets by service and version whose responses are counted by target.
        self._counted_alone: dict[tuple[ServiceName, str], frozenset[TargetName]] = {}
        self._rules: Mapping[ServiceName, VersionRule] = {}

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `rollouts.messages`, or a change of the settings or the view."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._cfg = msg.cfg

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        self._hosts = tuple({self._cfg.host, *msg.hosts})

    @handle.register
    def _(self, msg: TargetsChanged, now: float) -> None:
        listed: dict[tuple[ServiceName, str], list[TargetName]] = {}
        for target in msg.targets.values():
            if not target.is_leaving:
                listed.setdefault((target.service, target.version), []).append(target.name)
        self._counted_alone = {key: counted_alone(key[1], names) for key, names in listed.items()}

    @handle.register
    def _(self, msg: RolloutsChanged, now: float) -> None:
        # A service has one roll-out at a time: the one that was ordered last. Revisions of an era
        # before that of the store say nothing of the order.
        ordered = sorted(
            msg.rollouts.items(), key=lambda item: (msg.eras.get(item[0], 0), item[1].created)
        )
        newest = {record.service: (name, record) for name, record in ordered}
        for service, rollout in list(self._rollouts.items()):
            if service not in newest:
                self._withdraw(service, rollout, now)
        for name, record in newest.values():
            self._take_over(name, record, msg.eras.get(name, 0), now)
        self._publish_rules(now)

    @handle.register
    def _(self, msg: RolloutStored, now: float) -> None:
        rollout = self._find(msg.record.key) if msg.record else None
        if rollout is not None and msg.record is not None:
            self._take_over(msg.name, msg.record, rollout.order.era, now)
            self._publish_rules(now)

    @handle.register
    def _(self, msg: ChooseVersion, now: float) -> VersionChoice:
        rollout = self._rollouts.get(msg.service)
        if rollout is None or rollout.is_withdrawn:
            return VersionChoice.ANY
        rollout.log.requests += 1
        if rollout.stage >= RolloutStage.COMPLETE:
            return VersionChoice.ANY
        if rollout.stage is RolloutStage.CLOSED:
            return VersionChoice.NEW
        if rollout.stage is RolloutStage.SHIFT:
            share = shifted_share(self._times(rollout, now))
            is_new = is_in_share(rollout.record.key, msg.request_key, share)
        else:
            is_new = self._may_expose(rollout, msg.request_key, now)
        return VersionChoice.NEW if is_new else VersionChoice.OLD

    @handle.register
    def _(self, msg: AttemptObserved, now: float) -> None:
        rollout = self._rollouts.get(msg.service)
        failed = is_failure(msg.report)
        if rollout is None or rollout.stage >= RolloutStage.COMPLETE or failed is None:
            return
        is_new = msg.version == rollout.record.version
        bucket = None
        if is_timed(msg.report) and not msg.is_cold:
            took_s = msg.took_s / max(1, msg.report.events)
            bucket = duration_bucket(took_s, msg.route.objective_s)
        key = (msg.route.name, self._count_as(msg) if is_new else OLD_VERSIONS)
        rollout.tallies[key] = add_response(rollout.tallies.get(key, Tally()), failed, bucket)

    @handle.register
    def _(self, msg: PeerRolloutsReported, now: float) -> None:
        for progress in msg.rollouts:
            rollout = self._find(progress.key)
            if rollout is None:
                continue
            age_s = min(max(0.0, progress.age_s), rollout.record.duration_s)
            rollout.known_at = min(rollout.known_at, now - age_s)
            if progress.requests:  # reports from other zones only have the stage
                rollout.peers[msg.source] = progress
            if progress.stage > rollout.stage and rollout.record.state not in OUTCOMES:
                self._enter(rollout, progress.stage, msg.source, now)

    @handle.register
    def _(self, msg: GetRolloutProgress, now: float) -> tuple[RolloutProgress, ...]:
        return tuple(
            RolloutProgress(
                rollout.record.key,
                now - rollout.known_at,
                rollout.stage,
                rollout.log.requests,
                rollout.log.exposed,
                (
                    bound_tallies(rollout.own_tallies())
                    if rollout.stage < RolloutStage.COMPLETE
                    else ()
                ),
            )
            for rollout in self._rollouts.values()
            if not rollout.is_withdrawn
        )

    @handle.register
    def _(self, msg: AdvanceRollouts, now: float) -> tuple[StatusReport, ...]:
        for service, rollout in self._rollouts.items():
            if rollout.is_withdrawn or rollout.stage >= RolloutStage.COMPLETE:
                continue
            peers = [tally for peer in rollout.peers.values() for tally in peer.tallies]
            rollout.assessment = assess([*rollout.own_tallies(), *peers], rollout.assessment.floors)
            times = self._times(rollout, now, self._rank(rollout))
            in_flight = msg.old_in_flight.get(service, 0)
            stage = next_stage(rollout.stage, times, rollout.assessment, in_flight)
            if stage is not rollout.stage:
                self._enter(rollout, stage, self._cfg.host, now)
        self._publish_rules(now)
        reports = (self._status_report(rollout, now) for rollout in self._rollouts.values())
        return tuple(report for report in reports if report is not None)

    @handle.register
    def _(self, msg: DescribeRollouts, now: float) -> tuple[dict[str, object], ...]:
        return tuple(
            {
                "service": rollout.record.service,
                "version": rollout.record.version,
                "state": rollout.record.state,
                "stage": rollout.stage.name.lower(),
                "withdrawn": rollout.is_withdrawn,
                "age_s": round(now - rollout.known_at, 2),
                "duration_s": rollout.record.duration_s,
                "requests": rollout.log.requests,
                "exposed": rollout.log.exposed,
                "verdict": rollout.assessment.verdict,
                "responses": rollout.assessment.responses,
                "tests": [asdict(test) for test in rollout.assessment.tests],
            }
            for rollout in self._rollouts.values()
        )

    def _count_as(self, msg: AttemptObserved) -> TargetName:
        alone = self._counted_alone.get((msg.service, msg.version), frozenset())
        return msg.target if msg.target in alone else OTHER_TARGETS

    def _find(self, key: RolloutKey) -> Rollout | None:
        rollout = self._rollouts.get(key.service)
        return rollout if rollout is not None and rollout.record.key == key else None

    def _rank(self, rollout: Rollout) -> int:
        return rank_of(rollout.record.key, self._cfg.host, self._hosts)

    def _times(self, rollout: Rollout, now: float, rank: int = 0) -> RolloutTimes:
        return RolloutTimes(
            age_s=now - rollout.known_at,
            duration_s=rollout.record.duration_s,
            stage_at_s=rollout.stage_at - rollout.known_at,
            rank=rank,
        )

    def _may_expose(self, rollout: Rollout, request_key: str, now: float) -> bool:
        key, bounds = rollout.record.key, self._cfg.bounds
        if (key.service, key.version) not in self._counted_alone:
            return False
        progress = (now - rollout.known_at) / rollout.record.duration_s
        share = canary_share(bounds.exposure_share, rollout.assessment.responses, progress)
        if not is_in_share(key, request_key, share):
            return False
        peers = [ExposureLog(p.requests, p.exposed) for p in rollout.peers.values()]
        slack = (
            usable_slack(bounds) if peers else slack_share(bounds, key, self._cfg.host, self._hosts)
        )
        if not may_expose(sum_exposure([rollout.log, *peers]), bounds, slack):
            return False
        rollout.log.exposed += 1
        self._metrics.count(EXPOSED)
        return True

    def _take_over(self, name: str, record: RolloutRecord, era: int, now: float) -> None:
        known = self._rollouts.get(record.service)
        change = compare_orders(known.order, record, era) if known else OrderChange.NEW
        if known is not None and change is OrderChange.RETURNED:
            emit(ROLLOUT_RETURNED, service=record.service, version=record.version, era=era)
            return
        if known is None or change is OrderChange.NEW:
            rollout = self._start(name, record, era, now)
        else:
            rollout = known
            if change is OrderChange.REWRITTEN:
                emit(
                    ROLLOUT_REWRITTEN,
                    service=record.service,
                    version=record.version,
                    era=era,
                    stage=rollout.stage.name.lower(),
                )
            rollout.adopt(name, record, era)
        outcome = OUTCOMES.get(record.state) if record.state else None
        if outcome is not None and outcome is not rollout.stage:
            self._enter(rollout, outcome, "store", now)

    def _start(self, name: str, record: RolloutRecord, era: int, now: float) -> Rollout:
        known = self._rollouts.get(record.service)
        order = replace_order(known.order if known else None, record, era)
        withdrawn = known.not_found_good() - {record.version} if known else frozenset()
        rollout = Rollout(name, order, now, now, withdrawn=withdrawn)
        self._rollouts[record.service] = rollout
        emit(
            ROLLOUT_STARTED,
            service=record.service,
            version=record.version,
            duration_s=record.duration_s,
            state=record.state,
        )
        return rollout

    def _withdraw(self, service: ServiceName, rollout: Rollout, now: float) -> None:
        if rollout.stage >= RolloutStage.COMPLETE:
            del self._rollouts[service]
        elif not rollout.is_withdrawn:
            rollout.is_withdrawn = True
            emit(ROLLOUT_WITHDRAWN, service=service, version=rollout.record.version)

    def _enter(self, rollout: Rollout, stage: RolloutStage, source: str, now: float) -> None:
        rollout.stage, rollout.stage_at = stage, now
        metric = STAGE_METRICS.get(stage)
        if metric is not None:
            self._metrics.count(metric)
        emit(
            ROLLOUT_STAGE_REACHED,
            service=rollout.record.service,
            version=rollout.record.version,
            stage=stage.name.lower(),
            source=source,
            age_s=round(now - rollout.known_at, 2),
            verdict=rollout.assessment.verdict,
            responses=rollout.assessment.responses,
            evidence=_describe(rollout.assessment.decisive),
        )

    def _publish_rules(self, now: float) -> None:
        rules = {
            service: rule
            for service, rollout in self._rollouts.items()
            if (rule := self._rule(rollout, now)) is not None
        }
        if rules != self._rules:
            self._rules = rules
            self._publish(VersionRulesChanged(rules))

    def _rule(self, rollout: Rollout, now: float) -> VersionRule | None:
        is_over = rollout.stage is RolloutStage.COMPLETE
        if is_over and now - rollout.stage_at > OLD_TARGETS_LISTED_S:
            return None
        use = VersionUse.SPARE if rollout.is_withdrawn else VERSION_USES[rollout.stage]
        share = self._cfg.bounds.exposure_share
        return VersionRule(rollout.record.version, use, share, rollout.withdrawn)

    def _status_report(self, rollout: Rollout, now: float) -> StatusReport | None:
        wanted = rollout.wanted_state()
        if rollout.is_withdrawn or rollout.record.state in (wanted, *OUTCOMES):
            return None
        if rollout.pending is not wanted:
            rank = min(self._rank(rollout), MAX_WRITE_RANK)
            rollout.pending, rollout.write_at = wanted, now + WRITE_DELAY_S * rank
        if now < rollout.write_at:
            return None
        rollout.write_at = now + WRITE_RETRY_S
        return StatusReport(rollout.name, rollout.record.key, wanted)


def _describe(test: RouteEvidence | None) -> str:
    if test is None:
        return ""
    scope = test.route or "all routes"
    return f"{test.bad} of {test.responses} {test.measure} on {scope}, ratio {test.ratio:.1f}"
