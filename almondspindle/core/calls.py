"""The request that walks the filter chain, and the parts of its answer."""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from almondspindle.core.identifiers import (
    ChatId,
    HostName,
    RequestId,
    ServiceName,
    TargetName,
    TeamName,
)
from almondspindle.core.outcomes import Refusal

if TYPE_CHECKING:
    from almondspindle.core.prompts import Prompt
    from almondspindle.core.routes import Route

Headers = tuple[tuple[str, str], ...]


class WorkKind(StrEnum):
    """How a request may be treated when an attempt fails."""

    CHAT = "chat"
    READ = "read"
    COMMIT = "commit"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve a request, with the host that owns it.

    `owner_address` is the peer address of the owner as "ip:port".
    """

    target: TargetName
    owner: HostName
    owner_address: str


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request. Each filter returns a copy with what it has found out.

    `deadline_at` is in seconds on this process's monotonic clock. `resume_after` is the number of
    the last event that the caller has, when the call resumes a stream. `no_other` tells the owner
    of a target that no candidate took the call, some of them because they are starting. The fields
    from `authority` on are set for calls that match a route of the route table: `priority` 0 is
    the most urgent, and `bearer_token` then holds the caller's API key. `copy_from` is the address
    of a target that the call's target may copy the prompt from.
    """

    request_id: RequestId
    deadline_at: float
    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""
    bearer_token: str | None = None
    team: TeamName | None = None
    service: ServiceName | None = None
    target_path: str = ""
    work: WorkKind | None = None
    chat_id: ChatId | None = None
    idempotency_key: str | None = None
    claim_nonce: str | None = None
    candidates: tuple[Candidate, ...] = ()
    target: TargetName | None = None
    target_address: str = ""
    ticket: int | None = None
    resume_after: int | None = None
    others_declined: bool = False
    authority: str = ""
    route: "Route | None" = None
    prompt: "Prompt | None" = None
    priority: int | None = None
    copy_from: str | None = None

    def header(self, name: str) -> str | None:
        """Return the first header called `name`, compared without case, or None."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    def copy_with(self, **changes: object) -> "Call":
        """Return a copy of the call with `changes` applied."""
        return replace(self, **changes)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of an answer, and the target that gives it.

    `length` is the body's length in bytes, None where it is not known yet.
    """

    status: int
    headers: Headers
    target: TargetName
    length: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """A piece of an answer's body, in order.

    `last_event` is the number of the last event of a stream in the piece, None without numbers.
    """

    data: bytes
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end mark: the whole answer has been passed on."""


ResponsePart = ResponseHead | ResponseChunk | ResponseEnd


class ResponseSink(Protocol):
    """Where a chain's terminal writes the answer. A write waits while the reader is slow."""

    async def write(self, part: ResponsePart) -> None:
        """Pass on `part`.

        Raise `CallerGone` when nobody reads the answer any more.
        """
        ...


class CallerDisconnected(Exception):
    """The reader of an answer has closed its connection."""


@dataclass(frozen=True, slots=True)
class Completion:
    """How a terminal ended: `refusal` is None after a whole answer.

    `started` tells whether an answer head was passed on.
    """

    started: bool
    refusal: Refusal | None = None
