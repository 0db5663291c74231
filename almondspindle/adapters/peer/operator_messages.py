"""Messages with which the operators' command line queries routers."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ChatId, HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.target_reports import TargetReport


@dataclass(frozen=True, slots=True)
class TargetReportsRequest:
    """Request a router's reports on the targets that it owns."""


@dataclass(frozen=True, slots=True)
class TargetReports:
    """The reports of one router on the targets that it owns."""

    reports: tuple[TargetReport, ...]


@dataclass(frozen=True, slots=True)
class CandidatesRequest:
    """Request the candidates for a chat from any router, in the order in which entries try them."""

    service: ServiceName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class CandidateInfo:
    """A target that may serve the chat. `owner_address` is its owner's peer address, "ip:port"."""

    target: TargetName
    zone: ZoneName
    owner: HostName
    owner_address: str


@dataclass(frozen=True, slots=True)
class CandidatesResponse:
    """The candidates for a chat under `config_version`.

    If there are none, `why` is the reason if it is known. Otherwise it is empty.
    """

    config_version: int
    candidates: tuple[CandidateInfo, ...]
    why: str = ""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Query whether the owner of `target` would admit a chat now."""

    target: TargetName
    service: ServiceName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class AdmissionResponse:
    """The response to an `AdmissionRequest`.

    `why` says why the chat would be refused. It is empty if the chat would be admitted.
    """

    why: str
