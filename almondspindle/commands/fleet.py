"""What commands that talk to a fleet share: the option for the platform, and the operator."""

import getpass

from cleo.helpers import option
from cleo.io.inputs.option import Option

from almondspindle.adapters.peer.config_link import PeerConfigLink
from almondspindle.adapters.platform.http import HttpPlatform
from almondspindle.controllers.configuration.operators import ConfigOperator
from almondspindle.core.clock import SystemClock

EXIT_REFUSED = 1
EXIT_UNAVAILABLE = 3


def platform_option() -> Option:
    """Return the option that names the platform's service."""
    return option("platform", None, "Base URL of the platform's service.", flag=False)


def make_operator(url: str) -> ConfigOperator:
    """Return the operator's side of the configuration, for the platform at `url`."""
    return ConfigOperator(HttpPlatform(url), PeerConfigLink(), SystemClock())


def operator_name() -> str:
    """Return the name under which changes stand in the history."""
    return getpass.getuser()
