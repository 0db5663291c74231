"""Whether a listed order is the one that a host already knows.

The store may come back from an older copy, which lacks the last order of a service, or lists the
one before. Operators write a lost order again, under a new revision: it is the same roll-out, and
what was decided of it stands.
"""

from dataclasses import dataclass
from enum import StrEnum

from almondspindle.core.rollouts import RolloutKey, RolloutRecord

MAX_REPLACED_KEYS = 4  # a restored copy is only some seconds old


class OrderChange(StrEnum):
    """What a listed order of a service is to the known one."""

    KNOWN = "known"
    REWRITTEN = "rewritten"  # the known one, which the store had lost
    RETURNED = "returned"  # one that the known one replaced, from a copy of the store
    NEW = "new"


@dataclass(frozen=True, slots=True)
class KnownOrder:
    """An order, the highest era in which it was listed, and those before it for its service."""

    record: RolloutRecord
    era: int = 0
    replaced: tuple[RolloutKey, ...] = ()


def compare_orders(known: KnownOrder, record: RolloutRecord, era: int) -> OrderChange:
    """Return what `record`, listed in `era`, is to the `known` order of the same service."""
    if record.key == known.record.key:
        return OrderChange.KNOWN
    if era <= known.era:
        return OrderChange.NEW
    if record.key in known.replaced:
        return OrderChange.RETURNED
    ordered = (record.version, record.duration_s)
    is_same = ordered == (known.record.version, known.record.duration_s)
    return OrderChange.REWRITTEN if is_same else OrderChange.NEW


def replace_order(known: KnownOrder | None, record: RolloutRecord, era: int) -> KnownOrder:
    """Return the order that is known once `record` has replaced the `known` one."""
    if known is None:
        return KnownOrder(record, era)
    replaced = (*known.replaced, known.record.key)[-MAX_REPLACED_KEYS:]
    return KnownOrder(record, era, replaced)
