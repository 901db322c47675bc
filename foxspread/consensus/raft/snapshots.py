"""Log compaction and snapshot transfer ([R] 7).

A follower that lacks entries which the leader has discarded receives the leader's snapshot in chunks, with
one chunk in flight at a time, so that heartbeats can be sent in between.
"""

from foxspread.consensus.messages import (
    SNAPSHOT_CHUNK_BYTES,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
)
from foxspread.consensus.raft.log import RaftLog
from foxspread.consensus.raft.state import RaftState
from foxspread.consensus.raft.types import IncomingSnapshot, Progress
from foxspread.consensus.records import Snapshot


class Snapshots(RaftState):
    """Takes, sends, receives and installs snapshots."""

    def compact(self, now: float, index: int, data: bytes) -> None:
        """Replaces the log up to `index` by a snapshot, if `index` is applied and durable."""
        self._advance_clock(now)
        if not self.snapshot.index < index <= min(self.last_applied, self.durable_index):
            return
        members, members_index = self._members_at(index)
        self.snapshot = Snapshot(index, self.log.term(index), members, members_index, data)
        self.log.discard_through(index, self.snapshot.term)
        self._persist(snapshot=self.snapshot)

    def _send_snapshot_chunk(self, peer: str, progress: Progress) -> None:
        snapshot = self.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index, progress.snapshot_offset = snapshot.index, 0
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        progress.in_flight_since = self.now
        self._send(
            peer,
            InstallSnapshot(
                self.current_term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                snapshot.members_index,
                offset,
                data,
                offset + len(data) >= len(snapshot.data),
                self.heartbeat_round,
                self.members[peer].added_at,
                progress.disk_id,
            ),
        )

    def _handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        if message.term < self.current_term:
            return self._reply_to_chunk(sender, message, 0, 0)
        self._become_follower(message.term, sender)
        self._adopt_membership(message)
        index = message.last_included_index
        if index <= self.commit_index:  # the message is outdated, or no snapshot is needed
            self.incoming_snapshot = None
            return self._reply_log_matches(sender, message, self.commit_index)
        data = self._received_data(index, message.last_included_term)
        if message.offset == len(data):
            data += message.data
            if message.done:
                self._install(
                    Snapshot(
                        index,
                        message.last_included_term,
                        message.members,
                        message.members_index,
                        bytes(data),
                    )
                )
                return self._reply_log_matches(sender, message, index)
        self._reply_to_chunk(sender, message, index, len(data))

    def _received_data(self, index: int, term: int) -> bytearray:
        """Returns the data received so far of this snapshot; drops the data of any other one."""
        incoming = self.incoming_snapshot
        if incoming is None or (incoming.index, incoming.term) != (index, term):
            incoming = self.incoming_snapshot = IncomingSnapshot(index, term)
        return incoming.data

    def _reply_to_chunk(self, sender: str, message: InstallSnapshot, index: int, offset: int) -> None:
        reply = InstallSnapshotReply(self.current_term, index, offset, message.heartbeat_round)
        self._send_when_durable(sender, reply)

    def _reply_log_matches(self, sender: str, message: InstallSnapshot, index: int) -> None:
        reply = AppendEntriesReply(self.current_term, True, index, message.heartbeat_round)
        self._send_when_durable(sender, reply)

    def _log_matches(self, snapshot: Snapshot) -> bool:
        """Returns whether the log has the snapshot's last entry; if so, later entries are kept ([R] 7)."""
        return self.log.term(snapshot.index) == snapshot.term

    def _install(self, snapshot: Snapshot) -> None:
        keep_suffix = self._log_matches(snapshot)
        self.incoming_snapshot, self.snapshot = None, snapshot
        if keep_suffix:
            self.log.discard_through(snapshot.index, snapshot.term)
            self.durable_index = max(self.durable_index, snapshot.index)
        else:
            self.log = RaftLog(snapshot.index, snapshot.term, [])
            self.pending_writes = []
            self.durable_index = snapshot.index
        self.commit_index = self.last_applied = snapshot.index
        self.members, self.members_index = self._members_at()
        self._record_removed_disks()
        self._persist(snapshot=snapshot, keep_log_suffix=keep_suffix)
        self.ready.installed_snapshot = snapshot
