"""Validated models of what callers send."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from almondspindle.adapters.platform.models import describe_validation_error
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused


class ChatRequestModel(BaseModel):
    """The part of a chat request that routing needs; the rest goes to the target as it is."""

    model_config = ConfigDict(extra="allow")

    model: Annotated[str, Field(min_length=1, max_length=63)]
    messages: Annotated[list[dict], Field(min_length=1)]
    stream: bool = False


def parse_chat(body: bytes) -> Outcome[ChatRequestModel]:
    """Return the chat request in `body`, or a refusal that says what to mend."""
    try:
        return Ok(ChatRequestModel.model_validate_json(body))
    except ValidationError as exc:
        return refused(
            RefusalCode.MALFORMED_REQUEST, f"the chat request: {describe_validation_error(exc)}"
        )
