"""What comes back from a statement, as data classes."""

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
    """A live host that does not have a version in force, and why."""

    host: str
    reason: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """A command's changes are in the store under `version`.

    `waited` tells whether the command waited; then `lagging` lists the hosts that were late.
    `changed` is False when the configuration already was as asked.
    """

    version: int
    changed: bool
    waited: bool = False
    lagging: tuple[LaggingHost, ...] = ()


@dataclass(frozen=True, slots=True)
class Listing:
    """The answer to a query, and what could not be asked."""

    table: Table
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CandidateFate:
    """One target in the order of a chat; `why` is the reason for a refusal now, or empty."""

    target: str
    zone: str
    owner: str
    why: str


@dataclass(frozen=True, slots=True)
class ChatExplained:
    """Where a chat goes: `candidates` in the order in which an entry tries them."""

    chat_id: str
    service: str
    config_version: int
    candidates: tuple[CandidateFate, ...]

    @property
    def chosen(self) -> CandidateFate | None:
        """Return the first candidate that would admit the chat now."""
        return next((item for item in self.candidates if not item.why), None)


@dataclass(frozen=True, slots=True)
class KeyExplained:
    """What the claim record says of a key. `lines` tell its attempts in order."""

    key: str
    state: str
    run_state: str
    lines: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DryRunShown:
    """What a document would do to the stored version; nothing was changed."""

    version: int
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Exported:
    """The configuration as a document."""

    document: str


@dataclass(frozen=True, slots=True)
class ChangeShown:
    """An accepted change. `at` is in seconds since the Unix epoch."""

    version: int
    at: float
    operator: str
    nonce: str
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HistoryShown:
    """Accepted changes, the latest one first."""

    changes: tuple[ChangeShown, ...]


@dataclass(frozen=True, slots=True)
class StatusShown:
    """The stored version, the hosts and the availability zones."""

    version: int
    hosts: Listing
    zones: Listing


@dataclass(frozen=True, slots=True)
class CheckShown:
    """What the numbered checks found."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """A statement that was not carried out, and what to do about it."""

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
