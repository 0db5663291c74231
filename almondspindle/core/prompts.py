"""The prompt of a request as its caller describes it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share, and its length in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt for `model`. The last of `parts` belongs to the request or its session alone."""

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_key(self) -> str:
        """Return the id of the last part that other requests may share, or an empty string."""
        if not self.parts:
            return ""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id
