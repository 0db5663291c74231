"""The prompt of a request, as described by the caller."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share. `tokens` is its length."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt for `model`.

    `tokens_in` and `tokens_out` are the lengths of the prompt and of its completion. The last of
    `parts` is used only by this request or its session.
    """

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def shared_key(self) -> str:
        """Return the id of the last part that other requests may share, or "" without parts."""
        if not self.parts:
            return ""
        return self.parts[-2 if len(self.parts) > 1 else -1].part_id
