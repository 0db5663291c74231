"""What the admission controller keeps per target."""

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
    """The owner's own requests in flight, with their range over the last two reports."""

    in_flight: int = 0
    low: int = 0
    peak: int = 0
    earlier_low: int = 0
    earlier_peak: int = 0

    def add(self, step: int) -> None:
        """Add `step` to the requests in flight."""
        self.in_flight += step
        self.low = min(self.low, self.in_flight)
        self.peak = max(self.peak, self.in_flight)

    def range(self) -> tuple[int, int]:
        """Return the low and the peak since the report before the last."""
        return min(self.low, self.earlier_low), max(self.peak, self.earlier_peak)

    def start_next_range(self) -> None:
        """Begin the next range, at a report."""
        self.earlier_low, self.earlier_peak = self.low, self.peak
        self.low = self.peak = self.in_flight


@dataclass(slots=True)
class AdmissionRecord:
    """One target: its health, its load, and who asks for it.

    `answered` holds when the first byte came for each open ticket. `anchored` are those of them
    that are known to be served by the boot that the last report told of. A target that is no
    longer owned keeps its record until its last ticket is back.
    """

    owned: OwnedTarget
    health: Health
    is_owned: bool = True
    load: OwnLoad = field(default_factory=OwnLoad)
    foreign_in_flight: int = 0
    trust_at_report: Exclusivity = Exclusivity.AWAITING_REPORT
    handed_over: bool = False
    teams: Counter[TeamName] = field(default_factory=Counter)
    requested_at: dict[TeamName, float] = field(default_factory=dict)
    urgent_at: float | None = None
    first_byte_at: dict[int, float] = field(default_factory=dict)
    confirmed_tickets: set[int] = field(default_factory=set)

    def record_demand(self, team: TeamName, work: WorkKind, now: float) -> None:
        """Remember that `team` asked for the target, and forget those that ceased to."""
        if work in PRIORITY_WORK:
            self.urgent_at = now
        self.requested_at[team] = now
        for name in [name for name, at in self.requested_at.items() if now - at >= DEMAND_TTL_S]:
            del self.requested_at[name]

    def apply_report(self, reported: int, trust: Exclusivity) -> None:
        """Bound what others have in flight, by a report that came under `trust`."""
        settled = self.trust_at_report is Exclusivity.EXCLUSIVE
        low, peak = self.load.range()
        self.foreign_in_flight = estimate_others_in_flight(
            reported, low, peak, self.foreign_in_flight if settled else None
        )
        self.trust_at_report = trust
        self.load.start_next_range()

    def previous_owner(self) -> Host | None:
        """Return the host that may still admit work to the target, None when there is none."""
        return None if self.handed_over else self.owned.previous

    def complete_handover(self, in_flight: int) -> None:
        """Note that the previous owner has let go, with `in_flight` requests left there."""
        self.handed_over = True
        self.foreign_in_flight = in_flight
        self.trust_at_report = Exclusivity.EXCLUSIVE

    def restart_ownership(self, owned: OwnedTarget, health: Health) -> None:
        """Begin ownership anew; open tickets stay counted."""
        self.owned = owned
        self.health = health
        self.is_owned = True
        self.trust_at_report = Exclusivity.AWAITING_REPORT
        self.handed_over = False
        self.first_byte_at.clear()
        self.confirmed_tickets.clear()

    def demand(self) -> Demand:
        """Return the teams' demand, for the decision on shares."""
        return Demand(self.teams, self.requested_at, self.urgent_at)

    def record_first_byte(self, ticket: int, now: float) -> None:
        """Keep the first byte of `ticket`.

        A restart breaks all open requests, so that a request answered beside an anchored one is
        served by the same boot.
        """
        self.first_byte_at[ticket] = now
        if self.confirmed_tickets:
            self.confirmed_tickets.add(ticket)

    def remove_ticket(self, ticket: int) -> None:
        """Drop a ticket that is given back."""
        self.first_byte_at.pop(ticket, None)
        self.confirmed_tickets.discard(ticket)

    def confirm_tickets(self, before: Health) -> None:
        """Anchor the open tickets that were answered before a report that has just been heard.

        `before` is the health before the report. Requests still open after a change of boot are
        silent connections to the old one.
        """
        if before.boot_id != self.health.boot_id:
            self.first_byte_at.clear()
            self.confirmed_tickets.clear()
        if self.health.may_have_restarted or self.health.last_answered_poll_at is None:
            return
        proven_at = self.health.last_answered_poll_at
        self.confirmed_tickets |= {
            ticket for ticket, at in self.first_byte_at.items() if at < proven_at
        }

    def has_confirmed_ticket(self) -> bool:
        """Return whether a request served by the reported boot is still open."""
        return bool(self.confirmed_tickets)
