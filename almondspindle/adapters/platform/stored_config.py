"""Encode and decode the stored configuration, its change feed and its history."""

from dataclasses import replace
from typing import Annotated, Any

from pydantic import Field, ValidationError

from almondspindle.adapters.platform.models import (
    ConfigModel,
    Name,
    OperatorModel,
    ServiceModel,
    StrictModel,
    TargetModel,
    TeamModel,
    ZoneModel,
    config_from_model,
    describe_validation_error,
    service_from_model,
)
from almondspindle.core.changes import ConfigDelta, HistoryEntry
from almondspindle.core.config import AvailabilityZone, ConfigSet, Operator, TargetOverride, Team
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.stored_config import ChangeFeed, StoredConfig

CONFIG_OBJECT = "config/current"
FEED_OBJECT = "config/changes"
HISTORY_PREFIX = "config/history/"
VERSION_DIGITS = 12
Version = Annotated[int, Field(ge=0)]


class DeltaModel(StrictModel):
    """The stored form of `ConfigDelta`. A deleted object is null."""

    base: Version
    version: Version
    teams: dict[Name, TeamModel | None] = {}
    services: dict[Name, ServiceModel | None] = {}
    zones: dict[Name, ZoneModel | None] = {}
    targets: dict[Name, TargetModel | None] = {}
    operators: dict[Name, OperatorModel | None] = {}
    base_nonce: str = ""
    nonce: str = ""


class HistoryModel(StrictModel):
    """The stored form of `HistoryEntry`."""

    version: Version
    previous: Version
    nonce: str
    operator: str
    at: float
    forward: DeltaModel
    backward: DeltaModel


class StoredConfigModel(ConfigModel):
    """The stored form of `StoredConfig`.

    `revision` is the configuration's version. If it is 0, the version is the store's version of
    the object.
    """

    revision: Version = 0
    recent: list[HistoryModel] = []


class HistorySegmentModel(StrictModel):
    """Accepted changes that were moved out of the stored configuration into a history object."""

    entries: list[HistoryModel]


class FeedModel(StrictModel):
    """The stored form of `ChangeFeed`, in a separate object that is small enough to watch."""

    version: Version
    store_version: Version
    entries: list[HistoryModel] = []


def parse_stored(value: bytes, store_version: int) -> Result[StoredConfig, str]:
    """Return the stored configuration in `value`, or an error message."""
    try:
        model = StoredConfigModel.model_validate_json(value)
    except ValidationError as exc:
        return Error(describe_validation_error(exc))
    config = config_from_model(model, model.revision or store_version)
    recent = tuple(_to_history_entry(item) for item in model.recent)
    if recent and recent[-1].version == config.version:
        config = replace(config, nonce=recent[-1].nonce)
    return Ok(StoredConfig(config, store_version, recent))


def parse_config(value: bytes, version: int) -> Result[ConfigSet, str]:
    """Return the configuration in the stored object `value`, or an error message."""
    return parse_stored(value, version).map(lambda stored: stored.config)


def validate_config(config: ConfigSet) -> Result[ConfigSet, str]:
    """Validate `config`; return it with each value converted to its type, or an error message."""
    try:
        model = ConfigModel.model_validate(_object_lists(config), from_attributes=True)
    except ValidationError as exc:
        return Error(describe_validation_error(exc))
    return Ok(replace(config_from_model(model, config.version), nonce=config.nonce))


def parse_document(value: bytes) -> Result[ConfigSet, str]:
    """Return the configuration in an exported document, with version 0, or an error message."""
    try:
        return Ok(config_from_model(ConfigModel.model_validate_json(value), 0))
    except ValidationError as exc:
        return Error(describe_validation_error(exc))


def dump_stored(config: ConfigSet, recent: tuple[HistoryEntry, ...]) -> bytes:
    """Return the value of the object that stores `config` with its latest changes."""
    fields = {**_object_lists(config), "revision": config.version, "recent": list(recent)}
    model = StoredConfigModel.model_validate(fields, from_attributes=True)
    return model.model_dump_json(exclude_defaults=True).encode()


def dump_feed(feed: ChangeFeed) -> bytes:
    """Return the value of the object that hosts watch for changes."""
    model = FeedModel.model_validate(feed, from_attributes=True)
    return model.model_dump_json(exclude_defaults=True).encode()


def parse_feed(value: bytes) -> Result[ChangeFeed, str]:
    """Return the change feed in `value`, or an error message."""
    try:
        model = FeedModel.model_validate_json(value)
    except ValidationError as exc:
        return Error(describe_validation_error(exc))
    return Ok(
        ChangeFeed(model.version, model.store_version, tuple(map(_to_history_entry, model.entries)))
    )


def history_object_name(entries: tuple[HistoryEntry, ...]) -> str:
    """Return the name of the object that holds `entries`. Names sort by version."""
    return f"{HISTORY_PREFIX}{entries[0].version:0{VERSION_DIGITS}d}-{entries[0].nonce}"


def dump_history(entries: tuple[HistoryEntry, ...]) -> bytes:
    """Return the value of a history object that holds `entries`."""
    model = HistorySegmentModel.model_validate({"entries": list(entries)}, from_attributes=True)
    return model.model_dump_json(exclude_defaults=True).encode()


def parse_history(value: bytes) -> Result[tuple[HistoryEntry, ...], str]:
    """Return the accepted changes in the history object `value`, or an error message."""
    try:
        model = HistorySegmentModel.model_validate_json(value)
    except ValidationError as exc:
        return Error(describe_validation_error(exc))
    return Ok(tuple(_to_history_entry(item) for item in model.entries))


def _object_lists(config: ConfigSet) -> dict[str, list[Any]]:
    return {
        "teams": list(config.teams.values()),
        "services": list(config.services.values()),
        "zones": list(config.zones.values()),
        "targets": list(config.targets.values()),
        "operators": list(config.operators.values()),
    }


def _to_history_entry(model: HistoryModel) -> HistoryEntry:
    return HistoryEntry(
        model.version,
        model.previous,
        model.nonce,
        model.operator,
        model.at,
        _to_config_delta(model.forward),
        _to_config_delta(model.backward),
    )


def _to_config_delta(model: DeltaModel) -> ConfigDelta:
    objects: dict[str, Any] = {
        "teams": {k: m and Team(**m.model_dump()) for k, m in model.teams.items()},
        "services": {k: m and service_from_model(m) for k, m in model.services.items()},
        "zones": {k: m and AvailabilityZone(**m.model_dump()) for k, m in model.zones.items()},
        "targets": {k: m and TargetOverride(**m.model_dump()) for k, m in model.targets.items()},
        "operators": {k: m and Operator(**m.model_dump()) for k, m in model.operators.items()},
    }
    return ConfigDelta(
        model.base, model.version, base_nonce=model.base_nonce, nonce=model.nonce, **objects
    )
