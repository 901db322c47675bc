"""Data types of a node's state and of its outputs to the host.

Times are seconds of the node's clock, as in `state`.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from foxspread.consensus.messages import ENTRIES_BATCH_BYTES, Envelope, Message
from foxspread.consensus.records import LogEntry, Snapshot, StorageWrite


@dataclass(frozen=True)
class RaftSettings:
    """Timing and bounds of a node.

    heartbeat_interval_s: seconds between a leader's heartbeats.
    election_timeout_s: an election starts one to two of these after the last contact with a leader.
    max_uncommitted_entries: number of uncommitted entries at which further proposals are rejected.
    max_batch_bytes: total size of the entries in one message, unless a single entry is larger.
    """

    heartbeat_interval_s: float = 0.06
    election_timeout_s: float = 0.3
    max_uncommitted_entries: int = 512
    max_batch_bytes: int = ENTRIES_BATCH_BYTES


@dataclass
class Progress:
    """A leader's view of one peer.

    next_index, match_index: as in [R] figure 2.
    last_reply_at: time of the peer's last reply in this term.
    acked_round: latest heartbeat round that the peer has replied to.
    in_flight_since: when the unacknowledged entries or snapshot chunk were sent; None if there are none.
    snapshot_index, snapshot_offset: the snapshot that is sent to the peer, and the bytes acknowledged of it.
    disk_id: id of the peer's disk in its last reply.
    """

    next_index: int
    match_index: int = 0
    last_reply_at: float = 0.0
    acked_round: int = 0
    in_flight_since: float | None = None
    snapshot_offset: int = 0
    snapshot_index: int = 0
    disk_id: str = ""


@dataclass
class PendingRead:
    """A linearizable read that waits for a majority to confirm the leader ([T] 6.4).

    requester: node id and incarnation of the follower that forwarded the read; None for this node's own host.
    read_index: index that must be applied first; None until an entry of this term is committed.
    required_round: heartbeat round that a majority must reply to; 0 if not sent yet.
    """

    token: int
    requester: tuple[str, str] | None = None
    read_index: int | None = None
    required_round: int = 0


class IndexedRead(NamedTuple):
    """A forwarded read of this follower's host, which may be answered once `read_index` is applied."""

    token: int
    read_index: int


class ReadResult(NamedTuple):
    """The end of a read. `confirmed` is False if the leader could not confirm that it still leads."""

    token: int
    confirmed: bool


@dataclass(frozen=True)
class ProposedEntry:
    """Position of a proposal: committed if the committed entry at `index` has this `term`."""

    index: int
    term: int


class AppliedEntry(NamedTuple):
    """A committed entry, for the state machine."""

    log_index: int
    entry: LogEntry


class ReceivedHostMessage(NamedTuple):
    """A `HostMessage` from the host of another node."""

    sender: str
    body: bytes


class DelayedMessage(NamedTuple):
    """A message that may be sent only once the write number `after_write` is durable."""

    after_write: int
    recipient: str
    message: Message


class LeadershipTransfer(NamedTuple):
    """A transfer in progress ([T] 3.10); the leader abandons it after `deadline`."""

    target: str
    deadline: float


@dataclass
class PendingWrite:
    """A write that is not durable yet; `last_index` is the last log index that it makes durable."""

    number: int
    last_index: int


@dataclass
class IncomingSnapshot:
    """A snapshot that is being received in chunks; `data` is what has been received."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


@dataclass
class Ready:
    """Work for the host.

    messages: messages to send at once, in any order; the writes that they depend on are durable.
    writes: writes to make durable in this order.
    installed_snapshot: snapshot to load into the state machine before `entries` are applied.
    entries: committed entries to apply in this order.
    host_messages: messages from the hosts of other nodes.
    reads: reads that are ready to be answered, or failed.
    """

    messages: list[Envelope] = field(default_factory=list)
    writes: list[StorageWrite] = field(default_factory=list)
    installed_snapshot: Snapshot | None = None
    entries: list[AppliedEntry] = field(default_factory=list)
    host_messages: list[ReceivedHostMessage] = field(default_factory=list)
    reads: list[ReadResult] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(
            self.messages
            or self.writes
            or self.installed_snapshot
            or self.entries
            or self.host_messages
            or self.reads
        )
