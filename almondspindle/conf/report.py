"""Settings of almondspindle-report."""

from typing import Literal

from pydantic import Field

from almondspindle.conf.base import ProgramCfg


class ReportCfg(ProgramCfg):
    """Settings of the report on error budgets."""

    platform: str = Field(
        pattern=r"^http://[^/]+/?$", description="Base URL of the platform's HTTP API."
    )
    output: Literal["text", "json"] = Field("text", description="Output format: text or json.")
