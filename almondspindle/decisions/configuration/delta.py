"""Compute, apply and describe the differences between configurations."""

from typing import Any

from almondspindle.core.changes import ConfigDelta, HistoryEntry, ObjectKind
from almondspindle.core.config import ConfigSet
from almondspindle.decisions.configuration.apply import COLLECTION_FIELDS


def diff(old: ConfigSet, new: ConfigSet) -> ConfigDelta:
    """Return the delta that turns `old` into `new`."""
    parts = {
        name: _diff_objects(getattr(old, name), getattr(new, name))
        for name in COLLECTION_FIELDS.values()
    }
    return ConfigDelta(old.version, new.version, base_nonce=old.nonce, nonce=new.nonce, **parts)


def apply_delta(config: ConfigSet, delta: ConfigDelta) -> ConfigSet | None:
    """Return `config` after `delta`, or None if the delta is based on another configuration."""
    if (delta.base, delta.base_nonce) != (config.version, config.nonce):
        return None
    parts = {
        name: _apply_object_changes(getattr(config, name), getattr(delta, name))
        for name in COLLECTION_FIELDS.values()
    }
    return ConfigSet(delta.version, nonce=delta.nonce, **parts)


def is_empty(delta: ConfigDelta) -> bool:
    """Return whether `delta` changes no object."""
    return not any(getattr(delta, name) for name in COLLECTION_FIELDS.values())


def is_newer(config: ConfigSet, than: ConfigSet) -> bool:
    """Return whether `config` may replace `than`. Only a higher version replaces a lower one."""
    return config.version > than.version


def describe_delta(old: ConfigSet, delta: ConfigDelta) -> list[str]:
    """Return one line for each object that `delta` creates, changes or deletes in `old`."""
    lines = []
    for kind, name in COLLECTION_FIELDS.items():
        before = getattr(old, name)
        for key, value in sorted(getattr(delta, name).items()):
            lines.append(_describe_object(kind, key, before.get(key), value))
    return lines


def _diff_objects(old: dict[Any, Any], new: dict[Any, Any]) -> dict[Any, Any]:
    changed = {key: value for key, value in new.items() if key not in old or old[key] != value}
    return changed | {key: None for key in old if key not in new}


def _apply_object_changes(old: dict[Any, Any], changes: dict[Any, Any]) -> dict[Any, Any]:
    if not changes:
        return old
    merged = {**old, **changes}
    return {key: value for key, value in merged.items() if value is not None}


def _describe_object(
    kind: ObjectKind, key: str, before: object | None, after: object | None
) -> str:
    if before is None:
        return f"create {kind} {key}: {after}"
    if after is None:
        return f"delete {kind} {key}: was {before}"
    return f"change {kind} {key}: from {before} to {after}"


def count_changed_objects(delta: ConfigDelta) -> int:
    """Return the number of objects that `delta` creates, changes or deletes."""
    return sum(len(getattr(delta, name)) for name in COLLECTION_FIELDS.values())


def describe_entry(entry: HistoryEntry) -> list[str]:
    """Return one line for each object that an accepted change created, changed or deleted."""
    lines = []
    for kind, name in COLLECTION_FIELDS.items():
        before = getattr(entry.backward, name)
        for key, value in sorted(getattr(entry.forward, name).items()):
            lines.append(_describe_object(kind, key, before.get(key), value))
    return lines
