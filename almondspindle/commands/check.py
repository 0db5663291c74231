"""Check the configuration against the fleet."""

from almondspindle.commands.base import FleetCommand
from almondspindle.core.checks import run_checks
from almondspindle.language.replies import CheckShown, Reply
from almondspindle.operations import checks  # noqa: F401  importing registers the checks
from almondspindle.operations.fleet import OperatedFleet


class CheckCommand(FleetCommand):
    """Run the numbered checks."""

    name = "check"
    description = "Check the configuration against the fleet; list findings with hints."

    def handle(self) -> int:
        """Print the findings and return the exit code."""
        return self.act(_check)


async def _check(fleet: OperatedFleet) -> Reply:
    picture = await fleet.picture()
    if picture.is_error():
        return picture.error
    return CheckShown(tuple(run_checks(picture.ok)))
