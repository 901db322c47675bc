"""Log replication and commitment ([R] 5.3, 5.4.2).

A leader has at most one message with entries in flight to each follower; entries that are proposed meanwhile
are batched in the next message. Heartbeats are sent at each interval, and carry entries if no message is in
flight.
"""

from foxspread.consensus.errors import InvariantViolation, RequestRejected
from foxspread.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshotReply,
)
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.state import RaftState, majority
from foxspread.consensus.raft.types import Progress, ProposedEntry
from foxspread.consensus.records import LogEntry

RESEND_AFTER_HEARTBEATS = 4  # heartbeat intervals after which an unacknowledged message counts as lost


class LogReplication(RaftState):
    """Appends, sends, acknowledges and commits log entries."""

    # The leader's log

    def propose(self, now: float, body: bytes) -> ProposedEntry:
        """Appends an entry to the leader's log, and returns its position.

        The proposal is committed once `take_ready` returns an entry with this index and term. Raises
        `RequestRejected`.
        """
        self._advance_clock(now)
        self._require_accepting_leader()
        return self._append_as_leader(LogEntry(self.current_term, body))

    def _require_accepting_leader(self) -> None:
        if self.role is not Role.LEADER:
            raise RequestRejected("this node is not the leader")
        if self.transfer:
            raise RequestRejected(f"leadership is being transferred to {self.transfer.target}")
        uncommitted = self.log.last_index - self.commit_index
        if uncommitted >= self.settings.max_uncommitted_entries:
            raise RequestRejected(f"limit of {uncommitted} uncommitted entries reached")

    def _append_as_leader(self, entry: LogEntry) -> ProposedEntry:
        self.log.append(entry)
        if entry.members is not None:
            self.members, self.members_index = entry.members, self.log.last_index
            self._track_peers()
        self._persist(self.log.last_index, [entry])
        position = ProposedEntry(self.log.last_index, entry.term)
        for peer in self.progress:
            self._replicate_to(peer)
        return position

    def _track_peers(self) -> None:
        """Keeps the progress of present peers, and initializes that of new ones."""
        self.progress = {
            peer: self.progress.get(peer) or Progress(self.log.last_index + 1, last_reply_at=self.now)
            for peer in self._peers()
        }

    # Sending

    def _broadcast_heartbeat(self) -> None:
        self.next_heartbeat_at = self.now + self.settings.heartbeat_interval_s
        if self.transfer and self.now >= self.transfer.deadline:
            self.transfer = None  # the target was not elected in time
        for peer in self.progress:
            self._replicate_to(peer, heartbeat=True)

    def _replicate_to(self, peer: str, heartbeat: bool = False) -> None:
        """Sends missing entries, or the next snapshot chunk, unless a message is in flight to the peer.

        A heartbeat is sent in any case.
        """
        progress = self.progress[peer]
        self._expire_in_flight_message(progress)
        if progress.next_index <= self.log.base:
            if progress.in_flight_since is None or heartbeat:
                self._send_snapshot_chunk(peer, progress)
            return
        prev_index = progress.next_index - 1
        entries: list[LogEntry] = []
        if progress.in_flight_since is None:
            entries = self.log.entries_after(prev_index, self.settings.max_batch_bytes)
        if entries:
            progress.in_flight_since = self.now
            progress.next_index += len(entries)
        elif heartbeat:  # probes the earliest index at which the logs may still differ
            prev_index = min(prev_index, max(progress.match_index, self.log.base))
        else:
            return
        self._send_entries(peer, prev_index, entries, heartbeat)

    def _expire_in_flight_message(self, progress: Progress) -> None:
        """Gives up a message that is in flight for too long, so that its entries are sent again."""
        timeout_s = RESEND_AFTER_HEARTBEATS * self.settings.heartbeat_interval_s
        if progress.in_flight_since is not None and self.now - progress.in_flight_since > timeout_s:
            progress.in_flight_since, progress.next_index = None, progress.match_index + 1

    def _send_entries(self, peer: str, prev_index: int, entries: list[LogEntry], heartbeat: bool) -> None:
        self._send(
            peer,
            AppendEntries(
                self.current_term,
                prev_index,
                self.log.term(prev_index),
                entries,
                self.commit_index,
                self.heartbeat_round,
                self.members[peer].added_at,
                self.progress[peer].disk_id,
                dict(self.observed_storage) if heartbeat else {},
            ),
        )

    # Followers

    def _handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        if message.term < self.current_term:
            return self._reply_to_append(sender, message, False, 0)
        if self.role is Role.LEADER:
            raise InvariantViolation(
                f"{self.node_id} and {sender} are both leaders in term {self.current_term}"
            )
        self._become_follower(message.term, sender)
        self._adopt_membership(message)
        self._merge_observed_storage(message.observed_storage)
        prev_index, entries = message.prev_log_index, message.entries
        if prev_index < self.log.base:  # entries up to the snapshot are committed, so they match
            entries, prev_index = entries[self.log.base - prev_index :], self.log.base
        elif self.log.term(prev_index) != message.prev_log_term:
            return self._reply_to_append(sender, message, False, self._retry_index(prev_index))
        self._store_entries(sender, prev_index, entries)
        last_index = prev_index + len(entries)
        self._advance_commit_index(min(message.leader_commit, last_index))
        self._reply_to_append(sender, message, True, last_index)

    def _reply_to_append(self, sender: str, message: AppendEntries, success: bool, index: int) -> None:
        reply = AppendEntriesReply(self.current_term, success, index, message.heartbeat_round)
        self._send_when_durable(sender, reply)

    def _store_entries(self, sender: str, prev_index: int, entries: list[LogEntry]) -> None:
        """Replaces the log from the first conflicting entry on.

        Entries after the message's last one are kept unless there is a conflict, since the message may be
        delayed ([R] 5.3).
        """
        for index, entry in enumerate(entries, prev_index + 1):
            if self.log.term(index) == entry.term:
                continue
            if index <= self.commit_index:
                raise InvariantViolation(
                    f"{self.node_id}: committed entry {index} conflicts with an entry from {sender}"
                )
            new_entries = entries[index - prev_index - 1 :]
            self.log.replace_from(index, new_entries)
            self.members, self.members_index = self._members_at()
            self._persist(index, new_entries)
            return

    def _retry_index(self, prev_index: int) -> int:
        """Returns the index that the leader should try next: before the conflicting term ([R] 5.3)."""
        if prev_index > self.log.last_index:
            return self.log.last_index
        term, index = self.log.term(prev_index), prev_index
        while index > max(self.commit_index, self.log.base) and self.log.term(index) == term:
            index -= 1
        return index

    # Replies

    def _handle_replication_reply(
        self, sender: str, message: AppendEntriesReply | InstallSnapshotReply
    ) -> None:
        progress = self.progress[sender]
        progress.last_reply_at = self.now
        progress.acked_round = max(progress.acked_round, message.heartbeat_round)
        if isinstance(message, InstallSnapshotReply):
            self._record_snapshot_offset(progress, message)
        elif message.success:
            self._record_match(progress, message.index)
            self._advance_commit_by_majority()
            self._promote_caught_up_learner(sender, progress)
        elif message.index >= progress.match_index:  # otherwise the reply is outdated
            progress.next_index = min(progress.next_index, message.index + 1)
            progress.in_flight_since = None
        self._answer_confirmed_reads()
        if self.role is Role.LEADER and sender in self.progress:
            self._replicate_to(sender)
            self._send_timeout_now_if_caught_up(sender)

    @staticmethod
    def _record_snapshot_offset(progress: Progress, message: InstallSnapshotReply) -> None:
        is_next_chunk = (
            message.last_included_index == progress.snapshot_index
            and message.offset > progress.snapshot_offset
        )
        if is_next_chunk or message.offset == 0:
            progress.snapshot_offset, progress.in_flight_since = message.offset, None

    @staticmethod
    def _record_match(progress: Progress, index: int) -> None:
        """Records that the peer's log matches up to `index`."""
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.match_index >= progress.next_index - 1:
            progress.in_flight_since = None
        elif progress.in_flight_since is None:  # a new peer: no message is in flight, but entries are missing
            progress.next_index = progress.match_index + 1

    # Commitment

    def _advance_commit_by_majority(self) -> None:
        match_indexes = sorted(
            (
                self.durable_index if node_id == self.node_id else self.progress[node_id].match_index
                for node_id in self.members
                if self._is_voter(node_id)
            ),
            reverse=True,
        )
        index = match_indexes[self._commit_quorum() - 1]
        if index <= self.commit_index or not self._may_commit_by_counting(index):
            return
        self._advance_commit_index(index)
        if self.members_index <= self.commit_index and self.node_id not in self.members:
            self._step_down()  # this node was removed; the others elect a leader
            return
        self._answer_confirmed_reads()

    def _commit_quorum(self) -> int:
        return majority(self.members)

    def _may_commit_by_counting(self, index: int) -> bool:
        """Returns whether the entry is of the leader's term; older ones commit indirectly ([R] 5.4.2)."""
        return self.log.term(index) == self.current_term

    def _advance_commit_index(self, index: int) -> None:
        if index <= self.commit_index:
            return
        previous_index, self.commit_index = self.commit_index, index
        if previous_index < self.members_index <= index:  # a membership change is now committed
            self._record_removed_disks()
