"""Which parts of requests crash targets, so that no more requests with them are sent.

A part is a shared part of a prompt, or the whole content of a request (`decisions.content`).

The load that this answers: requests with one part in common, each of which crashes the target that
begins to respond to it. Without a memory of the parts, the next such request goes to the next
target, and the crash cuts the responses of all other requests there.

A part is quarantined after some crashes in sequence at more than one target, if no request with it
has been answered since the first of them. Each request of the sequence was sent after the crash
before, so one failure of many targets counts once. Other requests were answered in between, so a
failure of the whole service doesn't count; a retry of the same request needs none, since it follows
too soon. Sound requests wait at a target when it crashes, too: a part that was ever answered needs
twice as many crashes, and crashes that a part in quarantine explains don't count against others.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import reduce
from itertools import chain

from almondspindle.core.crashes import Crash, PartIds
from almondspindle.decisions.content import is_content_id
from almondspindle.decisions.hashing import score

MIN_TARGETS = 2
# Times that other hosts report are wrong by the delay of the report.
REPORT_DELAY_S = 0.1
# A crash is judged after this time, when other hosts have reported the requests that it cut there.
# A whole content that comes again and again is judged at once: others can't be told from it by what
# else was cut.
SETTLE_S = 0.4
SAME_CRASH_S = 0.5  # between the ends of attempts that the crash of one target cut
CRASH_TTL_S = 300.0
# A quarantined part may have become harmless, for example by a new version of the targets. One
# request at a time is sent on trial after this time.
TRIAL_INTERVAL_S = 120.0


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Crashes in sequence after which a part is quarantined, or no request with it is retried."""

    quarantine: int
    retry: int


# By whether a request with the part was ever answered.
LIMITS = {False: CrashLimits(quarantine=3, retry=2), True: CrashLimits(quarantine=6, retry=4)}


def crash_sequence(crashes: Iterable[Crash], answered_at: float) -> list[Crash]:
    """Return the longest sequence of `crashes` after `answered_at` that a part may have caused."""
    sequence: list[Crash] = []
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        if crash.crashed_at > answered_at and (not sequence or _follows(crash, sequence[-1])):
            sequence.append(crash)
    return sequence


def _follows(crash: Crash, earlier: Crash) -> bool:
    if crash.request_id == earlier.request_id:
        return crash.sent_at > earlier.crashed_at
    was_sent_later = crash.sent_at > earlier.crashed_at + REPORT_DELAY_S
    return was_sent_later and crash.last_response_at > earlier.crashed_at


def is_fatal(sequence: Collection[Crash], was_answered: bool) -> bool:
    """Return whether a part with this sequence of crashes is the cause of them.

    `was_answered` tells whether a request with the part was ever answered.
    """
    addresses = {crash.address for crash in sequence}
    return len(sequence) >= LIMITS[was_answered].quarantine and len(addresses) >= MIN_TARGETS


def repeated_contents(crash: Crash, crashes: Collection[Crash]) -> PartIds:
    """Return the whole contents in `crash` that may be known to cause crashes, by their number."""
    fewest = min(limits.quarantine for limits in LIMITS.values())
    return frozenset(
        part
        for part in filter(is_content_id, crash.parts)
        if sum(part in known.parts for known in crashes) >= fewest
    )


def fatal_parts(
    crash: Crash,
    suspects: PartIds,
    crashes: Collection[Crash],
    answered: Mapping[str, float],
    quarantined: Iterable[PartIds],
) -> PartIds:
    """Return the parts that caused `crash` and others before it, or nothing if it isn't known.

    One of `suspects`, parts of the crash, is among them. `answered` has the time of the last
    response by part, and `quarantined` the parts in quarantine. Later crashes are left out, since
    other hosts may not have reported yet what they cut.
    """
    explained = {
        parts: [known for known in crashes if parts <= known.parts] for parts in quarantined
    }
    if _is_same_as_any(crash, chain.from_iterable(explained.values())):
        return frozenset()
    for part in sorted(suspects):
        others = [known for parts, all_ in explained.items() if part not in parts for known in all_]
        own = [
            known
            for known in crashes
            if part in known.parts
            and known.crashed_at <= crash.crashed_at
            and not _is_same_as_any(known, others)
        ]
        sequence = crash_sequence(own, answered.get(part, -math.inf))
        if is_fatal(sequence, part in answered):
            return _common_cause(part, sequence, crashes, answered)
    return frozenset()


def _common_cause(
    part: str, sequence: Iterable[Crash], crashes: Collection[Crash], answered: Mapping[str, float]
) -> PartIds:
    """Return the parts that were at the target in each crash of the sequence of `part`.

    Those are the parts of all requests that were cut, since a sound one may have been there every
    time. The ones that were answered are left out, unless nothing else is left.
    """
    at_target = (
        frozenset().union(*(known.parts for known in crashes if _is_same_as_any(known, [crash])))
        for crash in sequence
    )
    common = reduce(frozenset.intersection, at_target)
    return common.difference(answered) or frozenset({part})


def _is_same_as_any(crash: Crash, others: Iterable[Crash]) -> bool:
    """Return whether one of the attempts `others` ended by the same crash of a target."""
    return any(
        crash.address == other.address and abs(crash.crashed_at - other.crashed_at) <= SAME_CRASH_S
        for other in others
    )


def is_suspect(part: str, crashes: Iterable[Crash], answered: Mapping[str, float]) -> bool:
    """Return whether a request with `part` that met a crash should not be sent to another target.

    `answered` has the time of the last response by part.
    """
    own = [crash for crash in crashes if part in crash.parts]
    sequence = crash_sequence(own, answered.get(part, -math.inf))
    return len(sequence) >= LIMITS[part in answered].retry


def is_trial_due(
    parts: PartIds, last_used_at: float, hosts: Collection[str], own_host: str, now: float
) -> bool:
    """Return whether this host may send one request with the quarantined `parts` on trial.

    `last_used_at` is the time of the last crash or trial. One of `hosts` does the trials of a part.
    """
    key = ",".join(sorted(parts))
    first = max(hosts, key=lambda host: score(key, host))
    return first == own_host and now - last_used_at >= TRIAL_INTERVAL_S
