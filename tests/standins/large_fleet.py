"""One real host in a fleet of the designed size; all other hosts are only entries of the list."""

from tests.standins.caller import Caller, wait_ready
from tests.standins.fleet import SAMPLE_CONFIG, Fleet, token_hash

BYTES_PER_MB = 1024.0 * 1024.0
HOST_ZONES = {"entry-1": "walvis-a"}
ZONES = [zone["name"] for zone in SAMPLE_CONFIG["zones"]]


def config_with_teams(teams: int, config: dict) -> dict:
    """Return `config` with `teams` additional teams."""
    added = [{"name": f"team-{n}", "token_sha256": token_hash(f"token-{n}")} for n in range(teams)]
    return {**config, "teams": [*SAMPLE_CONFIG["teams"], *added]}


def add_unresponsive_entries(fleet: Fleet, targets: int, hosts: int) -> None:
    """Add `targets` targets and `hosts` - 1 unresponsive hosts to the platform's list."""
    for number in range(targets):
        address = f"127.0.{number // 250}.{number % 250 + 1}:9"
        zone = ZONES[number % len(ZONES)]
        fleet._add_to_list(f"forecast-{number}", "forecast-llm", zone, address)
    for number in range(1, hosts):
        entry = {"role": "router", "name": f"node-{number}", "zone": ZONES[number % len(ZONES)]}
        address = f"127.1.{number // 250}.{number % 250 + 1}:9"
        fleet.store.state.host_list.append({**entry, "address": address})


async def resident_mb(
    targets: int, teams: int, hosts: int, config: dict = SAMPLE_CONFIG
) -> dict[str, float]:
    """Return the resident memory in MB of a router and an entry in a fleet of the given size.

    The router finds only one listed host unresponsive per probe period, so at the time of the
    reading the listed hosts still own their shares of the targets.
    """
    async with Fleet() as fleet:
        fleet.configure(config_with_teams(teams, config))
        add_unresponsive_entries(fleet, targets, hosts)
        await fleet.add_hosts(HOST_ZONES)
        host = fleet.hosts["entry-1"]
        await wait_ready(Caller(host.entry.address))
        processes = {"router": host.router, "entry": host.entry}
        return {name: p.rss_bytes() / BYTES_PER_MB for name, p in processes.items()}
