"""Restore the configuration to a store that has lost it, from the hosts."""

from almondspindle.commands.base import FleetCommand
from almondspindle.language.replies import Reply
from almondspindle.operations.fleet import RemoteFleet


class RestoreCommand(FleetCommand):
    """Write the highest configuration version in force on any host back to the store."""

    name = "restore"
    description = "Write the configuration in force on the hosts back to the store."

    def handle(self) -> int:
        """Restore the configuration and return the exit code."""
        return self.run_action(_restore)


async def _restore(fleet: RemoteFleet) -> Reply:
    outcome = await fleet.restore()
    return outcome.ok if outcome.is_ok() else outcome.error
