"""The request that passes through the filter chain, and the parts of its response."""

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
from almondspindle.core.rollouts import VersionChoice

if TYPE_CHECKING:
    from almondspindle.core.prompts import Prompt
    from almondspindle.core.routes import Route

Headers = tuple[tuple[str, str], ...]


class WorkKind(StrEnum):
    """The kind of a request. It determines what may be done after a failed attempt."""

    CHAT = "chat"
    READ = "read"
    COMMIT = "commit"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve a request, and the host that owns the target.

    `owner_address` is the owner's peer address, "ip:port".
    """

    target: TargetName
    owner: HostName
    owner_address: str


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request. Each filter returns a copy with the fields that it determined.

    `deadline_at` is in seconds on this process's monotonic clock. `ticket` identifies the
    reservation at the target. `resume_after` is set when the call resumes a stream; it is the
    number of the last event that the caller received. `others_declined` is set when every
    candidate has declined the call, at least one of them because it is starting.

    The fields from `authority` on are set for calls that match a route of the route table;
    `bearer_token` then holds the caller's API key. `priority` 0 is the most urgent. `copy_from`
    is the address of a target from which the call's target may copy the prompt. `version` is the
    one whose targets may get the call while its service is moved to another version.
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
    content_id: str = ""
    version: VersionChoice = VersionChoice.ANY
    avoided_addresses: frozenset[str] = frozenset()

    def header(self, name: str) -> str | None:
        """Return the value of the first header `name`, ignoring case, or None."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts that other calls may share, none without a prompt."""
        return self.prompt.shared_parts if self.prompt else ()

    @property
    def content_ids(self) -> frozenset[str]:
        """Return what may be blamed for a crash: the shared prompt parts, and the whole content."""
        return frozenset(filter(None, (*self.shared_parts, self.content_id)))

    def copy_with(self, **changes: object) -> "Call":
        """Return a copy of the call with `changes` applied."""
        return replace(self, **changes)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a response, and the target that sent it.

    `length` is the body's length in bytes, or None if it is not known in advance.
    """

    status: int
    headers: Headers
    target: TargetName
    length: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """The next piece of a response's body.

    `last_event` is the number of the last stream event in `data`, or None if events have none.
    """

    data: bytes
    last_event: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response: every part of it has been written."""


ResponsePart = ResponseHead | ResponseChunk | ResponseEnd


class ResponseSink(Protocol):
    """The destination of a response. A write waits while the reader is slow."""

    async def write(self, part: ResponsePart) -> None:
        """Write `part`.

        Raise `CallerDisconnected` if the reader has closed its connection.
        """
        ...


class CallerDisconnected(Exception):
    """The reader of a response has closed its connection."""


@dataclass(frozen=True, slots=True)
class Completion:
    """How a call ended: `refusal` is None after a complete response.

    `started` tells whether a response head was written.
    """

    started: bool
    refusal: Refusal | None = None
