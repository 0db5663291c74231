"""Which host owns a target: rendezvous hashing over the live hosts of the target's zone."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from almondspindle.core.identifiers import HostName, TargetName, ZoneName
from almondspindle.core.roster import Host, HostState, Roster, Target
from almondspindle.decisions.hashing import score

# A suspect host keeps its targets until membership declares it dead, so that a single lost probe
# moves no target.
OWNING_STATES = frozenset({HostState.LIVE, HostState.SUSPECT})


def owner_of(target: Target, hosts: Iterable[Host]) -> Host | None:
    """Return the host that owns `target`, or None if no host can own it.

    Hosts of the target's own zone take precedence over all others. This is the reference
    implementation for `OwnerTable`.
    """
    eligible = [host for host in hosts if host.state in OWNING_STATES]
    same_zone = [host for host in eligible if host.zone == target.zone]
    return max(same_zone or eligible, key=lambda host: score(target.name, host.name), default=None)


class MoveReason(StrEnum):
    """Why the owner of a target changed."""

    NO_PREVIOUS_OWNER = "no owner before"
    NO_ELIGIBLE_HOST = "no host can own"
    OWNER_FORGOTTEN = "owner forgotten"
    OWNER_DEAD = "owner dead"
    OWNER_LEAVING = "owner leaving"
    OWNER_DAMPED = "owner damped"
    HIGHER_RANKED_HOST = "another host ranks higher"


# An owner that is still eligible lost the target to a new host or by a change of zone.
REASON_BY_OWNER_STATE = {
    HostState.LIVE: MoveReason.HIGHER_RANKED_HOST,
    HostState.SUSPECT: MoveReason.HIGHER_RANKED_HOST,
    HostState.LEAVING: MoveReason.OWNER_LEAVING,
    HostState.DEAD: MoveReason.OWNER_DEAD,
    HostState.DAMPED: MoveReason.OWNER_DAMPED,
}


@dataclass(frozen=True, slots=True)
class OwnerMove:
    """A target whose owner changed, and why."""

    target: TargetName
    before: HostName | None
    after: HostName | None
    reason: MoveReason


@dataclass(slots=True)
class OwnerTable:
    """The owners of all targets. An update scores only targets affected by the roster's changes.

    A host that is no longer eligible loses its targets, and no others move. A newly eligible host
    is scored once against each target of its zone and each target of a zone without a host.
    """

    _hosts: dict[HostName, Host] = field(default_factory=dict)
    _eligible: dict[ZoneName, dict[HostName, Host]] = field(default_factory=dict)
    _targets: dict[TargetName, Target] = field(default_factory=dict)
    _by_zone: dict[ZoneName, set[TargetName]] = field(default_factory=dict)
    _owned: dict[TargetName, HostName] = field(default_factory=dict)
    _by_owner: dict[HostName, set[TargetName]] = field(default_factory=dict)
    _without_zone_host: set[TargetName] = field(default_factory=set)

    def owner(self, target: TargetName) -> Host | None:
        """Return the host that owns `target`, or None."""
        owner_name = self._owned.get(target)
        return self._hosts[owner_name] if owner_name is not None else None

    def owned_by(self, host: HostName) -> frozenset[TargetName]:
        """Return the targets that `host` owns."""
        return frozenset(self._by_owner.get(host, ()))

    def apply(self, roster: Roster) -> list[OwnerMove]:
        """Apply a roster and return the targets whose owners changed."""
        lost, gained = self._update_hosts(roster.hosts)
        unassigned = self._update_targets(roster.targets)
        for host in lost:
            unassigned |= self._by_owner.get(host.name, set())
        before = {name: self._unassign(name) for name in unassigned}
        reassigned = unassigned & self._targets.keys()
        for name in reassigned:
            self._assign_best(self._targets[name])
        for host in gained:
            self._assign_won_by(host, before, reassigned)
        return list(self._moves(before))

    def _update_hosts(self, hosts: dict[HostName, Host]) -> tuple[list[Host], list[Host]]:
        """Store `hosts`; return those no longer eligible in their zone and those newly eligible."""
        lost, gained = [], []
        for name in self._hosts.keys() | hosts.keys():
            old, new = self._hosts.get(name), hosts.get(name)
            if old is new or _owning_zone(old) == _owning_zone(new):
                continue
            if old is not None and _owning_zone(old) is not None:
                lost.append(old)
                del self._eligible[old.zone][name]
            if new is not None and _owning_zone(new) is not None:
                gained.append(new)
        self._hosts = hosts
        for host in gained:
            self._eligible.setdefault(host.zone, {})[host.name] = host
        return lost, gained

    def _update_targets(self, targets: dict[TargetName, Target]) -> set[TargetName]:
        """Store `targets`; return those that were added, were removed or changed their zone."""
        if targets is self._targets:
            return set()
        moved = set()
        for name in self._targets.keys() | targets.keys():
            old, new = self._targets.get(name), targets.get(name)
            if old is new or (old is not None and new is not None and old.zone == new.zone):
                continue
            moved.add(name)
            if old is not None:
                self._by_zone[old.zone].discard(name)
            if new is not None:
                self._by_zone.setdefault(new.zone, set()).add(name)
        self._targets = targets
        return moved

    def _assign_best(self, target: Target) -> None:
        """Assign `target` to the eligible host with the highest score."""
        same_zone = self._eligible.get(target.zone)
        eligible = same_zone or {
            name: h for hosts in self._eligible.values() for name, h in hosts.items()
        }
        if not eligible:
            self._without_zone_host.add(target.name)
            return
        _, owner = max((score(target.name, name), name) for name in eligible)
        self._assign(target.name, owner, bool(same_zone))

    def _assign_won_by(
        self, host: Host, before: dict[TargetName, HostName | None], reassigned: set[TargetName]
    ) -> None:
        """Assign each target to `host` for which it scores highest, except those in `reassigned`.

        The targets in `reassigned` have already been scored against all hosts.
        """
        same_zone = self._by_zone.get(host.zone, set())
        for name in (same_zone | self._without_zone_host) - reassigned:
            is_same_zone = name in same_zone
            owner = self._owned.get(name)
            # The owner's score is recomputed: storing it for every target would cost a megabyte.
            if owner is not None and (is_same_zone, score(name, host.name)) <= (
                name not in self._without_zone_host,
                score(name, owner),
            ):
                continue
            old = self._unassign(name)
            before.setdefault(name, old)
            self._assign(name, host.name, is_same_zone)

    def _assign(self, name: TargetName, owner: HostName, is_same_zone: bool) -> None:
        self._owned[name] = owner
        self._by_owner.setdefault(owner, set()).add(name)
        if not is_same_zone:
            self._without_zone_host.add(name)

    def _unassign(self, name: TargetName) -> HostName | None:
        """Remove the target from its owner and return that owner, or None."""
        self._without_zone_host.discard(name)
        owner = self._owned.pop(name, None)
        if owner is not None:
            self._by_owner[owner].discard(name)
        return owner

    def _moves(self, before: dict[TargetName, HostName | None]) -> Iterator[OwnerMove]:
        for name, old in before.items():
            new = self._owned.get(name)
            if new != old:
                yield OwnerMove(name, old, new, move_reason(old, new, self._hosts))


def _owning_zone(host: Host | None) -> ZoneName | None:
    """Return the zone in which `host` can own targets, or None."""
    return host.zone if host is not None and host.state in OWNING_STATES else None


def move_reason(
    old: HostName | None, new: HostName | None, hosts: Mapping[HostName, Host]
) -> MoveReason:
    """Return why a target's owner changed from `old` to `new`, given the current hosts."""
    if old is None:
        return MoveReason.NO_PREVIOUS_OWNER
    if new is None:
        return MoveReason.NO_ELIGIBLE_HOST
    if old not in hosts:
        return MoveReason.OWNER_FORGOTTEN
    return REASON_BY_OWNER_STATE[hosts[old].state]
