"""The controller that keeps requests which crash targets away from them."""

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from functools import singledispatchmethod
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.quarantine.crashes import NEWS_S, CrashTable
from almondspindle.controllers.quarantine.messages import (
    CheckRequest,
    CrashNewsReceived,
    GetCrashNews,
    RequestAttemptEnded,
)
from almondspindle.controllers.quarantine.table import Quarantine, QuarantineTable
from almondspindle.controllers.view.messages import HostsChanged, TargetsChanged
from almondspindle.core.clock import Clock
from almondspindle.core.crashes import (
    Crash,
    CrashNews,
    CrashReport,
    PartIds,
    QuarantineReport,
    TargetCrash,
)
from almondspindle.core.events import REQUEST_QUARANTINED, REQUEST_RELEASED, REQUEST_TRIED
from almondspindle.core.logs import emit
from almondspindle.core.node import NodeCfg
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused
from almondspindle.core.placements import AttemptEnd
from almondspindle.decisions.content import is_content_id
from almondspindle.decisions.error_rate import MIN_SERVER_ERROR_STATUS
from almondspindle.decisions.request_quarantine import (
    SETTLE_S,
    TRIAL_INTERVAL_S,
    fatal_parts,
    is_suspect,
    is_trial_due,
    repeated_contents,
    targets_to_avoid,
)

MAX_PARTS = 4096  # prompt parts and contents whose last response is remembered
HTTP_OK = 200
FIRST_REDIRECT_STATUS = 300
MAX_CRASHES_REPORTED = 32  # 3 KB
MAX_ANSWERS_REPORTED = 128  # 3 KB


class QuarantineController(Controller):
    """Own the recent crashes of targets, of all hosts, and the parts of requests in quarantine.

    The other hosts report all quarantines again and again, so the state may be discarded.
    """

    on_exception = OnException.RESET

    def __init__(self, cfg: NodeCfg, clock: Clock) -> None:
        super().__init__(clock)
        self._host = cfg.host
        self._hosts: frozenset[str] = frozenset({cfg.host})
        self._sole_targets: frozenset[str] = frozenset()
        self.reset()

    def reset(self) -> None:
        """Forget all crashes, answers and quarantines."""
        self._crashes = CrashTable()
        self._quarantined = QuarantineTable()
        self._unjudged: deque[tuple[float, TargetCrash]] = deque()
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._answers_reported: dict[str, float] = {}  # until when a part's answer is reported
        self._last_response_at: dict[str, float] = {}  # by service

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `quarantine.messages`, or a change of the hosts or targets."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        self._hosts = frozenset({self._host, *msg.hosts})

    @handle.register
    def _(self, msg: TargetsChanged, now: float) -> None:
        addresses: dict[str, set[str]] = {}
        for record in msg.targets.values():
            addresses.setdefault(record.service, set()).add(record.address)
        self._sole_targets = frozenset(
            next(iter(group)) for group in addresses.values() if len(group) == 1
        )

    @handle.register
    def _(self, msg: CheckRequest, now: float) -> Outcome[frozenset[str]]:
        self._judge_crashes(now)
        for parts, quarantine in self._quarantined:
            if parts <= msg.parts and not self._starts_trial(parts, quarantine, msg, now):
                return _refused(parts, quarantine, now)
        cut = [part for part in msg.parts if self._was_cut_since_answer(part)]
        if not cut:
            return Ok(frozenset())
        crashes = self._crashes.recent(now)
        if msg.is_retry:
            for part in cut:
                if is_suspect(part, crashes, self._answered):
                    text = f"{part} may have crashed several targets"
                    return refused(RefusalCode.REQUEST_QUARANTINED, text)
        return Ok(targets_to_avoid(cut, crashes, self._answered))

    @handle.register
    def _(self, msg: RequestAttemptEnded, now: float) -> None:
        answered = _answered_parts(msg)
        if answered:
            self._last_response_at[msg.service] = now
        for part in answered:
            self._note_answer(part, now, now)
        if msg.report.target_is_down:
            last_at = self._last_response(msg.service)
            self._add_cut(
                Crash(
                    msg.request_id,
                    msg.address,
                    msg.parts,
                    msg.sent_at,
                    now,
                    last_at,
                    msg.service,
                    msg.report.wrote_body,
                ),
                now,
            )

    @handle.register
    def _(self, msg: CrashNewsReceived, now: float) -> None:
        for report in msg.news.crashes:
            last_at = self._last_response(report.service)
            self._add_cut(_from_report(report, last_at, now), now)
        for part, age_s in msg.news.answered.items():
            if self._is_news(part, now - age_s):
                self._note_answer(part, now - age_s, now)
        for quarantine in msg.news.quarantined:
            self._adopt(frozenset(quarantine.parts), now - quarantine.crash_age_s, now)

    @handle.register
    def _(self, msg: GetCrashNews, now: float) -> CrashNews | None:
        self._judge_crashes(now)
        cut = self._crashes.news(now)
        self._answers_reported = {
            part: until for part, until in self._answers_reported.items() if now < until
        }
        answered = [*self._answers_reported][-MAX_ANSWERS_REPORTED:]
        news = CrashNews(
            tuple(_to_report(crash, now) for crash in self._most_suspect(cut)),
            {part: now - self._answered[part] for part in answered},
            tuple(
                QuarantineReport(tuple(sorted(parts)), now - quarantine.last_crash_at)
                for parts, quarantine in self._quarantined
            ),
        )
        return news if news.crashes or news.answered or news.quarantined else None

    def _starts_trial(
        self, parts: PartIds, quarantine: Quarantine, msg: CheckRequest, now: float
    ) -> bool:
        last_used_at = max(quarantine.last_crash_at, quarantine.last_trial_at)
        is_due = is_trial_due(parts, last_used_at, self._hosts, self._host, now)
        if msg.is_retry or not is_due:
            return False
        quarantine.last_trial_at = now
        emit(REQUEST_TRIED, parts=sorted(parts))
        return True

    def _was_cut_since_answer(self, part: str) -> bool:
        return self._crashes.last_crash_at(part) > self._answered.get(part, -math.inf)

    def _last_response(self, service: str) -> float:
        return self._last_response_at.get(service, -math.inf)

    def _most_suspect(self, cut: list[Crash]) -> list[Crash]:
        """Return the requests to report: those whose response hadn't begun, and the newest."""
        ordered = sorted(cut, key=lambda each: (each.has_begun, -each.crashed_at))
        return ordered[:MAX_CRASHES_REPORTED]

    def _add_cut(self, cut: Crash, now: float) -> None:
        crash = self._crashes.add(cut, now)
        if crash is None:
            return
        for part in cut.parts & self._answered.keys():
            self._report_answer(part, now)
        self._note_repeated(cut.parts, cut.crashed_at)
        repeated = repeated_contents(cut.parts, self._crashes.recent(now))
        is_pending = any(crash is pending for _, pending in self._unjudged)
        if not self._judge(crash, repeated, now) and not is_pending:
            self._unjudged.append((now, crash))

    def _judge_crashes(self, now: float) -> None:
        while self._unjudged and now - self._unjudged[0][0] >= SETTLE_S:
            _, crash = self._unjudged.popleft()
            self._judge(crash, crash.parts.keys(), now)

    def _judge(self, crash: TargetCrash, suspects: Collection[str], now: float) -> bool:
        """Quarantine what caused `crash`, if it is known. Return whether it is."""
        if not suspects:
            return False
        fatal = fatal_parts(
            crash,
            suspects,
            self._crashes.recent(now),
            self._answered,
            self._quarantined.sets(),
            self._sole_targets,
        )
        if fatal:
            self._note_repeated(fatal, crash.crashed_at)
            self._quarantine(fatal, crash.crashed_at)
        return bool(fatal)

    def _note_repeated(self, parts: PartIds, crashed_at: float) -> None:
        """Note a crash that `parts` have caused for the quarantines that they include."""
        for quarantine in self._quarantined.included_in(parts):
            quarantine.last_crash_at = max(quarantine.last_crash_at, crashed_at)

    def _quarantine(self, parts: PartIds, crashed_at: float) -> None:
        if self._quarantined.add(parts, crashed_at):
            addresses = {c.address for c in self._crashes if parts <= c.parts.keys()}
            emit(REQUEST_QUARANTINED, parts=sorted(parts), targets=sorted(addresses))

    def _adopt(self, parts: PartIds, crashed_at: float, now: float) -> None:
        """Quarantine the `parts` not answered since, unless some of them already are."""
        for part in parts:
            if self._answered.get(part, -math.inf) > crashed_at:
                self._report_answer(part, now)
                parts = parts - {part}
        if parts:
            self._quarantine(parts, crashed_at)

    def _is_news(self, part: str, answered_at: float) -> bool:
        """Return whether an answer that another host reports changes what is suspected here.

        Anything else is ignored: the times of reports that are passed on in a circle grow.
        """
        known = self._answered.get(part)
        suspected_at = [crash.crashed_at for crash in self._crashes if part in crash.parts]
        suspected_at += [q.last_crash_at for parts, q in self._quarantined if part in parts]
        return known is None or any(known < at < answered_at for at in suspected_at)

    def _note_answer(self, part: str, answered_at: float, now: float) -> None:
        known = self._answered.get(part, -math.inf)
        self._answered[part] = max(known, answered_at)
        self._answered.move_to_end(part)
        if len(self._answered) > MAX_PARTS:
            forgotten, _ = self._answered.popitem(last=False)
            self._answers_reported.pop(forgotten, None)
        if known < self._crashes.last_crash_at(part) <= answered_at:
            self._report_answer(part, now)
        self._exonerate(part, answered_at, now)

    def _exonerate(self, part: str, answered_at: float, now: float) -> None:
        """Remove `part` from the quarantines whose last crash was before the answer."""
        for parts, quarantine in self._quarantined.remove_answered(part, answered_at):
            self._report_answer(part, now)
            emit(REQUEST_RELEASED, part=part, parts=sorted(parts))
            self._adopt(parts - {part}, quarantine.last_crash_at, now)

    def _report_answer(self, part: str, now: float) -> None:
        self._answers_reported[part] = now + NEWS_S


def _answered_parts(msg: RequestAttemptEnded) -> PartIds:
    """Return the parts that did not crash the target, judged by its response.

    A target may reject a prompt before it reads the parts, so an error speaks for the whole content
    only.
    """
    report = msg.report
    if report.end is not AttemptEnd.ANSWERED or report.status >= MIN_SERVER_ERROR_STATUS:
        return frozenset()
    if report.target_is_down:
        return frozenset()
    if HTTP_OK <= report.status < FIRST_REDIRECT_STATUS and report.wrote_body:
        return msg.parts
    return frozenset(filter(is_content_id, msg.parts))


def _refused(parts: PartIds, quarantine: Quarantine, now: float) -> Outcome[frozenset[str]]:
    retry_after_s = max(1.0, quarantine.last_crash_at + TRIAL_INTERVAL_S - now)
    text = f"requests with {', '.join(sorted(parts))} crash targets"
    return refused(RefusalCode.REQUEST_QUARANTINED, text, retry_after_s=retry_after_s)


def _to_report(crash: Crash, now: float) -> CrashReport:
    return CrashReport(
        crash.request_id,
        crash.address,
        tuple(sorted(crash.parts)),
        now - crash.sent_at,
        now - crash.crashed_at,
        crash.service,
        crash.has_begun,
    )


def _from_report(report: CrashReport, last_response_at: float, now: float) -> Crash:
    return Crash(
        report.request_id,
        report.address,
        frozenset(report.parts),
        now - report.sent_age_s,
        now - report.crash_age_s,
        last_response_at,
        report.service,
        report.has_begun,
    )
