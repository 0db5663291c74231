"""Select the updates on hosts and targets that the next messages to peers carry."""

from collections.abc import Iterable
from dataclasses import replace

from almondspindle.core.identifiers import HostName, TargetName
from almondspindle.core.members import Gossip, MemberRecord, TargetEntry
from almondspindle.core.roster import HostState, Target
from almondspindle.decisions.gossip_queue import GossipQueue
from almondspindle.decisions.membership import MemberTable, StateChange
from almondspindle.decisions.target_list import TargetList, TargetsByName

RECORDS_PER_MESSAGE = 8  # records of hosts and targets; with the digests they fill a datagram


class GossipComposer:
    """Compose the gossip that one host sends. Part of the membership controller's state."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._host_updates: GossipQueue[HostName] = GossipQueue()
        self._target_updates: GossipQueue[TargetName] = GossipQueue()
        self.targets = TargetList()

    def queue_host_change(self, change: StateChange) -> None:
        """Queue a host's change for dissemination.

        A live host that is known only from the platform's list is not queued, since the other
        hosts read the same list.
        """
        if change.name == self._table.own.name:
            return  # Every message carries the sender's own record.
        member = self._table.members.get(change.name)
        if member is not None and (
            member.record.boot > 0 or member.record.state is not HostState.LIVE
        ):
            self._host_updates.put(change.name)

    def merge_targets(self, records: Iterable[TargetEntry]) -> None:
        """Merge target records received from a peer, and queue those that changed the list."""
        self._queue_targets(self.targets.merge(records))

    def apply_target_list(self, targets: TargetsByName, stamp: int) -> None:
        """Apply the targets read from the platform's list, and queue what changed.

        `stamp` is the wall time of the reading in milliseconds. Nothing is queued if no target was
        known before, as at the first reading, since the other hosts have read the same list.
        """
        is_first = not self.targets.targets
        changed = self.targets.apply_list(targets, stamp)
        if not is_first:
            self._queue_targets(changed)

    def replace_target_list(self, targets: TargetsByName, stamp: int) -> None:
        """Replace the target list by the platform's, overriding all updates from peers.

        Nothing is queued: it was this host's list that differed from its peers'.
        """
        self.targets.replace_all(targets, stamp)

    def compose(self, receiver: MemberRecord, config_version: int) -> Gossip:
        """Return the gossip for `receiver`, given the last record that it sent of itself."""
        members = self._take_host_updates(receiver)
        room = max(0, RECORDS_PER_MESSAGE - len(members))
        targets = self._target_updates.take(room, self._fleet_size())
        return replace(
            self.own_state(config_version),
            members=members,
            targets=tuple(self._target_record(n) for n in targets if n in self.targets.stamps),
        )

    def full_host_table(self, config_version: int) -> Gossip:
        """Return the host records for a host that joins or whose table has diverged.

        Hosts that are known only from the platform's list are left out.
        """
        records = (member.record for member in self._table.members.values())
        members = tuple(record for record in records if record.boot > 0)
        return replace(self.own_state(config_version), members=members)

    def own_state(self, config_version: int) -> Gossip:
        """Return gossip that has only this host's record, configuration version and checksums."""
        return Gossip(
            self._table.own, config_version, self.targets.checksum, self._table.checksum()
        )

    def _queue_targets(self, records: Iterable[TargetEntry]) -> None:
        for record in records:
            self._target_updates.put(record.name)

    def _take_host_updates(self, receiver: MemberRecord) -> tuple[MemberRecord, ...]:
        """Return queued host records for a message to `receiver`.

        The first one is the stored record of the receiver, if it differs from `receiver` or isn't
        live, so that a receiver that is considered suspect or dead can refute it.
        """
        names = self._host_updates.take(RECORDS_PER_MESSAGE - 1, self._fleet_size())
        queued = (self._table.members.get(name) for name in names if name != receiver.name)
        records = tuple(member.record for member in queued if member is not None)
        stored = self._table.members.get(receiver.name)
        is_same = stored is None or stored.record == receiver
        if stored is None or (is_same and stored.record.state is HostState.LIVE):
            return records
        return (stored.record, *records)

    def _target_record(self, name: TargetName) -> TargetEntry:
        target: Target | None = self.targets.targets.get(name)
        return TargetEntry(name, target, self.targets.stamps[name])

    def _fleet_size(self) -> int:
        return len(self._table.members) + 1
