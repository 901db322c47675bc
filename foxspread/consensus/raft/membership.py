"""Single-server membership changes ([T] 4.1), with learners that catch up before they vote ([T] 4.2.1).

A node uses the members of the latest membership entry in its log, committed or not. A leader starts a change
only after it has committed an entry of its own term (the correction of [T] 4.1, raft-dev, July 2015);
otherwise two leaders could commit entries with majorities that don't overlap.
"""

from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.messages import AppendEntries, InstallSnapshot
from foxspread.consensus.raft.state import RaftState
from foxspread.consensus.raft.types import Progress, ProposedEntry
from foxspread.consensus.records import LogEntry, MemberAddress, Members

MAX_REMOVED_DISKS = 64  # ids that are stored to keep removed disks from voting; the oldest are dropped


class Membership(RaftState):
    """Members of the cluster, and which of them vote."""

    def change_membership(self, now: float, node_id: str, address: str | None) -> ProposedEntry:
        """Adds a member as a learner, which becomes a voter once it has caught up.

        Removes the member if `address` is None. Raises `RequestRejected`.
        """
        self._advance_clock(now)
        self._require_accepting_leader()
        if self._membership_change_in_progress():
            raise RequestRejected(
                "a membership change is in progress, or the leader has committed no entry of its term yet; "
                "try again"
            )
        members = self._without(node_id) if address is None else self._with_learner(node_id, address)
        return self._append_as_leader(LogEntry(self.current_term, members=members))

    def _without(self, node_id: str) -> Members:
        if node_id not in self.members:
            raise RequestRejected(f"{node_id!r} is no member")
        members = dict(self.members)
        del members[node_id]
        if not any(member.voter for member in members.values()):
            raise RequestRejected(f"{node_id!r} is the last voter and can't be removed")
        return members

    def _with_learner(self, node_id: str, address: str) -> Members:
        if node_id in self.members:
            raise RequestRejected(f"{node_id!r} is a member already")
        return self.members | {node_id: MemberAddress(address, False, self.log.last_index + 1)}

    def _membership_change_in_progress(self) -> bool:
        """Returns whether the latest membership entry, or the first entry of the term, is uncommitted."""
        return max(self.members_index, self.first_index_of_term) > self.commit_index

    def _promote_caught_up_learner(self, node_id: str, progress: Progress) -> None:
        if node_id not in self.members or self._is_voter(node_id):
            return
        if self._membership_change_in_progress() or progress.match_index < self.commit_index:
            return
        learner = self.members[node_id]
        voter = MemberAddress(learner.address, True, learner.added_at)
        self._append_as_leader(LogEntry(self.current_term, members=self.members | {node_id: voter}))

    def _is_voter(self, node_id: str) -> bool:
        return node_id in self.members and self.members[node_id].voter

    def _peers(self) -> list[str]:
        return [node_id for node_id in self.members if node_id != self.node_id]

    def _members_at(self, last_index: int | None = None) -> tuple[Members, int]:
        """Returns the members as of `last_index` (default: all of the log), and the index of their entry."""
        last_index = self.log.last_index if last_index is None else last_index
        for index in range(last_index, self.log.base, -1):
            if (members := self.log.entry(index).members) is not None:
                return members, index
        return self.snapshot.members, self.snapshot.members_index

    def _adopt_membership(self, message: AppendEntries | InstallSnapshot) -> None:
        """Records `MemberAddress.added_at` of this node from the leader's message, on a disk that lacks it.

        The message must contain the id of this disk: a delayed message, or the log itself, may refer to a
        former member of the same name with another disk.
        """
        if self.member_added_at < 0 <= message.member_added_at and message.disk_id == self.disk_id:
            self.member_added_at = message.member_added_at
            self._persist()

    def _record_removed_disks(self) -> None:
        """Records disks of members that were removed, or were removed and added again with another disk."""
        for node_id, observed in list(self.observed_storage.items()):
            member = self.members.get(node_id)
            if member is None or member.added_at != observed.member_added_at:
                self.removed_disks[node_id] = self.observed_storage.pop(node_id).identity.disk_id
        while len(self.removed_disks) > MAX_REMOVED_DISKS:
            del self.removed_disks[next(iter(self.removed_disks))]
