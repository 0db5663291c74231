"""Show the configuration version, the hosts and the availability zones."""

from almondspindle.commands.base import FleetCommand
from almondspindle.language.replies import Listing, Problem, Reply, StatusShown
from almondspindle.language.run import run
from almondspindle.language.statements import Query, Source
from almondspindle.operations.fleet import RemoteFleet


class StatusCommand(FleetCommand):
    """Show an overview of the fleet."""

    name = "status"
    description = "Show the configuration version, hosts and availability zones."

    def handle(self) -> int:
        """Print the status and return the exit code."""
        return self.run_action(_status)


async def _status(fleet: RemoteFleet) -> Reply:
    config = await fleet.read_config()
    if config.is_error():
        return config.error
    hosts = await run(Query(Source.HOSTS), fleet)
    zones = await run(Query(Source.ZONES), fleet)
    if isinstance(hosts, Listing) and isinstance(zones, Listing):
        return StatusShown(config.ok.version, hosts, zones)
    return hosts if isinstance(hosts, Problem) else zones
