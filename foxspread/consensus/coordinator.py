"""One coordinator without I/O: a Raft node, the state machine that applies its log, and the pending calls.

Each call is answered exactly once, within the answer timeout. If it is unknown whether a write is committed,
the answer is `UNKNOWN`; the caller retries with the same request id, which is idempotent (see `versions`).
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.messages import Envelope
from foxspread.consensus.raft import RaftNode, RaftSettings, Ready, Role
from foxspread.consensus.raft.types import ProposedEntry
from foxspread.consensus.records import LogEntry, Members, Snapshot, StorageWrite, StoredState
from foxspread.consensus.versions import PutVersion, VersionStore
from foxspread.consensus.wire import encode

MAX_WATCHES = 2048  # pending calls of `watch`
MAX_PENDING_CALLS = 1024  # pending reads and writes; further ones are rejected at once
MIN_COMPACTION_BYTES = 1024 * 1024  # of log entries: a snapshot of a shorter log isn't worth its write
DEFAULT_ANSWER_TIMEOUT_S = 2.0


class Status(enum.Enum):
    """Outcome of a call; the values are those of the HTTP interface."""

    DONE = "done"  # the call was executed; its value is the result
    NOT_LEADER = "elsewhere"  # nothing was done: this node doesn't lead
    REJECTED = "refused"  # nothing was done; the value states the reason
    UNKNOWN = "unknown"  # the write may or may not be committed


@dataclass(frozen=True)
class Answer:
    """The answer to one call.

    token: the token that the caller gave the call.
    value: the result from the state machine, or a reason as text.
    leader: node id of the leader that this node knows; empty if it knows none.
    """

    token: int
    status: Status
    value: Any = None
    leader: str = ""


@dataclass
class PendingCall:
    """A read or a write that waits for Raft until `deadline`.

    version_number: the version that a read asks for; 0: the latest.
    index, term: position of a write's log entry; index 0 marks a read.
    """

    token: int
    deadline: float
    version_number: int = -1
    index: int = 0
    term: int = 0


@dataclass(frozen=True)
class Watch:
    """A call that waits for a version later than `after_version`, until `deadline`."""

    after_version: int
    deadline: float


@dataclass
class Outputs:
    """Work for the process: messages to send, writes to make durable, answers to deliver."""

    messages: list[Envelope] = field(default_factory=list)
    writes: list[StorageWrite] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)


class Coordinator:
    """A Raft node with its state machine and the pending calls.

    All times are seconds of the process's clock. The caller chooses a unique token for each call.
    """

    # Replaced by subclasses, and in the lab by deliberately broken variants.
    node_type, store_type = RaftNode, VersionStore
    min_compaction_bytes = MIN_COMPACTION_BYTES

    def __init__(
        self,
        now: float,
        node_id: str,
        fleet: str,
        stored: StoredState,
        members: Members,
        settings: RaftSettings,
        random: Callable[[], float],
        answer_timeout_s: float = DEFAULT_ANSWER_TIMEOUT_S,
    ) -> None:
        """`answer_timeout_s` bounds the time until each call is answered; see `RaftNode` for the others."""
        self.raft = self.node_type(now, node_id, fleet, stored, members, settings, random)
        self.versions, self.answer_timeout_s = self.store_type(), answer_timeout_s
        self.versions.restore(self.raft.snapshot.data)
        self.pending_calls: dict[int, PendingCall] = {}  # by token
        self.token_by_index: dict[int, int] = {}  # tokens of writes, by log index
        self.watches: dict[int, Watch] = {}  # by token
        self.answers: list[Answer] = []
        self.log_bytes = self._count_log_bytes()

    # Calls

    def put(self, now: float, token: int, put: PutVersion) -> None:
        """Writes a version; the answer's value is a `PutResult`."""
        self._write(now, token, lambda: self.raft.propose(now, encode(put)))

    def change_membership(self, now: float, token: int, node_id: str, address: str | None) -> None:
        """Adds a member, or removes it if `address` is None; answered once the change is committed."""
        self._write(now, token, lambda: self.raft.change_membership(now, node_id, address))

    def _write(self, now: float, token: int, propose: Callable[[], ProposedEntry]) -> None:
        if not self._admit_call(token):
            return
        try:
            entry = propose()
        except RequestRejected as error:
            return self._reject_call(token, str(error))
        deadline = now + self.answer_timeout_s
        self.pending_calls[token] = PendingCall(token, deadline, index=entry.index, term=entry.term)
        self.token_by_index[entry.index] = token

    def get(self, now: float, token: int, number: int = 0) -> None:
        """Reads the version with this number, or the latest one (0) by a linearizable read.

        A numbered version never changes, so any node that has it answers at once.
        """
        if number and (version := self.versions.get(number)) is not None:
            return self._answer_call(token, Status.DONE, version)
        if not self._admit_call(token):
            return
        try:
            self.raft.read(now, token)
        except RequestRejected as error:
            return self._reject_call(token, str(error))
        self.pending_calls[token] = PendingCall(token, now + self.answer_timeout_s, number)

    def watch(self, now: float, token: int, after_version: int, timeout_s: float) -> None:
        """Answers with this node's latest version once it exceeds `after_version`, or after `timeout_s`.

        Any node answers, and may lag behind the leader.
        """
        if self.versions.latest > after_version:
            self._answer_call(token, Status.DONE, self.versions.get())
        elif len(self.watches) >= MAX_WATCHES:
            self.answers.append(Answer(token, Status.REJECTED, f"limit of {MAX_WATCHES} watches reached"))
        else:
            self.watches[token] = Watch(after_version, now + timeout_s)

    def transfer_leadership(self, now: float, token: int, target: str) -> None:
        """Starts a leadership transfer to `target`; answered once the transfer has started."""
        try:
            self.raft.transfer_leadership(now, target)
        except RequestRejected as error:
            return self._reject_call(token, str(error))
        self._answer_call(token, Status.DONE)

    def cancel(self, token: int) -> None:
        """Drops a call whose caller no longer waits for the answer."""
        self.watches.pop(token, None)
        self.raft.cancel_read(token)

    def _admit_call(self, token: int) -> bool:
        """Returns True if there is capacity for another call; otherwise rejects the call."""
        if len(self.pending_calls) < MAX_PENDING_CALLS:
            return True
        reason = f"limit of {MAX_PENDING_CALLS} pending calls reached"
        self.answers.append(Answer(token, Status.REJECTED, reason))
        return False

    def _reject_call(self, token: int, reason: str) -> None:
        is_leader = self.raft.role is Role.LEADER
        self._answer_call(token, Status.REJECTED if is_leader else Status.NOT_LEADER, reason)

    def _answer_call(self, token: int, status: Status, value: Any = None) -> None:
        self.answers.append(Answer(token, status, value, self.raft.leader_id))

    # Inputs

    def receive(self, now: float, envelope: Envelope) -> None:
        """Handles a message from another node."""
        self.raft.receive(now, envelope)

    def on_writes_durable(self, now: float, number: int) -> None:
        """Records that all writes up to this number are durable."""
        self.raft.on_writes_durable(now, number)

    def on_disk_failure(self, now: float, reason: str) -> None:
        """Handles a failed write; see `RaftNode.on_disk_failure`."""
        self.raft.on_disk_failure(now, reason)

    def tick(self, now: float) -> None:
        """Handles everything that is due by `now`; the process calls it at `wake_at`."""
        self.raft.tick(now)
        for call in [each for each in self.pending_calls.values() if each.deadline <= now]:
            self._expire_call(call)
        self._answer_version_watches(now)

    def _expire_call(self, call: PendingCall) -> None:
        """Answers a call whose deadline has passed."""
        reason = "no majority answered in time"
        del self.pending_calls[call.token]
        if not call.index:
            self.raft.cancel_read(call.token)
            self.answers.append(Answer(call.token, Status.NOT_LEADER, reason))
            return
        if self.token_by_index.get(call.index) == call.token:  # a later call may have taken over the index
            del self.token_by_index[call.index]
        self._answer_call(call.token, Status.UNKNOWN, reason)

    def _answer_version_watches(self, now: float) -> None:
        for token, watch in list(self.watches.items()):
            if self.versions.latest > watch.after_version or watch.deadline <= now:
                del self.watches[token]
                self._answer_call(token, Status.DONE, self.versions.get())

    def wake_at(self) -> float:
        """Returns the time of the next due `tick`; infinite if there is none."""
        # All calls have the same timeout, so the oldest is due first.
        oldest = next(iter(self.pending_calls.values()), None)
        call_deadline = oldest.deadline if oldest else float("inf")
        watch_deadline = min((watch.deadline for watch in self.watches.values()), default=float("inf"))
        return min(self.raft.wake_at(), call_deadline, watch_deadline)

    # Outputs

    def take_outputs(self, now: float) -> Outputs:
        """Applies committed entries, and returns the work that has accumulated since the last call."""
        outputs = Outputs()
        while ready := self.raft.take_ready():
            outputs.messages += ready.messages
            outputs.writes += ready.writes
            self._apply(now, ready)
        outputs.answers, self.answers = self.answers, []
        return outputs

    def _apply(self, now: float, ready: Ready) -> None:
        if ready.installed_snapshot is not None:
            self._restore_snapshot(ready.installed_snapshot)
        for index, entry in ready.entries:
            self._apply_entry(index, entry)
        for sender, body in ready.host_messages:
            self._handle_host_message(now, sender, body)
        for token, confirmed in ready.reads:
            if not self._handle_read_result(now, token, confirmed):
                self._answer_read(token, confirmed)
        if self.watches and (ready.entries or ready.installed_snapshot is not None):
            self._answer_version_watches(now)
        self._compact(now)

    def _answer_read(self, token: int, confirmed: bool) -> None:
        call = self.pending_calls.pop(token, None)
        if call is None:
            return  # the call has timed out
        if confirmed:
            self._answer_call(token, Status.DONE, self.versions.get(call.version_number))
        else:
            self._answer_call(token, Status.NOT_LEADER, "this node is no longer the leader")

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.versions.restore(snapshot.data)
        self.log_bytes = self._count_log_bytes()
        for index in [each for each in self.token_by_index if each <= snapshot.index]:
            # The snapshot doesn't show whether this write was committed.
            token = self.token_by_index.pop(index)
            del self.pending_calls[token]
            self._answer_call(token, Status.UNKNOWN, "a snapshot replaced the log entry of this write")

    def _apply_entry(self, index: int, entry: LogEntry) -> None:
        self.log_bytes += entry.size()
        value = self.versions.apply(entry.body) if entry.body else entry.members
        token = self.token_by_index.pop(index, None)
        if token is None:
            return
        call = self.pending_calls.pop(token)
        if call.term == entry.term:
            self._answer_call(token, Status.DONE, value)
        else:  # the call's own entry was overwritten, so it will never be committed
            self._answer_call(token, Status.NOT_LEADER, "the log entry was overwritten by another leader")

    def _handle_host_message(self, now: float, sender: str, body: bytes) -> None:
        """Handles a message from the coordinator of another node; a hook for subclasses."""

    def _handle_read_result(self, now: float, token: int, confirmed: bool) -> bool:
        """Returns True if the read was a subclass's own and is handled; a hook for subclasses."""
        return False

    def _compact(self, now: float) -> None:
        """Takes a snapshot once the log is larger than the last snapshot, so that its cost is amortized."""
        if self.log_bytes <= max(self.min_compaction_bytes, len(self.raft.snapshot.data)):
            return
        previous_index = self.raft.snapshot.index
        self.raft.compact(now, self.raft.last_applied, self.versions.encode_snapshot())
        if self.raft.snapshot.index > previous_index:
            self.log_bytes = self._count_log_bytes()

    def _count_log_bytes(self) -> int:
        return sum(entry.size() for entry in self.raft.log.entries)
