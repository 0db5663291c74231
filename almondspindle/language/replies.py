"""Replies to statements and to commands of the command line."""

from dataclasses import dataclass
from enum import IntEnum

from almondspindle.core.checks import Finding
from almondspindle.language.select import Table


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    LAGGING = 5
    UNKNOWN = 6


@dataclass(frozen=True, slots=True)
class LaggingHost:
    """A live host on which a version is not yet in force, with the reason."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The changes of a command are in the store as of `version`.

    `changed` is False when the configuration already had the requested values. `waited` is True
    if the command waited for the version to be in force; `lagging` then lists the hosts on which
    it was not when the wait timed out.
    """

    version: int
    changed: bool
    waited: bool = False
    lagging: tuple[LaggingHost, ...] = ()


@dataclass(frozen=True, slots=True)
class Listing:
    """The result of a query, with a note for each host whose data is missing."""

    table: Table
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CandidateFate:
    """A candidate target of a chat. `why` is the reason it would refuse the chat now, or empty."""

    target: str
    zone: str
    owner: str
    why: str


@dataclass(frozen=True, slots=True)
class ChatExplained:
    """The routing of a chat: `candidates` in the order in which an entry tries them."""

    chat_id: str
    service: str
    config_version: int
    candidates: tuple[CandidateFate, ...]

    @property
    def chosen(self) -> CandidateFate | None:
        """Return the first candidate that would admit the chat now, or None."""
        return next((item for item in self.candidates if not item.why), None)


@dataclass(frozen=True, slots=True)
class KeyExplained:
    """The state of a key by its claim record. `lines` describe its latest attempt."""

    key: str
    state: str
    run_state: str
    lines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DryRunShown:
    """The changes that a document would make to the stored `version`, one per line."""

    version: int
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Exported:
    """The stored configuration as a document."""

    document: str


@dataclass(frozen=True, slots=True)
class ChangeShown:
    """An accepted change. `at` is the time in seconds since the Unix epoch."""

    version: int
    at: float
    operator: str
    nonce: str
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HistoryShown:
    """Accepted changes, newest first."""

    changes: tuple[ChangeShown, ...]


@dataclass(frozen=True, slots=True)
class StatusShown:
    """The stored configuration version, the hosts and the availability zones."""

    version: int
    hosts: Listing
    zones: Listing


@dataclass(frozen=True, slots=True)
class CheckShown:
    """The findings of the numbered checks."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """The failure of a statement, with a hint on how to solve it."""

    exit_code: ExitCode
    message: str
    hint: str = ""


Reply = (
    ChangeAccepted
    | Listing
    | ChatExplained
    | KeyExplained
    | DryRunShown
    | Exported
    | HistoryShown
    | StatusShown
    | CheckShown
    | Problem
)
