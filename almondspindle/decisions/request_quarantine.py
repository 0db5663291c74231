"""Which parts of requests crash targets, so that no more requests with them are sent.

A part is a shared part of a prompt, or the whole content of a request (`decisions.content`).

The load that this answers: requests with one part in common, each of which crashes the target that
begins to respond to it. Without a memory of the parts, the next such request goes to the next
target, and the crash cuts the responses of all other requests there.

A part is quarantined after some crashes in sequence at more than one target, if no request with it
has been answered since the first of them. Each request of the sequence was sent after the crash
before, so one failure of many targets counts once. Other requests were answered in between, so a
failure of the whole service doesn't count; a retry of the same request needs none, since it follows
too soon. Sound requests run at a target when it crashes, too: a part that was ever answered needs
twice as many crashes, and crashes that a part in quarantine explains don't count against others.

Requests with one part in common have the same target as their first choice. Two crashes there may
be the part's fault or the target's, and so may all that follow. So the next request with the part
is sent to another target, where an answer clears the part and a crash shows that it is the cause.
A service with a single target has no other: there the number of crashes decides.

A crash may come at any point of the response. Far more sound requests are past the beginning of
their response than before it, and where targets crash for other reasons, a rare part may be met by
some crashes in sequence. So if targets crash without the part, too, more crashes are needed in
which its responses had begun.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import reduce

from almondspindle.core.crashes import Crash, CutPart, PartIds, TargetCrash
from almondspindle.decisions.content import is_content_id
from almondspindle.decisions.hashing import score

MIN_TARGETS = 2
SOLE_TARGET_CRASHES = (
    5  # in sequence, at the only target of a service, if no other part explains it
)
# Times that other hosts report are wrong by the delay of the report.
REPORT_DELAY_S = 0.1
# A crash is judged after this time, when other hosts have reported the requests that it cut there.
# A whole content that comes again and again is judged at once: others can't be told from it by what
# else was cut.
SETTLE_S = 0.4
SAME_CRASH_S = 0.5  # between the ends of attempts that the crash of one target cut
CRASH_TTL_S = 300.0
OTHER_CRASHES_S = 60.0  # for how long a crash of another target speaks against a part as the cause
# A quarantined part may have become harmless, for example by a new version of the targets. One
# request at a time is sent on trial after this time.
TRIAL_INTERVAL_S = 120.0


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Crashes in sequence after which a part is quarantined, or no request with it is retried.

    `among_others` is for parts whose responses had begun, while targets crash without them, too.
    """

    quarantine: int
    among_others: int
    retry: int


# By whether a request with the part was ever answered.
LIMITS = {
    False: CrashLimits(quarantine=3, among_others=4, retry=2),
    True: CrashLimits(quarantine=6, among_others=6, retry=4),
}


FEWEST_CRASHES = min(limits.quarantine for limits in LIMITS.values())


def is_same_crash(crash: TargetCrash, cut: Crash) -> bool:
    """Return whether the attempt `cut` was ended by `crash`."""
    is_same_time = abs(crash.crashed_at - cut.crashed_at) <= SAME_CRASH_S
    return crash.address == cut.address and is_same_time


def add_cut(crash: TargetCrash, cut: Crash) -> None:
    """Add the parts of a request that `crash` cut."""
    for part in cut.parts:
        known = crash.parts.get(part)
        last = CutPart(cut.request_id, cut.sent_at, cut.has_begun)
        if known is not None:
            newer = max(known, last, key=lambda each: each.sent_at)
            has_begun = known.has_begun and cut.has_begun
            last = CutPart(newer.request_id, newer.sent_at, has_begun)
        crash.parts[part] = last


def crash_sequence(
    part: str, crashes: Iterable[TargetCrash], answered_at: float
) -> list[TargetCrash]:
    """Return the longest sequence of `crashes` after `answered_at` that `part` may have caused."""
    sequence: list[TargetCrash] = []
    own = (crash for crash in crashes if part in crash.parts and crash.crashed_at > answered_at)
    for crash in sorted(own, key=lambda each: each.crashed_at):
        if not sequence or _follows(part, crash, sequence[-1]):
            sequence.append(crash)
    return sequence


def _follows(part: str, crash: TargetCrash, earlier: TargetCrash) -> bool:
    last, before = crash.parts[part], earlier.parts[part]
    if last.request_id == before.request_id:
        return last.sent_at > earlier.crashed_at
    was_sent_later = last.sent_at > earlier.crashed_at + REPORT_DELAY_S
    return was_sent_later and crash.last_response_at > earlier.crashed_at


def repeated_contents(parts: PartIds, crashes: Collection[TargetCrash]) -> PartIds:
    """Return the whole contents in `parts` that may be known to cause crashes, by their number."""
    return frozenset(
        part for part in filter(is_content_id, parts) if _is_in_enough_crashes(part, crashes)
    )


def _is_in_enough_crashes(part: str, crashes: Iterable[TargetCrash]) -> bool:
    return sum(part in crash.parts for crash in crashes) >= FEWEST_CRASHES


def fatal_parts(
    crash: TargetCrash,
    suspects: Iterable[str],
    crashes: Collection[TargetCrash],
    answered: Mapping[str, float],
    quarantined: Iterable[PartIds],
    sole_targets: Collection[str] = (),
) -> PartIds:
    """Return the parts that caused `crash` and others before it, or nothing if it isn't known.

    One of `suspects`, parts of the crash, is among them. `answered` has the time of the last
    response by part, `quarantined` the parts in quarantine, and `sole_targets` the addresses of
    targets that are the only ones of their service. Later crashes are left out, since other hosts
    may not have reported yet what they cut.
    """
    known = list(quarantined)
    if _is_explained(crash, known):
        return frozenset()
    earlier = [each for each in crashes if each.crashed_at <= crash.crashed_at]
    for part in sorted(part for part in suspects if _is_in_enough_crashes(part, earlier)):
        unexplained = [each for each in earlier if not _is_explained(each, known, apart_from=part)]
        sequence = crash_sequence(part, unexplained, answered.get(part, -math.inf))
        if _is_fatal(part, sequence, part in answered, unexplained, sole_targets):
            return _common_cause(part, sequence, answered)
    return frozenset()


def _is_explained(
    crash: TargetCrash, quarantined: Iterable[PartIds], apart_from: str | None = None
) -> bool:
    """Return whether parts in quarantine, without the part `apart_from`, were at the target."""
    return any(apart_from not in parts and parts <= crash.parts.keys() for parts in quarantined)


def _is_fatal(
    part: str,
    sequence: Collection[TargetCrash],
    was_answered: bool,
    crashes: Iterable[TargetCrash],
    sole_targets: Collection[str],
) -> bool:
    """Return whether `part` is the cause of `sequence`.

    `was_answered` tells whether a request with the part was ever answered. `crashes` are those that
    no part in quarantine explains.
    """
    limits = LIMITS[was_answered]
    if len(sequence) < limits.quarantine:
        return False
    addresses = {crash.address for crash in sequence}
    if len(addresses) < MIN_TARGETS:
        is_decided = addresses.issubset(sole_targets) and len(sequence) >= SOLE_TARGET_CRASHES
        return is_decided and not was_answered and not _crash_without(part, sequence, crashes)
    not_begun = sum(not crash.parts[part].has_begun for crash in sequence)
    if not_begun >= limits.quarantine or len(sequence) >= limits.among_others:
        return True
    return not _crash_without(part, sequence, crashes)


def _crash_without(
    part: str, sequence: Collection[TargetCrash], crashes: Iterable[TargetCrash]
) -> bool:
    """Return whether targets of the service have crashed lately without `part`."""
    service = next(iter(sequence)).service
    since = max(crash.crashed_at for crash in sequence) - OTHER_CRASHES_S
    return any(
        crash.service == service and crash.crashed_at >= since and part not in crash.parts
        for crash in crashes
    )


def _common_cause(
    part: str, sequence: Iterable[TargetCrash], answered: Mapping[str, float]
) -> PartIds:
    """Return the parts that were at the target in each crash of the sequence of `part`.

    Those are the parts of all requests that were cut, since a sound one may have been there every
    time. The ones that were answered are left out, unless nothing else is left.
    """
    at_target = (frozenset(crash.parts) for crash in sequence)
    common = reduce(frozenset.intersection, at_target)
    return common.difference(answered) or frozenset({part})


def is_suspect(part: str, crashes: Iterable[TargetCrash], answered: Mapping[str, float]) -> bool:
    """Return whether a request with `part` that met a crash should not be sent to another target.

    `answered` has the time of the last response by part.
    """
    return bool(_suspicious_sequence(part, crashes, answered))


def targets_to_avoid(
    parts: Iterable[str], crashes: Collection[TargetCrash], answered: Mapping[str, float]
) -> frozenset[str]:
    """Return the addresses of targets at which `parts` are suspected to have caused crashes.

    A request with these parts is better sent to another target, which shows whether they are the
    cause. `answered` has the time of the last response by part.
    """
    return frozenset(
        crash.address for part in parts for crash in _suspicious_sequence(part, crashes, answered)
    )


def _suspicious_sequence(
    part: str, crashes: Iterable[TargetCrash], answered: Mapping[str, float]
) -> list[TargetCrash]:
    """Return the sequence of crashes of `part` if it is long enough to suspect it, else nothing."""
    sequence = crash_sequence(part, crashes, answered.get(part, -math.inf))
    return sequence if len(sequence) >= LIMITS[part in answered].retry else []


def is_trial_due(
    parts: PartIds, last_used_at: float, hosts: Collection[str], own_host: str, now: float
) -> bool:
    """Return whether this host may send one request with the quarantined `parts` on trial.

    `last_used_at` is the time of the last crash or trial. One of `hosts` does the trials of a part.
    """
    key = ",".join(sorted(parts))
    first = max(hosts, key=lambda host: score(key, host))
    return first == own_host and now - last_used_at >= TRIAL_INTERVAL_S
