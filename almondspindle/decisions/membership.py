"""The membership table: which record of a host replaces another, and when records expire.

The failure detector follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002).
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import reduce
from operator import xor

import xxhash

from almondspindle.core.identifiers import HostName
from almondspindle.core.members import MemberRecord, MembershipTimings
from almondspindle.core.roster import Host, HostState
from almondspindle.decisions.damping import hold_until

# State of a host after an unanswered probe. A host that announced its leaving is not suspected.
ON_MISSED_PROBE = {
    HostState.LIVE: HostState.SUSPECT,
    HostState.SUSPECT: HostState.SUSPECT,
    HostState.LEAVING: HostState.DEAD,
    HostState.DEAD: HostState.DEAD,
}

PROBED_STATES = frozenset({HostState.LIVE, HostState.SUSPECT, HostState.LEAVING})
ALIVE_STATES = frozenset({HostState.LIVE, HostState.SUSPECT})


@dataclass(frozen=True, slots=True)
class StateChange:
    """A host's state before and after an update; `before` is None for a new host."""

    name: HostName
    before: HostState | None
    after: HostState
    restarted: bool = False


@dataclass(slots=True)
class Member:
    """What this host knows about another one. Times are in seconds on the monotonic clock.

    `rejoins` are the recent times at which it came back, for flap damping. `listed_at` is when the
    platform's list last contained it, None if it never did.
    """

    record: MemberRecord
    state_since: float
    rejoins: tuple[float, ...] = ()
    damped_until: float = 0.0
    listed_at: float | None = None


def suspicion_timeout_s(timings: MembershipTimings, hosts: int) -> float:
    """Return how long a suspected host has to refute the suspicion, in seconds.

    The time grows with the logarithm of the fleet's size. A host also considers itself paused when
    its task did not run for this time. So it is never shorter than a period in which all probes
    time out.
    """
    probe_period_s = timings.period_s + timings.probe_timeout_s + timings.indirect_probe_timeout_s
    scaled_s = timings.period_s * timings.suspicion_periods * max(1.0, math.log10(max(hosts, 1)))
    return max(probe_period_s, scaled_s)


@dataclass(slots=True)
class MemberTable:
    """All known hosts, including this one.

    The methods that update it, except `leave`, return the state changes that they made.
    """

    own: MemberRecord
    timings: MembershipTimings
    members: dict[HostName, Member] = field(default_factory=dict)
    list_read_at: float = 0.0
    _checksum: int | None = None

    def checksum(self) -> int:
        """Return a checksum of the records of hosts that announced themselves and are not dead."""
        if self._checksum is None:
            self._checksum = self._compute_checksum()
        return self._checksum

    def _compute_checksum(self) -> int:
        records = [self.own, *(member.record for member in self.members.values())]
        included = (r for r in records if r.boot > 0 and r.state is not HostState.DEAD)
        return reduce(xor, map(_record_checksum, included), 0)

    def merge(self, record: MemberRecord, now: float) -> list[StateChange]:
        """Apply `record` if it ranks above the known record of the host."""
        if record.name == self.own.name:
            return self._refute(record)
        known = self.members.get(record.name)
        if known is None and record.state is HostState.DEAD:
            return []  # A host that was already forgotten must not be added again as a dead one.
        if known is None:
            self.members[record.name] = Member(record, now)
            self._checksum = None
            return [StateChange(record.name, None, record.state)]
        if record.rank <= known.record.rank:
            return []
        return [self._replace(known, record, now)]

    def record_missed_probe(self, name: HostName, now: float) -> list[StateChange]:
        """Record that `name` answered neither the direct probe nor the indirect ones."""
        known = self.members.get(name)
        if known is None:
            return []
        state = ON_MISSED_PROBE[known.record.state]
        return self.merge(known.record.with_state(state), now)

    def expire(self, now: float) -> list[StateChange]:
        """Declare suspects dead after the suspicion timeout, and drop hosts that died long ago."""
        limit = suspicion_timeout_s(self.timings, len(self.members) + 1)
        changes = []
        for member in list(self.members.values()):
            state = member.record.state
            if state is HostState.SUSPECT and now - member.state_since >= limit:
                changes += self.merge(member.record.with_state(HostState.DEAD), now)
            elif state is HostState.DEAD and self._may_forget(member, now):
                del self.members[member.record.name]
                changes.append(StateChange(member.record.name, state, state))
        return changes

    def apply_list(self, hosts: Iterable[Host], now: float) -> list[StateChange]:
        """Add the hosts of the platform's list, and update those that have sent no record yet."""
        changes = []
        self.list_read_at = now
        for host in hosts:
            if host.name == self.own.name:
                self._update_own_address(host)
                continue
            known = self.members.get(host.name)
            record = _listed_record(host, known)
            changes += self.merge(record, now)
            self.members[host.name].listed_at = now
        return changes

    def _update_own_address(self, host: Host) -> None:
        """Adopt and announce the address in the list, which may differ from `--listen`."""
        if host.address != self.own.address:
            incarnation = self.own.incarnation + 1
            self.own = replace(self.own, address=host.address, incarnation=incarnation)
            self._checksum = None

    def leave(self) -> None:
        """Announce that this host is leaving."""
        self.own = replace(self.own, incarnation=self.own.incarnation + 1, state=HostState.LEAVING)

    def hosts(self, now: float) -> dict[HostName, Host]:
        """Return the hosts for the roster. A damped host is alive but does not own targets yet."""
        found = {self.own.name: self.own.to_host(self.own.state)}
        for name, member in self.members.items():
            found[name] = member.record.to_host(self._state_of(member, now))
        return found

    def names(self, accept: Callable[[Member], bool]) -> list[HostName]:
        """Return the names of the other hosts for which `accept` returns True."""
        return [name for name, member in self.members.items() if accept(member)]

    def next_damping_end(self, now: float) -> float | None:
        """Return when the next damped host may own targets again, or None if none is damped."""
        ends = [m.damped_until for m in self.members.values() if m.damped_until > now]
        return min(ends, default=None)

    def _state_of(self, member: Member, now: float) -> HostState:
        if member.record.state in ALIVE_STATES and now < member.damped_until:
            return HostState.DAMPED
        return member.record.state

    def _refute(self, record: MemberRecord) -> list[StateChange]:
        """Refute a record of this host by others that ranks above its own record."""
        if record.rank <= self.own.rank:
            return []
        before = self.own.state
        self._checksum = None
        if record.boot > self.own.boot:
            # The wall clock was set back between two starts: rank above the earlier process.
            self.own = replace(self.own, boot=record.boot + 1)
        else:
            self.own = replace(self.own, incarnation=record.incarnation + 1)
        return [StateChange(self.own.name, before, before)]

    def _replace(self, known: Member, record: MemberRecord, now: float) -> StateChange:
        before = known.record
        restarted = record.boot > before.boot > 0
        came_back = before.state is HostState.DEAD and record.state in ALIVE_STATES
        if (restarted and before.state is not HostState.LEAVING) or came_back:
            rejoins = (*known.rejoins, now)
            known.rejoins, known.damped_until = hold_until(rejoins, now, self.timings)
        if record.state is not before.state or restarted:
            known.state_since = now
        known.record = record
        self._checksum = None
        return StateChange(record.name, before.state, record.state, restarted)

    def _may_forget(self, member: Member, now: float) -> bool:
        """Return whether a dead host may be removed from the table.

        A host that reads the platform's list may remove it sooner once the list omits it.
        """
        dead_s = now - member.state_since
        unlisted_s = self.list_read_at - (member.listed_at or 0.0)
        is_unlisted = member.listed_at is not None and unlisted_s >= self.timings.forget_unlisted_s
        return dead_s >= (
            self.timings.forget_unlisted_s if is_unlisted else self.timings.forget_dead_s
        )


def _record_checksum(record: MemberRecord) -> int:
    parts = f"{record.name}\x00{record.boot}\x00{record.incarnation}\x00{record.state}"
    return xxhash.xxh32_intdigest(parts.encode())


def _listed_record(host: Host, known: Member | None) -> MemberRecord:
    """Return the record of a host in the platform's list.

    The list lags behind, so it is used only until the host has sent a record of its own.
    """
    record = MemberRecord(host.name, host.zone, host.address, state=host.state)
    if known is None:
        return record
    if known.record.boot == 0 and known.record.address != host.address:
        return replace(record, incarnation=known.record.incarnation + 1)
    if known.record.boot == 0:
        return replace(record, incarnation=known.record.incarnation)
    return known.record
