"""Detects disks that lost acknowledged writes because they were wiped, copied, or rolled back.

Raft assumes that acknowledged writes stay on disk ([R] 5), but data folders do get wiped or restored from
backups. Therefore each message carries a `StorageIdentity`, each node stores the latest one that it observed
of each peer, and a starting node asks its peers to check its disk before it votes. This is not part of [R] or
[T]; docs/design/consensus.md has the reasoning and its limits.
"""

from foxspread.consensus.messages import StorageCheck, StorageCheckReply, StorageRejected
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.state import RaftState, majority
from foxspread.consensus.records import MemberAddress, ObservedStorage, StorageIdentity

_DIFFERENT_DISK = "another disk: wiped, or copied"
_ROLLED_BACK = "an earlier state of the disk"


class StorageChecks(RaftState):
    """Checks peers' disks, and asks peers to check this node's disk at the start."""

    def _verify_storage(self, sender: str, reported: StorageIdentity) -> bool:
        """Records a peer's storage identity; returns False and sends a rejection if its disk lost writes."""
        member = self.members.get(sender)
        reason = ""
        if reported.disk_id == self.removed_disks.get(sender):
            reason = "this disk's member was removed"
        elif member is None or reported.member_added_at > member.added_at:
            return True  # this node has missed a membership change, so it can't judge
        elif reported.member_added_at < member.added_at:
            if reported.member_added_at < 0 and not member.voter:
                return True  # a new learner, which doesn't know yet when it was added
            if self.members_index > self.commit_index:
                return False  # the membership change is uncommitted and may be undone
            reason = "another disk: it is not the one that was added last"
        else:
            reason = self._compare_with_observed(sender, reported, member)
        if reason:
            self._send(
                sender,
                StorageRejected(reported.incarnation, reason, self.members_index, reported.member_added_at),
            )
        return not reason

    def _compare_with_observed(self, sender: str, reported: StorageIdentity, member: MemberAddress) -> str:
        """Returns why a disk contradicts earlier observations; records it and returns "" if it does not."""
        observed = self.observed_storage.get(sender)
        if observed is None or observed.member_added_at != member.added_at:
            self.observed_storage[sender] = ObservedStorage(reported, member.added_at)
            return ""
        previous = observed.identity
        if reported.disk_id != previous.disk_id:
            return _DIFFERENT_DISK
        if reported.generation < previous.generation:
            return _ROLLED_BACK
        if reported.generation == previous.generation and reported.incarnation != previous.incarnation:
            return _ROLLED_BACK
        if reported.generation > previous.generation and reported.writes_at_start < previous.writes:
            return f"{_ROLLED_BACK}: {reported.writes_at_start} writes of {previous.writes}"
        if reported.generation > previous.generation or reported.writes > previous.writes:
            self.observed_storage[sender] = ObservedStorage(reported, observed.member_added_at)
        return ""

    def _merge_observed_storage(self, observed: dict[str, ObservedStorage]) -> None:
        """Takes over the leader's observations that are newer than this node's own."""
        for node_id, received in observed.items():
            member = self.members.get(node_id)
            if node_id == self.node_id or member is None or member.added_at != received.member_added_at:
                continue
            if self._is_newer_observation(received, self.observed_storage.get(node_id)):
                self.observed_storage[node_id] = received

    @staticmethod
    def _is_newer_observation(received: ObservedStorage, stored: ObservedStorage | None) -> bool:
        if stored is None or stored.member_added_at != received.member_added_at:
            return True
        new, old = received.identity, stored.identity
        return new.disk_id == old.disk_id and (new.generation, new.writes) > (old.generation, old.writes)

    def _request_storage_checks(self) -> None:
        """Asks all peers to check this node's disk, and schedules the next attempt at a random time."""
        self.election_deadline = self.now + self.settings.heartbeat_interval_s * (1 + self.random())
        for peer in self._peers():
            self._send(peer, StorageCheck())

    def _handle_storage_check_reply(self, sender: str, message: StorageCheckReply) -> None:
        if message.incarnation != self.incarnation or sender not in self.members:
            return
        self.storage_confirmed_by.add(sender)
        if sum(self._is_voter(each) for each in self.storage_confirmed_by) >= majority(self.members):
            self._finish_storage_check()

    def _finish_storage_check(self) -> None:
        if self.role is Role.STARTING:
            self._transition_to(Role.FOLLOWER)
            self._reset_election_timer()

    def _handle_storage_rejected(self, sender: str, message: StorageRejected) -> None:
        """Bars this node, unless the rejection is outdated or its sender's members are.

        The sender may have missed that this member was removed and added again. A newly added node knows no
        members yet, so it accepts a rejection only from its leader, which knows that the node was added.
        """
        # A rejection may refer to an identity that was sent before this node knew when it was added.
        names_current_membership = message.member_added_at == self.member_added_at
        sender_is_current = message.members_index >= self.members_index and (
            bool(self.members) or sender == self.leader_id
        )
        if message.incarnation == self.incarnation and names_current_membership and sender_is_current:
            self._become_barred(f"rejected by {sender}: {message.reason}")
