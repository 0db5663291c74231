"""Which prompt parts crash targets, so that no more requests with them are sent.

The load that this answers: requests with one part in common, each of which crashes the target that
begins to respond to it. Without a memory of the parts, the next such request goes to the next
target, and the crash cuts the responses of all other requests there.

A part is quarantined after `MIN_CRASHES` crashes in sequence at more than one target, if no request
with it has been answered since the first of them. Each request of the sequence was sent after the
crash before, so one failure of many targets counts once. Other requests were answered in between,
so a failure of the whole service doesn't count.
"""

import math
from collections.abc import Collection, Iterable, Mapping

from almondspindle.core.crashes import Crash, PartIds
from almondspindle.decisions.hashing import score

MIN_CRASHES = 3
MIN_TARGETS = 2
# After this many crashes in sequence, a request with the part isn't sent to another target.
MIN_CRASHES_FOR_RETRY = 2
# Times that other hosts report are wrong by the delay of the report.
REPORT_DELAY_S = 0.25
CRASH_TTL_S = 300.0
# A quarantined part may have become harmless, for example by a new version of the targets. One
# request at a time is sent on trial after this time.
TRIAL_INTERVAL_S = 120.0


def crash_sequence(crashes: Iterable[Crash], answered_at: float) -> list[Crash]:
    """Return the longest sequence of `crashes` after `answered_at` that a part may have caused."""
    sequence: list[Crash] = []
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        if crash.crashed_at > answered_at and (not sequence or _follows(crash, sequence[-1])):
            sequence.append(crash)
    return sequence


def _follows(crash: Crash, earlier: Crash) -> bool:
    was_sent_later = crash.sent_at > earlier.crashed_at + REPORT_DELAY_S
    return was_sent_later and crash.last_response_at > earlier.crashed_at


def is_fatal(sequence: Collection[Crash]) -> bool:
    """Return whether a part with this sequence of crashes is the cause of them."""
    addresses = {crash.address for crash in sequence}
    return len(sequence) >= MIN_CRASHES and len(addresses) >= MIN_TARGETS


def fatal_parts(
    crash: Crash,
    crashes: Collection[Crash],
    answered: Mapping[str, float],
    quarantined: Collection[PartIds],
) -> PartIds:
    """Return the parts of the newest `crash` that are its cause, or nothing if it isn't known.

    `answered` has the time of the last response by part, and `quarantined` the parts in quarantine.
    Crashes that those explain don't count against other parts. Of several possible causes, those
    that have never been answered are returned.
    """
    if is_explained(crash, quarantined):
        return frozenset()
    fatal = set()
    for part in crash.parts:
        others = [parts for parts in quarantined if part not in parts]
        own = [c for c in crashes if part in c.parts and not is_explained(c, others)]
        if is_fatal(crash_sequence(own, answered.get(part, -math.inf))):
            fatal.add(part)
    return frozenset(fatal - answered.keys() or fatal)


def is_explained(crash: Crash, quarantined: Iterable[PartIds]) -> bool:
    """Return whether parts in quarantine are a cause of `crash`."""
    return any(parts <= crash.parts for parts in quarantined)


def is_suspect(part: str, crashes: Iterable[Crash], answered_at: float) -> bool:
    """Return whether a request with `part` that met a crash should not be sent to another target.

    `answered_at` is when a request with the part was last answered.
    """
    own = [crash for crash in crashes if part in crash.parts]
    return len(crash_sequence(own, answered_at)) >= MIN_CRASHES_FOR_RETRY


def is_trial_due(
    parts: PartIds, last_used_at: float, hosts: Collection[str], own_host: str, now: float
) -> bool:
    """Return whether this host may send one request with the quarantined `parts` on trial.

    `last_used_at` is the time of the last crash or trial. One of `hosts` does the trials of a part.
    """
    key = ",".join(sorted(parts))
    first = max(hosts, key=lambda host: score(key, host))
    return first == own_host and now - last_used_at >= TRIAL_INTERVAL_S
