"""Which targets may get a request while a service is moved to another version."""

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from almondspindle.core.identifiers import TargetName
from almondspindle.core.inventory import TargetRecord
from almondspindle.core.rollouts import VersionChoice, VersionRule, VersionUse
from almondspindle.decisions.hashing import score

MIN_CANARY_TARGETS = 2  # so that one faulty target can be told from a bad version


class VersionedTarget(Protocol):
    """A target with its record."""

    record: TargetRecord


T = TypeVar("T", bound=VersionedTarget)


def version_pools(
    targets: Sequence[T], rule: VersionRule | None, choice: VersionChoice, is_retry: bool
) -> list[list[T]]:
    """Return the groups of `targets` that may get a request, the preferred one first.

    A later group is used if no healthy target of an earlier one may take the request.
    """
    if rule is None:
        return [list(targets)]
    new = [t for t in targets if t.record.version == rule.version]
    current = [t for t in targets if t.record.version != rule.version]
    old = [t for t in current if t.record.version not in rule.withdrawn] or current
    wants_new = choice is VersionChoice.NEW and not (is_retry and rule.use is VersionUse.CANARY)
    pools = {
        VersionUse.CANARY: [canary_targets(new, rule), old] if wants_new else [old or new],
        VersionUse.SHIFT: [new, old] if wants_new else [old, new],
        VersionUse.ONLY: [new or old],
        VersionUse.SPARE: [old or new],
        VersionUse.NEVER: [old],
    }
    return [pool for pool in pools[rule.use] if pool]


def canary_targets(targets: Sequence[T], rule: VersionRule) -> list[T]:
    """Return as small a part of `targets` as the version's share of the requests.

    Each of them then bears the load that it would bear in full use, which a bad version may not.
    """
    count = max(MIN_CANARY_TARGETS, math.ceil(rule.share * len(targets)))
    return sorted(targets, key=lambda target: canary_rank(rule.version, target.record.name))[:count]


def canary_rank(version: str, target: TargetName) -> int:
    """Return the rank of a target of `version`; those of the lowest ranks are used first."""
    return score(version, target)
