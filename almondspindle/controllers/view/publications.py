"""Build the messages that the view publishes from a topic's records.

The route table isn't among them: it is published only when its version grows.
"""

from collections.abc import Callable, Mapping
from typing import TypeVar

from almondspindle.controllers.view.messages import (
    HostsChanged,
    Publication,
    RolloutsChanged,
    TargetsChanged,
    ZonesChanged,
)
from almondspindle.core.inventory import (
    HostRecord,
    Record,
    TargetRecord,
    Topic,
    ZoneExclusion,
)
from almondspindle.core.rollouts import RolloutRecord

T = TypeVar("T")


def _build_targets_changed(records: Mapping[str, Record]) -> TargetsChanged:
    return TargetsChanged(_values(records, TargetRecord))


def _build_zones_changed(records: Mapping[str, Record]) -> ZonesChanged:
    return ZonesChanged(frozenset(v.zone for v in _values(records, ZoneExclusion).values()))


def _build_hosts_changed(records: Mapping[str, Record]) -> HostsChanged:
    return HostsChanged(_values(records, HostRecord))


def _build_rollouts_changed(records: Mapping[str, Record]) -> RolloutsChanged:
    rollouts = _values(records, RolloutRecord)
    return RolloutsChanged(rollouts, {name: records[name].revision.era for name in rollouts})


def _values(records: Mapping[str, Record], value_type: type[T]) -> dict[str, T]:
    return {n: r.value for n, r in records.items() if isinstance(r.value, value_type)}


PUBLICATION_BUILDERS: dict[Topic, Callable[[Mapping[str, Record]], Publication]] = {
    Topic.TARGETS: _build_targets_changed,
    Topic.ZONES: _build_zones_changed,
    Topic.HOSTS: _build_hosts_changed,
    Topic.ROLLOUTS: _build_rollouts_changed,
}
