"""Writes to the disk, and messages that must not be sent before writes are durable.

Votes, vote requests and acknowledgements depend on the persistent state, so they are delayed until the disk
has confirmed all writes before them ([R] figure 2: "updated on stable storage before responding"). A
leader's AppendEntries are sent at once; its log may become durable after its followers' ([T] 10.2.1).
"""

from foxspread.consensus.messages import Envelope, Message
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.state import RaftState
from foxspread.consensus.raft.types import DelayedMessage, PendingWrite
from foxspread.consensus.records import LogEntry, Snapshot, StorageWrite
from foxspread.consensus.wire import FORMAT


class Persistence(RaftState):
    """Numbers the writes of a node, and delays messages that depend on them."""

    def on_writes_durable(self, now: float, number: int) -> None:
        """Records that all writes up to this number are durable, and sends messages that waited for them."""
        self._advance_clock(now)
        self.confirmed_write = max(self.confirmed_write, number)
        while self.pending_writes and self.pending_writes[0].number <= number:
            last_index = self.pending_writes.pop(0).last_index
            self.durable_index = max(self.durable_index, min(last_index, self.log.last_index))
        self._send_delayed_messages()
        if self.role is Role.CANDIDATE:
            self._become_leader_if_elected()
        elif self.role is Role.LEADER:
            self._advance_commit_by_majority()

    def on_disk_failure(self, now: float, reason: str) -> None:
        """Bars the node after a failed write, so this process acknowledges nothing more.

        A later process starts from whatever the disk then holds. That includes all acknowledged writes, since
        only durable writes are acknowledged.
        """
        self._advance_clock(now)
        self._become_barred(f"the disk fails: {reason}", persist=False)

    def _become_barred(self, reason: str, persist: bool = True) -> None:
        if self.role is Role.BARRED:
            return
        self.barred_reason, self.delayed_messages = reason, []
        self._transition_to(Role.BARRED)
        if persist:
            self._persist()

    def _persist(
        self,
        first_index: int = 0,
        entries: list[LogEntry] | None = None,
        snapshot: Snapshot | None = None,
        keep_log_suffix: bool = True,
    ) -> None:
        """Queues a write of the persistent state and of the given change of the log."""
        self.last_write += 1
        if first_index:  # replaced entries no longer count as durable, even if their write is confirmed later
            self.durable_index = min(self.durable_index, first_index - 1)
            for pending in self.pending_writes:
                pending.last_index = min(pending.last_index, first_index - 1)
        self.pending_writes.append(PendingWrite(self.last_write, self.log.last_index))
        self.ready.writes.append(
            StorageWrite(
                self.last_write,
                self.current_term,
                self.voted_for,
                dict(self.observed_storage),
                dict(self.removed_disks),
                self.barred_reason,
                first_index,
                entries or [],
                snapshot,
                keep_log_suffix,
                self.member_added_at,
            )
        )

    def _send(self, recipient: str, message: Message) -> None:
        """Sends a message that doesn't depend on pending writes."""
        self._queue_envelope(recipient, message)

    def _send_when_durable(self, recipient: str, message: Message) -> None:
        """Sends a message once all writes so far are durable."""
        if self.last_write > self.confirmed_write:
            self.delayed_messages.append(DelayedMessage(self.last_write, recipient, message))
        else:
            self._queue_envelope(recipient, message)

    def _queue_envelope(self, recipient: str, message: Message) -> None:
        self.ready.messages.append(
            Envelope(self.fleet, FORMAT, self.node_id, recipient, self.storage_identity(), message)
        )

    def _send_delayed_messages(self) -> None:
        sendable = [each for each in self.delayed_messages if each.after_write <= self.confirmed_write]
        self.delayed_messages = [
            each for each in self.delayed_messages if each.after_write > self.confirmed_write
        ]
        for delayed in sendable:
            self._queue_envelope(delayed.recipient, delayed.message)
