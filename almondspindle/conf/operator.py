"""Settings of almondspindle, the command line for operators."""

from typing import Literal

from pydantic import Field, SecretStr

from almondspindle.conf.base import ProgramCfg


class OperatorCfg(ProgramCfg):
    """Settings of the command line for operators."""

    platform: str = Field(
        pattern=r"^http://[^/]+/?$", description="Base URL of the platform's HTTP API."
    )
    token: SecretStr | None = Field(None, description="Token of the operator.")
    output: Literal["text", "json"] = Field("text", description="Output format: text or json.")
    wait_bound_s: float = Field(
        30.0, gt=0, description="Longest wait until a version is in force on all hosts, seconds."
    )
