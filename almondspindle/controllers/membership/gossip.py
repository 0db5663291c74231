"""What the next messages to peers carry: news of hosts and targets."""

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
    """Compose the gossip of one host. Part of the membership controller's state."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._host_updates: GossipQueue[HostName] = GossipQueue()
        self._target_updates: GossipQueue[TargetName] = GossipQueue()
        self.targets = TargetList()

    def queue_host_change(self, change: StateChange) -> None:
        """Queue a host's change. What only the platform's list says is no news."""
        if change.name == self._table.own.name:
            return  # Every message carries the sender's own record.
        member = self._table.members.get(change.name)
        if member is not None and (
            member.record.boot > 0 or member.record.state is not HostState.LIVE
        ):
            self._host_updates.put(change.name)

    def merge_targets(self, records: Iterable[TargetEntry]) -> None:
        """Take in what a peer says of targets, and pass on what is new."""
        self._queue_targets(self.targets.merge(records))

    def apply_target_list(self, reading: TargetsByName, stamp: int) -> None:
        """Take in a reading of the platform's list, and pass on what changed.

        The first reading is no news, since the others have read the list too.
        """
        is_first = not self.targets.targets
        news = self.targets.apply_list(reading, stamp)
        if not is_first:
            self._queue_targets(news)

    def replace_target_list(self, reading: TargetsByName, stamp: int) -> None:
        """Take in a reading that goes before all that peers said; it is no news to them."""
        self.targets.replace_all(reading, stamp)

    def compose(self, receiver: MemberRecord, config_version: int) -> Gossip:
        """Return the news for `receiver`, given what it last said of itself."""
        members = self._take_host_updates(receiver)
        room = max(0, RECORDS_PER_MESSAGE - len(members))
        targets = self._target_updates.take(room, self._fleet_size())
        return replace(
            self.own_state(config_version),
            members=members,
            targets=tuple(self._target_record(n) for n in targets if n in self.targets.stamps),
        )

    def full_host_table(self, config_version: int) -> Gossip:
        """Return all that is known of hosts, for one that joins or has lost track."""
        records = (member.record for member in self._table.members.values())
        members = tuple(record for record in records if record.boot > 0)
        return replace(self.own_state(config_version), members=members)

    def own_state(self, config_version: int) -> Gossip:
        """Return only what this host says of itself."""
        return Gossip(
            self._table.own, config_version, self.targets.checksum, self._table.checksum()
        )

    def _queue_targets(self, records: Iterable[TargetEntry]) -> None:
        for record in records:
            self._target_updates.put(record.name)

    def _take_host_updates(self, receiver: MemberRecord) -> tuple[MemberRecord, ...]:
        """Return queued news, and first what this host holds of the receiver, if it differs."""
        names = self._host_updates.take(RECORDS_PER_MESSAGE - 1, self._fleet_size())
        known = (self._table.members.get(name) for name in names if name != receiver.name)
        records = tuple(member.record for member in known if member is not None)
        held = self._table.members.get(receiver.name)
        is_same = held is None or held.record == receiver
        if held is None or (is_same and held.record.state is HostState.LIVE):
            return records
        return (held.record, *records)

    def _target_record(self, name: TargetName) -> TargetEntry:
        target: Target | None = self.targets.targets.get(name)
        return TargetEntry(name, target, self.targets.stamps[name])

    def _fleet_size(self) -> int:
        return len(self._table.members) + 1
