"""Which hosts get a host's reports, and how loads reach the hosts of other zones.

The load that this answers: reports several times a second in a fleet of hundreds of hosts, where
bytes between zones are dear. In a small fleet every host reports to every other. In a large one a
host reports to hosts of its own zone. Two delegates a zone sum up the loads there and exchange the
sums with the delegates of other zones, so the bytes between zones grow with the number of zones and
not with that of hosts.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random

from almondspindle.core.identifiers import TargetName, ZoneName
from almondspindle.core.reports import AttemptCounts, HostReport, OutsideReport, ZoneReport
from almondspindle.core.rollouts import RolloutKey, RolloutProgress
from almondspindle.decisions.peer_pull import Peer, zone_delegates
from almondspindle.decisions.rollout_evidence import bound_tallies

REPORT_FANOUT = 8  # hosts that get each report; in a small fleet that is every other host
# In a large fleet one report in this many goes to another zone, too. Zones then learn of changes
# even if their delegates don't reach each other.
REPORTS_PER_CROSSING = 5

Loads = HostReport | ZoneReport | OutsideReport


def reports_to_all(host_count: int) -> bool:
    """Return whether each of `host_count` hosts reports to all others directly."""
    return host_count <= REPORT_FANOUT + 1


def report_receivers(
    zones: Mapping[str, ZoneName],
    own_zone: ZoneName,
    delegates: Collection[str],
    is_crossing: bool,
    rng: Random,
) -> list[str]:
    """Return the addresses that get a host's next report.

    `zones` maps the addresses of the other hosts to their zones, which are empty while unknown.
    `delegates` are the addresses of the other delegates of the host's own zone; they get every
    report, since they sum up the loads of the zone.
    """
    if reports_to_all(len(zones) + 1):
        return sorted(zones)
    in_zone = [address for address in sorted(zones) if zones[address] in (own_zone, "")]
    others = [address for address in in_zone if address not in delegates]
    sample_size = min(REPORT_FANOUT - len(delegates), len(others))
    receivers = [*delegates, *rng.sample(others, sample_size)]
    elsewhere = sorted(zones.keys() - in_zone)
    if is_crossing and elsewhere:
        receivers.append(rng.choice(elsewhere))
    return receivers


def zone_contact(hosts: Sequence[Peer], senders: Sequence[str], rng: Random) -> str | None:
    """Return the address in another zone that gets the next zone report, or None if there is none.

    `hosts` are those of that zone, up or down, and `senders` the addresses from which zone reports
    were received recently. Hosts that have just started may all take themselves for delegates, so
    the likely ones go first. Without any sender, another host is tried now and then.
    """
    likely = [peer.address for peer in zone_delegates(hosts)]
    known = [address for address in senders if address in likely]
    if known:
        return rng.choice(known)
    others = list(senders) or [rng.choice(hosts).address for _ in hosts[:1]]
    return rng.choice([*likely, *others]) if likely or others else None


def sum_in_flight(reports: Iterable[Loads]) -> dict[TargetName, int]:
    """Return the requests in flight at each target over all `reports`."""
    sums: dict[TargetName, int] = {}
    for report in reports:
        for target, count in report.in_flight.items():
            sums[target] = sums.get(target, 0) + count
    return sums


def sum_rollouts(reports: Iterable[Loads]) -> tuple[RolloutProgress, ...]:
    """Return what all `reports` together say of each roll-out."""
    by_key: dict[RolloutKey, list[RolloutProgress]] = {}
    for report in reports:
        for progress in report.rollouts:
            by_key.setdefault(progress.key, []).append(progress)
    return tuple(
        RolloutProgress(
            key,
            max(progress.age_s for progress in group),
            max(progress.stage for progress in group),
            sum(progress.requests for progress in group),
            sum(progress.exposed for progress in group),
            bound_tallies(tally for progress in group for tally in progress.tallies),
        )
        for key, group in by_key.items()
    )


def sum_failures(reports: Iterable[Loads]) -> dict[TargetName, AttemptCounts]:
    """Return the attempt counts of each target over all `reports`."""
    return _sum_counts(report.failures for report in reports)


def sum_paced(reports: Iterable[Loads]) -> dict[TargetName, AttemptCounts]:
    """Return the responses and late ones of each paced target over all `reports`."""
    return _sum_counts(report.paced for report in reports)


def _sum_counts(
    groups: Iterable[Mapping[TargetName, AttemptCounts]],
) -> dict[TargetName, AttemptCounts]:
    sums: dict[TargetName, AttemptCounts] = {}
    for group in groups:
        for target, counts in group.items():
            known = sums.get(target, AttemptCounts(0, 0))
            sums[target] = AttemptCounts(
                known.attempts + counts.attempts, known.errors + counts.errors
            )
    return sums
