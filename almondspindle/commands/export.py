"""Print the stored configuration as a document for `apply`."""

from almondspindle.commands.base import FleetCommand
from almondspindle.language.document import export_document
from almondspindle.language.replies import Exported, Reply
from almondspindle.operations.fleet import RemoteFleet


class ExportCommand(FleetCommand):
    """Export the stored configuration."""

    name = "export"
    description = "Print the stored configuration as a document for `apply`."

    def handle(self) -> int:
        """Print the document and return the exit code."""
        return self.run_action(_export)


async def _export(fleet: RemoteFleet) -> Reply:
    config = await fleet.read_config()
    return Exported(export_document(config.ok)) if config.is_ok() else config.error
