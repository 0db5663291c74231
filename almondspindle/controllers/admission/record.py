"""The admission controller's state for one target."""

from collections import Counter
from dataclasses import dataclass, field

from almondspindle.core.calls import WorkKind
from almondspindle.core.identifiers import TeamName
from almondspindle.core.load import OwnedTarget
from almondspindle.core.roster import Host
from almondspindle.decisions.admission import Exclusivity, estimate_others_in_flight
from almondspindle.decisions.fair_share import DEMAND_TTL_S, PRIORITY_WORK, Demand
from almondspindle.decisions.health import Health


@dataclass(slots=True)
class OwnLoad:
    """The owner's requests in flight at a target, with their range over two report intervals.

    Reports lag, so a report may show any load of the current or the previous interval.
    """

    in_flight: int = 0
    low: int = 0
    peak: int = 0
    earlier_low: int = 0
    earlier_peak: int = 0

    def add(self, delta: int) -> None:
        """Add `delta` to the requests in flight."""
        self.in_flight += delta
        self.low = min(self.low, self.in_flight)
        self.peak = max(self.peak, self.in_flight)

    def range(self) -> tuple[int, int]:
        """Return the lowest and highest load since the report before the last one."""
        return min(self.low, self.earlier_low), max(self.peak, self.earlier_peak)

    def start_next_range(self) -> None:
        """Start a new interval, when a report arrives."""
        self.earlier_low, self.earlier_peak = self.low, self.peak
        self.low = self.peak = self.in_flight


@dataclass(slots=True)
class AdmissionRecord:
    """One target: its health, its load, and the demand for it.

    `others_in_flight` bounds the requests that other hosts have in flight there. `requested_at`
    holds the time of the last request of each team that requested the target recently,
    `priority_requested_at` that of the last request for work in `PRIORITY_WORK`.
    `first_byte_at` maps each open ticket to the time of its first byte, if that has arrived.
    `confirmed_tickets` are those known to be served by the boot in the last report: while one of
    them is open, the target can't have restarted. A target that is no longer owned keeps its
    record until its last ticket is released. Times are in seconds on the monotonic clock.
    """

    owned: OwnedTarget
    health: Health
    is_owned: bool = True
    load: OwnLoad = field(default_factory=OwnLoad)
    others_in_flight: int = 0
    exclusivity_at_report: Exclusivity = Exclusivity.AWAITING_REPORT
    handed_over: bool = False
    in_flight_by_team: Counter[TeamName] = field(default_factory=Counter)
    requested_at: dict[TeamName, float] = field(default_factory=dict)
    priority_requested_at: float | None = None
    first_byte_at: dict[int, float] = field(default_factory=dict)
    confirmed_tickets: set[int] = field(default_factory=set)

    def record_demand(self, team: TeamName, work: WorkKind, now: float) -> None:
        """Record that `team` requested the target, and remove teams without recent requests."""
        if work in PRIORITY_WORK:
            self.priority_requested_at = now
        self.requested_at[team] = now
        for name in [name for name, at in self.requested_at.items() if now - at >= DEMAND_TTL_S]:
            del self.requested_at[name]

    def apply_report(self, reported: int, exclusivity: Exclusivity) -> None:
        """Update the bound on other hosts' requests in flight from a load report.

        `reported` is the load in the report, in requests; `exclusivity` holds at its arrival.
        """
        was_exclusive = self.exclusivity_at_report is Exclusivity.EXCLUSIVE
        low, peak = self.load.range()
        self.others_in_flight = estimate_others_in_flight(
            reported, low, peak, self.others_in_flight if was_exclusive else None
        )
        self.exclusivity_at_report = exclusivity
        self.load.start_next_range()

    def previous_owner(self) -> Host | None:
        """Return the host that may still admit requests to the target, or None."""
        return None if self.handed_over else self.owned.previous_owner

    def complete_handover(self, in_flight: int) -> None:
        """Record that the previous owner released the target with `in_flight` requests left."""
        self.handed_over = True
        self.others_in_flight = in_flight
        self.exclusivity_at_report = Exclusivity.EXCLUSIVE

    def restart_ownership(self, owned: OwnedTarget, health: Health) -> None:
        """Start a new ownership of the target; open tickets stay counted."""
        self.owned = owned
        self.health = health
        self.is_owned = True
        self.exclusivity_at_report = Exclusivity.AWAITING_REPORT
        self.handed_over = False
        self.first_byte_at.clear()
        self.confirmed_tickets.clear()

    def demand(self) -> Demand:
        """Return the demand of the teams, which decides on their shares."""
        return Demand(self.in_flight_by_team, self.requested_at, self.priority_requested_at)

    def record_first_byte(self, ticket: int, now: float) -> None:
        """Record that the first byte for `ticket` arrived.

        A restart breaks all open requests, so a request that gets its first byte while a confirmed
        one is open is served by the same boot and is confirmed as well.
        """
        self.first_byte_at[ticket] = now
        if self.confirmed_tickets:
            self.confirmed_tickets.add(ticket)

    def remove_ticket(self, ticket: int) -> None:
        """Remove a released ticket."""
        self.first_byte_at.pop(ticket, None)
        self.confirmed_tickets.discard(ticket)

    def confirm_tickets(self, before: Health) -> None:
        """Confirm the open tickets whose first byte arrived before the newest report's poll.

        `before` is the health before that report. After a change of boot, requests that are still
        open are dead connections to the earlier boot and confirm nothing.
        """
        if before.boot_id != self.health.boot_id:
            self.first_byte_at.clear()
            self.confirmed_tickets.clear()
        if self.health.may_have_restarted or self.health.last_answered_poll_at is None:
            return
        polled_at = self.health.last_answered_poll_at
        self.confirmed_tickets |= {
            ticket for ticket, at in self.first_byte_at.items() if at < polled_at
        }

    def has_confirmed_ticket(self) -> bool:
        """Return whether a request served by the boot in the last report is still open."""
        return bool(self.confirmed_tickets)
