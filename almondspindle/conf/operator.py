"""Settings of the operators' command line."""

from typing import Literal

from pydantic import Field, SecretStr

from almondspindle.conf.base import ProgramCfg


class OperatorCfg(ProgramCfg):
    """Settings of almondspindle."""

    platform: str = Field(
        pattern=r"^http://[^/]+/?$", description="Base URL of the platform's service."
    )
    token: SecretStr | None = Field(None, description="Token of the operator.")
    output: Literal["text", "json"] = Field("text", description="Form of the output.")
    wait_bound_s: float = Field(
        30.0, gt=0, description="Longest wait until a version is in force everywhere, seconds."
    )
