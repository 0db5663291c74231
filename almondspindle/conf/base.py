"""Base classes of the settings, and the function that reads them."""

import sys
from collections.abc import Sequence
from typing import Annotated, TypeVar

from pydantic import Field, ValidationError
from pydantic_settings import BaseSettings, CliApp, SettingsConfigDict

from almondspindle.core.exit_codes import EXIT_BAD_SETTINGS

ENV_PREFIX = "ALMONDSPINDLE_"

Address = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

CfgT = TypeVar("CfgT", bound="ProgramCfg")


class ProgramCfg(BaseSettings):
    """Base class for the settings of a program. Flags override environment variables."""

    model_config = SettingsConfigDict(
        env_prefix=ENV_PREFIX, cli_kebab_case=True, cli_implicit_flags=True, extra="ignore"
    )


class DaemonCfg(ProgramCfg):
    """Base class for the settings of a daemon."""

    host: Name = Field(description="Name of this host.")
    zone: Name = Field(description="Availability zone of this host.")
    statsd: Address | None = Field(None, description="Address of the StatsD server, ip:port.")


def load_settings(cls: type[CfgT], argv: Sequence[str] | None = None) -> CfgT:
    """Read the settings `cls` from flags and environment variables.

    `argv` defaults to the arguments of this process. If any setting is invalid, print all errors to
    stderr and exit with status 2.
    """
    args = list(sys.argv[1:] if argv is None else argv)
    try:
        return CliApp.run(cls, cli_args=args, cli_cmd_method_name="settings_only")
    except ValidationError as exc:
        for error in exc.errors(include_url=False):
            name = str(error["loc"][0]) if error["loc"] else "settings"
            flag = "--" + name.replace("_", "-")
            print(f"{flag} ({ENV_PREFIX}{name.upper()}): {error['msg']}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
