"""What the operators' command line asks routers, as data classes."""

from dataclasses import dataclass

from almondspindle.core.identifiers import ChatId, HostName, ServiceName, TargetName, ZoneName
from almondspindle.core.target_reports import TargetReport


@dataclass(frozen=True, slots=True)
class TargetReportsRequest:
    """Ask a router what it knows of the targets that it owns."""


@dataclass(frozen=True, slots=True)
class TargetReports:
    """The owned targets of one router."""

    reports: tuple[TargetReport, ...]


@dataclass(frozen=True, slots=True)
class CandidatesRequest:
    """Ask any router for the candidates of a chat, in the order in which entries try them."""

    service: ServiceName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class CandidateTold:
    """One candidate. `owner_address` is the peer address of its owner as "ip:port"."""

    target: TargetName
    zone: ZoneName
    owner: HostName
    owner_address: str


@dataclass(frozen=True, slots=True)
class CandidatesTold:
    """The candidates by one configuration version; `why` is set when there are none."""

    config_version: int
    candidates: tuple[CandidateTold, ...]
    why: str = ""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Ask the owner of `target` whether it would admit a chat now."""

    target: TargetName
    service: ServiceName
    chat_id: ChatId


@dataclass(frozen=True, slots=True)
class AdmissionTold:
    """Why the chat would be refused; empty when it would be admitted."""

    why: str
