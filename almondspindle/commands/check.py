"""Check the configuration against the fleet."""

from almondspindle.commands.base import FleetCommand
from almondspindle.core.checks import run_checks
from almondspindle.language.replies import CheckShown, Reply
from almondspindle.operations import checks  # noqa: F401  importing registers the checks
from almondspindle.operations.fleet import RemoteFleet


class CheckCommand(FleetCommand):
    """Run the numbered checks."""

    name = "check"
    description = "Check the configuration against the fleet; list findings with hints."

    def handle(self) -> int:
        """Print the findings and return the exit code."""
        return self.run_action(_check)


async def _check(fleet: RemoteFleet) -> Reply:
    snapshot = await fleet.read_snapshot()
    if snapshot.is_error():
        return snapshot.error
    return CheckShown(tuple(run_checks(snapshot.ok)))
