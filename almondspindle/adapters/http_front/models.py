"""Validated models of callers' requests."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from almondspindle.adapters.platform.models import describe_validation_error
from almondspindle.core.outcomes import Ok, Outcome, RefusalCode, refused


class ChatRequestModel(BaseModel):
    """The fields of a chat request that the entry validates. The target checks the others."""

    model_config = ConfigDict(extra="allow")

    model: Annotated[str, Field(min_length=1, max_length=63)]
    messages: Annotated[list[dict], Field(min_length=1)]
    stream: bool = False


def parse_chat(body: bytes) -> Outcome[ChatRequestModel]:
    """Return the chat request in `body`, or a refusal that states the fault."""
    try:
        return Ok(ChatRequestModel.model_validate_json(body))
    except ValidationError as exc:
        return refused(
            RefusalCode.MALFORMED_REQUEST, f"invalid chat request: {describe_validation_error(exc)}"
        )
