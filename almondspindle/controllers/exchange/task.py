"""The controller that owns the reports of the other hosts."""

import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from itertools import count
from typing import Any

from almondspindle.controllers.base import Controller, OnException
from almondspindle.controllers.exchange.messages import (
    GetMaxCopyAge,
    GetPeersAhead,
    GetProbeSharers,
    GetReportReceivers,
    GetWatchTurn,
    GetZoneRelay,
    OutsideReportReceived,
    PeerAhead,
    PullEnded,
    ReportReceived,
    ZoneRelay,
    ZoneReportReceived,
)
from almondspindle.controllers.placement.messages import PeerLeavingReported, PeerLoadsReported
from almondspindle.controllers.quarantine.messages import CrashNewsReceived
from almondspindle.controllers.rollouts.messages import PeerRolloutsReported
from almondspindle.controllers.settings import SettingsChanged
from almondspindle.controllers.view.messages import (
    HostsChanged,
    PeerContactReported,
    PeerCopiesReported,
)
from almondspindle.core.clock import Clock
from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import NO_REVISION, Revision, Topic
from almondspindle.core.node import NodeCfg
from almondspindle.core.reports import HostReport, OutsideReport, ZoneReport
from almondspindle.core.rollouts import RolloutProgress
from almondspindle.decisions.copy_age import max_copy_age_s, may_lack_removals
from almondspindle.decisions.peer_pull import (
    SILENCE_TTL_S,
    Peer,
    choose_source,
    is_pull_due,
    is_zone_delegate,
    zone_delegates,
)
from almondspindle.decisions.report_scope import (
    REPORTS_PER_CROSSING,
    report_receivers,
    reports_to_all,
    sum_failures,
    sum_in_flight,
    sum_paced,
    sum_rollouts,
    zone_contact,
)
from almondspindle.decisions.store_probing import RECOVERY_PROBE_S
from almondspindle.decisions.topic_watchers import (
    WHOLE_FLEET,
    WatcherGroup,
    WatchTurn,
    position_after_watchers,
    watch_turn,
)

# A host whose last report is older is assumed to be unreachable: nothing is pulled from it, and it
# isn't counted as a watcher of topics.
REPORT_TTL_S = 2.0
# The loads of other zones are passed on while the report on them is not older than this.
ZONE_REPORT_TTL_S = 1.5
# Stands for all hosts of other zones in the loads that the placement controller gets.
OUTSIDE = HostName("(other zones)")


class ExchangeController(Controller):
    """Own the latest report of each other host, and the addresses that reports are sent to.

    Until host records arrive, the addresses are those of the seeds in the settings, whose zones are
    unknown. Each change of the host records replaces them with the addresses in the records.
    Senders of reports and the seeds in changed settings are added, and stay until the next change
    of the records.

    `on_loads` gets the loads of other hosts and zones, none of them counted twice, `on_contact` the
    contact of other hosts with the store and the state of their copies, `on_crashes` what they know
    of crashes of targets, and `on_leaving` the targets of which they have learned that they are
    leaving. `on_rollouts` gets what they know of roll-outs, with no response counted twice.
    """

    on_exception = OnException.DROP

    def __init__(
        self,
        cfg: NodeCfg,
        clock: Clock,
        rng: random.Random,
        on_loads: Callable[[PeerLoadsReported], None] = lambda loads: None,
        on_contact: Callable[
            [PeerContactReported | PeerCopiesReported], None
        ] = lambda contact: None,
        on_crashes: Callable[[CrashNewsReceived], None] = lambda news: None,
        on_leaving: Callable[[PeerLeavingReported], None] = lambda leaving: None,
        on_rollouts: Callable[[PeerRolloutsReported], None] = lambda rollouts: None,
    ) -> None:
        super().__init__(clock)
        self._cfg = cfg
        self._rng = rng
        self._on_loads = on_loads
        self._on_contact = on_contact
        self._on_crashes = on_crashes
        self._on_leaving = on_leaving
        self._on_rollouts = on_rollouts
        self._reports: dict[HostName, tuple[float, HostReport]] = {}
        self._zone_reports: dict[HostName, tuple[float, ZoneReport]] = {}
        self._hosts: tuple[Peer, ...] = ()
        self._behind_since: dict[Topic, float] = {}
        self._silent: dict[str, float] = {}  # when peers, by address, were silent last
        self._store_regained_at = -math.inf  # by a peer
        self._own_address = f"{cfg.ip}:{cfg.peer_port}"
        self._zone_by_address = self._zones_of_seeds(cfg)
        self._report_numbers = count(1)

    def _zones_of_seeds(self, cfg: NodeCfg) -> dict[str, ZoneName]:
        addresses = {f"{ip}:{cfg.peer_port}" for ip in cfg.other_hosts} - {self._own_address}
        return dict.fromkeys(addresses, ZoneName(""))

    @singledispatchmethod
    def handle(self, msg: object, now: float) -> Any:
        """Handle a message from `exchange.messages`, or a change of the settings or the hosts."""
        return super().handle(msg, now)

    @handle.register
    def _(self, msg: SettingsChanged, now: float) -> None:
        self._zone_by_address = self._zones_of_seeds(msg.cfg) | self._zone_by_address

    @handle.register
    def _(self, msg: HostsChanged, now: float) -> None:
        records = [r for r in msg.hosts.values() if r.address != self._own_address]
        self._hosts = tuple(Peer(r.name, r.address, r.zone, r.link_mbps) for r in records)
        if msg.hosts:
            self._zone_by_address = {peer.address: peer.zone for peer in self._hosts}

    @handle.register
    def _(self, msg: ReportReceived, now: float) -> None:
        self._store_report(msg.report, now)

    @handle.register
    def _(self, msg: ZoneReportReceived, now: float) -> None:
        if msg.report.zone != self._cfg.zone:
            self._zone_reports[msg.report.host] = (now, msg.report)
            self._pass_news(msg.report)
            self._pass_rollouts(msg.report.host, _without_tallies(msg.report.rollouts))

    @handle.register
    def _(self, msg: OutsideReportReceived, now: float) -> None:
        if msg.report.sender.zone == self._cfg.zone:
            self._store_report(msg.report.sender, now)
            self._on_outside_loads(msg.report)

    @handle.register
    def _(self, msg: GetReportReceivers, now: float) -> list[str]:
        is_crossing = next(self._report_numbers) % REPORTS_PER_CROSSING == 0
        in_zone = [_to_peer(report) for report in self._zone_peers_reports(now)]
        delegates = [peer.address for peer in zone_delegates(in_zone)]
        return report_receivers(
            self._zone_by_address, self._cfg.zone, delegates, is_crossing, self._rng
        )

    @handle.register
    def _(self, msg: GetZoneRelay, now: float) -> ZoneRelay | None:
        reports = self._zone_peers_reports(now)
        own = self._own_peer()
        if self._reports_to_all() or not is_zone_delegate(own, [_to_peer(r) for r in reports]):
            return None
        in_zone = [msg.own, *reports]
        elsewhere = self._newest_by_zone(now).values()
        outside = OutsideReport(
            msg.own,
            sum_in_flight(elsewhere),
            sum_failures(elsewhere),
            sum_rollouts(elsewhere),
            sum_paced(elsewhere),
        )
        self._on_outside_loads(outside)
        return ZoneRelay(
            ZoneReport(
                own.host,
                own.address,
                own.zone,
                msg.own.revisions,
                msg.own.ages_s,
                sum_in_flight(in_zone),
                sum_failures(in_zone),
                msg.own.crashes,
                msg.own.leaving,
                sum_rollouts(in_zone),
                sum_paced(in_zone),
                msg.own.known_from,
            ),
            self._zone_contacts(now),
            outside,
            tuple(report.address for report in reports),
        )

    @handle.register
    def _(self, msg: GetProbeSharers, now: float) -> int:
        if now - self._store_regained_at <= RECOVERY_PROBE_S:
            return 1
        return 1 + sum(not report.reaches_store for report in self._group_reports(now))

    @handle.register
    def _(self, msg: GetWatchTurn, now: float) -> WatchTurn | None:
        return self._watch_turn(msg.topic, now)

    @handle.register
    def _(self, msg: GetMaxCopyAge, now: float) -> float:
        others = self._others_that_reach_store(now)
        position = position_after_watchers(
            msg.topic, self._own_peer(), others, self._watcher_group()
        )
        return max_copy_age_s(msg.topic, self._cfg.bounds, position)

    @handle.register
    def _(self, msg: GetPeersAhead, now: float) -> list[PeerAhead]:
        sources = (
            self._pull_source(topic, revision, msg.ages_s.get(topic, 0.0), now)
            for topic, revision in msg.revisions.items()
        )
        return [source for source in sources if source is not None]

    @handle.register
    def _(self, msg: PullEnded, now: float) -> None:
        if msg.is_silent:
            self._silent[msg.address] = now
        else:
            self._silent.pop(msg.address, None)

    def _pull_source(
        self, topic: Topic, revision: Revision, age_s: float, now: float
    ) -> PeerAhead | None:
        is_unconfirmed = may_lack_removals(topic, age_s, self._cfg.bounds)
        reports = self._recent_reports(now)
        sources: list[HostReport | ZoneReport] = [*reports, *self._recent_zone_reports(now)]
        ahead = [
            _to_peer(report, topic, is_unconfirmed)
            for report in sources
            if _position(report, topic, is_unconfirmed) > revision
        ]
        if not ahead:
            self._behind_since.pop(topic, None)
            return None
        behind_since = self._behind_since.setdefault(topic, now)
        if not is_pull_due(behind_since, self._watch_turn(topic, now) is not None, now):
            return None
        own = self._own_peer()
        is_delegate = is_zone_delegate(own, [_to_peer(report) for report in reports])
        self._silent = {a: at for a, at in self._silent.items() if now - at < SILENCE_TTL_S}
        behind_s = now - behind_since
        source = choose_source(ahead, own, is_delegate, behind_s, self._rng, self._silent)
        if source is None:
            return None
        peer = source.peer
        return PeerAhead(topic, peer.address, peer.revision, source.response_timeout_s)

    def _watch_turn(self, topic: Topic, now: float) -> WatchTurn | None:
        others = self._others_that_reach_store(now)
        return watch_turn(topic, self._own_peer(), others, self._watcher_group())

    def _others_that_reach_store(self, now: float) -> list[Peer]:
        return [_to_peer(report) for report in self._group_reports(now) if report.reaches_store]

    def _watcher_group(self) -> WatcherGroup:
        if self._reports_to_all():
            return WHOLE_FLEET
        own_zone, others = self._cfg.zone, self._zone_by_address.values()
        zones = sorted({own_zone, *others})
        in_zone = 1 + sum(zone == own_zone for zone in others)
        return WatcherGroup(in_zone / (len(others) + 1), zones.index(own_zone), len(zones))

    def _store_report(self, report: HostReport, now: float) -> None:
        if report.host == self._cfg.host:
            return
        _, previous = self._reports.get(report.host, (now, report))
        if report.reaches_store and not previous.reaches_store:
            self._store_regained_at = now
        self._reports[report.host] = (now, report)
        self._zone_by_address[report.address] = report.zone
        self._pass_news(report)
        if report.contact is not None:
            self._on_contact(PeerContactReported(report.host, report.contact))
        if report.zone == self._cfg.zone or self._reports_to_all():
            self._on_loads(
                PeerLoadsReported(report.host, report.in_flight, report.failures, report.paced)
            )
            self._pass_rollouts(report.host, report.rollouts)
        else:
            self._pass_rollouts(report.host, _without_tallies(report.rollouts))

    def _pass_news(self, report: HostReport | ZoneReport) -> None:
        if report.ages_s:
            self._on_contact(PeerCopiesReported(report.revisions, report.ages_s, report.known_from))
        if report.crashes is not None:
            self._on_crashes(CrashNewsReceived(report.crashes))
        if report.leaving:
            self._on_leaving(PeerLeavingReported(report.host, report.leaving))

    def _on_outside_loads(self, report: OutsideReport) -> None:
        self._on_loads(PeerLoadsReported(OUTSIDE, report.in_flight, report.failures, report.paced))
        self._pass_rollouts(OUTSIDE, report.rollouts)

    def _pass_rollouts(self, source: HostName, rollouts: tuple[RolloutProgress, ...]) -> None:
        if rollouts:
            self._on_rollouts(PeerRolloutsReported(source, rollouts))

    def _zone_contacts(self, now: float) -> tuple[str, ...]:
        zones = {peer.zone for peer in self._hosts} - {self._cfg.zone}
        reports = self._recent_zone_reports(now)
        contacts = (
            zone_contact(
                [peer for peer in self._hosts if peer.zone == zone],
                [report.address for report in reports if report.zone == zone],
                self._rng,
            )
            for zone in sorted(zones)
        )
        return tuple(address for address in contacts if address is not None)

    def _newest_by_zone(self, now: float) -> dict[ZoneName, ZoneReport]:
        recent = sorted(self._zone_reports.values(), key=lambda item: item[0])
        return {report.zone: report for at, report in recent if now - at <= ZONE_REPORT_TTL_S}

    def _reports_to_all(self) -> bool:
        return reports_to_all(len(self._zone_by_address) + 1)

    def _own_peer(self) -> Peer:
        return Peer(self._cfg.host, self._own_address, self._cfg.zone, self._cfg.link_mbps)

    def _group_reports(self, now: float) -> list[HostReport]:
        """Return the reports of this host's group: its zone, or a small fleet as a whole."""
        return (
            self._recent_reports(now) if self._reports_to_all() else self._zone_peers_reports(now)
        )

    def _zone_peers_reports(self, now: float) -> list[HostReport]:
        return [r for r in self._recent_reports(now) if r.zone == self._cfg.zone]

    def _recent_reports(self, now: float) -> list[HostReport]:
        return [report for at, report in self._reports.values() if now - at <= REPORT_TTL_S]

    def _recent_zone_reports(self, now: float) -> list[ZoneReport]:
        return [report for at, report in self._zone_reports.values() if now - at <= REPORT_TTL_S]


def _without_tallies(rollouts: tuple[RolloutProgress, ...]) -> tuple[RolloutProgress, ...]:
    """Return `rollouts` of a host of another zone, whose counts are in the sums over the zones."""
    return tuple(replace(p, requests=0, exposed=0, tallies=()) for p in rollouts)


def _position(report: HostReport | ZoneReport, topic: Topic, is_unconfirmed: bool) -> Revision:
    """Return the revision of the last change that a peer has, for a host that may lack it.

    A host whose copy is unconfirmed may also lack what was removed before the peer's list.
    """
    last_change = report.revisions.get(topic, NO_REVISION)
    if not is_unconfirmed:
        return last_change
    return max(last_change, report.known_from.get(topic, NO_REVISION))


def _to_peer(
    report: HostReport | ZoneReport, topic: Topic | None = None, is_unconfirmed: bool = False
) -> Peer:
    revision = _position(report, topic, is_unconfirmed) if topic else NO_REVISION
    link_mbps = report.link_mbps if isinstance(report, HostReport) else 0.0
    return Peer(report.host, report.address, report.zone, link_mbps, revision)
