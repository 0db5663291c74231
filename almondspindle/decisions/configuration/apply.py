"""Apply operators' changes to a configuration.

This module checks that the objects and fields named in a change exist, that an object to be created
does not, and that required fields are set. The values of fields are validated by the models of the
stored document.
"""

from collections.abc import Iterable, Mapping
from dataclasses import MISSING, fields, is_dataclass, replace
from functools import singledispatch
from typing import Any

from almondspindle.core.changes import (
    BringBack,
    Change,
    ChangeError,
    ChangeErrorCode,
    CreateObject,
    DeleteObject,
    ObjectKind,
    PutObject,
    ReplaceAll,
    SetFields,
    TakeOut,
)
from almondspindle.core.config import (
    AvailabilityZone,
    ConfigSet,
    Intent,
    Objectives,
    Operator,
    Policy,
    Service,
    TargetOverride,
    Team,
)
from almondspindle.core.outcomes import Error, InvariantError, Ok, Result

COLLECTION_FIELDS = {
    ObjectKind.TEAM: "teams",
    ObjectKind.SERVICE: "services",
    ObjectKind.ZONE: "zones",
    ObjectKind.TARGET: "targets",
    ObjectKind.OPERATOR: "operators",
}
OBJECT_CLASSES: dict[ObjectKind, type] = {
    ObjectKind.TEAM: Team,
    ObjectKind.SERVICE: Service,
    ObjectKind.ZONE: AvailabilityZone,
    ObjectKind.TARGET: TargetOverride,
    ObjectKind.OPERATOR: Operator,
}
NESTED_CLASSES: dict[str, Any] = {"policy": Policy, "objectives": Objectives}

ChangeResult = Result[ConfigSet, ChangeError]


def apply_changes(config: ConfigSet, changes: Iterable[Change]) -> ChangeResult:
    """Return `config` after all `changes` in order, or the error of the first that is refused."""
    for change in changes:
        outcome = apply_change(change, config)
        if outcome.is_error():
            return outcome
        config = outcome.ok
    return Ok(config)


@singledispatch
def apply_change(change: object, config: ConfigSet) -> ChangeResult:
    """Return `config` with `change` applied, or the reason for refusing it."""
    raise InvariantError(f"unexpected change type {type(change).__name__}")


@apply_change.register
def _(change: CreateObject, config: ConfigSet) -> ChangeResult:
    if change.name in _objects(config, change.kind):
        text = f"{change.kind} {change.name!r} already exists"
        return Error(ChangeError(ChangeErrorCode.EXISTS, text, "set its fields instead"))
    missing = [name for name in _required_fields(change.kind) if name not in change.fields]
    if missing:
        text = f"{change.kind} {change.name!r} lacks required fields: {', '.join(missing)}"
        return Error(ChangeError(ChangeErrorCode.INVALID, text, "set a value for each of them"))
    direct = {key: value for key, value in change.fields.items() if "." not in key}
    nested = {key: value for key, value in change.fields.items() if "." in key}
    unknown = _unknown_fields(OBJECT_CLASSES[change.kind], direct)
    if unknown is not None:
        return Error(unknown)
    created = OBJECT_CLASSES[change.kind](name=change.name, **_convert_values(direct))
    return _replace_fields(created, nested).map(
        lambda updated: put_object(config, change.kind, change.name, updated)
    )


@apply_change.register
def _(change: SetFields, config: ConfigSet) -> ChangeResult:
    return _find_object(config, change.kind, change.name).bind(
        lambda existing: _replace_fields(existing, change.fields).map(
            lambda updated: put_object(config, change.kind, change.name, updated)
        )
    )


@apply_change.register
def _(change: DeleteObject, config: ConfigSet) -> ChangeResult:
    return _find_object(config, change.kind, change.name).map(
        lambda _: put_object(config, change.kind, change.name, None)
    )


@apply_change.register
def _(change: TakeOut, config: ConfigSet) -> ChangeResult:
    return _set_intent(config, change.kind, change.name, Intent.OUT)


@apply_change.register
def _(change: BringBack, config: ConfigSet) -> ChangeResult:
    return _set_intent(config, change.kind, change.name, Intent.IN)


@apply_change.register
def _(change: PutObject, config: ConfigSet) -> ChangeResult:
    existing = _objects(config, change.kind).get(change.name)
    values = dict(change.fields)
    if existing is not None and hasattr(existing, "intent"):
        values.setdefault("intent", existing.intent)
    without_object = put_object(config, change.kind, change.name, None)
    return apply_change(CreateObject(change.kind, change.name, values), without_object)


@apply_change.register
def _(change: ReplaceAll, config: ConfigSet) -> ChangeResult:
    return Ok(replace(change.config, version=config.version))


def put_object(config: ConfigSet, kind: ObjectKind, name: str, value: object | None) -> ConfigSet:
    """Return `config` with `value` stored as object `name`; None removes the object."""
    objects = dict(_objects(config, kind))
    if value is None:
        objects.pop(name, None)
    else:
        objects[name] = value
    changed: dict[str, Any] = {COLLECTION_FIELDS[kind]: objects}
    return replace(config, **changed)


def _objects(config: ConfigSet, kind: ObjectKind) -> dict[str, Any]:
    return getattr(config, COLLECTION_FIELDS[kind])


def _find_object(config: ConfigSet, kind: ObjectKind, name: str) -> Result[Any, ChangeError]:
    objects = _objects(config, kind)
    if name in objects:
        return Ok(objects[name])
    known = ", ".join(sorted(objects)) or "none"
    text = f"unknown {kind} {name!r}"
    return Error(ChangeError(ChangeErrorCode.UNKNOWN_OBJECT, text, f"known: {known}"))


def _set_intent(config: ConfigSet, kind: ObjectKind, name: str, intent: Intent) -> ChangeResult:
    if kind not in (ObjectKind.ZONE, ObjectKind.TARGET):
        text = f"a {kind} can't be taken out or brought back"
        return Error(ChangeError(ChangeErrorCode.INVALID, text, "name a zone or a target"))
    if kind is ObjectKind.TARGET and name not in config.targets:
        # The configuration has no object for a target that no operator has configured yet.
        return Ok(put_object(config, kind, name, OBJECT_CLASSES[kind](name=name, intent=intent)))
    return _find_object(config, kind, name).map(
        lambda existing: put_object(config, kind, name, replace(existing, intent=intent))
    )


def _required_fields(kind: ObjectKind) -> list[str]:
    return [
        item.name
        for item in fields(OBJECT_CLASSES[kind])
        if item.name != "name" and item.default is MISSING and item.default_factory is MISSING
    ]


def _unknown_fields(cls: type, names: Mapping[str, object]) -> ChangeError | None:
    known = {item.name for item in fields(cls)} - {"name"}
    unknown = sorted(set(names) - known)
    if not unknown:
        return None
    text = f"unknown field: {', '.join(unknown)}"
    return ChangeError(ChangeErrorCode.UNKNOWN_FIELD, text, f"known: {', '.join(sorted(known))}")


def _convert_values(values: Mapping[str, object]) -> dict[str, Any]:
    return {key: _convert_value(key, value) for key, value in values.items()}


def _convert_value(key: str, value: object) -> object:
    if key in NESTED_CLASSES and isinstance(value, Mapping):
        return NESTED_CLASSES[key](**value)
    return tuple(value) if isinstance(value, list) else value


def _replace_fields(obj: Any, values: Mapping[str, object]) -> Result[Any, ChangeError]:
    for key, value in values.items():
        head, _, rest = key.partition(".")
        unknown = _unknown_fields(type(obj), {head: value})
        if unknown is not None:
            return Error(unknown)
        if not rest:
            obj = replace(obj, **{head: _convert_value(head, value)})
            continue
        inner = getattr(obj, head)
        if not is_dataclass(inner):
            text = f"{head!r} has no nested fields"
            return Error(ChangeError(ChangeErrorCode.UNKNOWN_FIELD, text, f"set {head} itself"))
        changed = _replace_fields(inner, {rest: value})
        if changed.is_error():
            return changed
        obj = replace(obj, **{head: changed.ok})
    return Ok(obj)
