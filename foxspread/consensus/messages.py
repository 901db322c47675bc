"""The messages between coordinators, named as in the Raft paper and thesis.

Each message is a frozen struct that is encoded as an array (`records.ArrayStruct`): the order of its fields
is the format, and `wire_tags` has the tag of its type. `term` is the sender's current term unless noted.
Sources: [R] figures 2 and 13, [T] 3.10 (TimeoutNow), 6.4 (ReadIndex), 9.6 (pre-vote); the docstring of
`raft` says which texts [R] and [T] are.
"""

from foxspread.consensus import wire_tags
from foxspread.consensus.records import ArrayStruct, LogEntry, Members, ObservedStorage, StorageIdentity

SNAPSHOT_CHUNK_BYTES = 24 * 1024  # data of one InstallSnapshot: small, so that it doesn't delay heartbeats
ENTRIES_BATCH_BYTES = 48 * 1024  # entries of one AppendEntries, unless a single one is larger


class RequestVote(ArrayStruct, frozen=True, tag=wire_tags.REQUEST_VOTE):
    """A candidate's request for a vote ([R] 5.2) or for a pre-vote ([T] 9.6).

    term: the term of the election; of a pre-vote, the term that an election would start.
    last_log_index, last_log_term: position of the candidate's last entry ([R] 5.4.1).
    pre_vote: the voter only says whether it would vote, and records no vote.
    leadership_transfer: the leader asked for this election, so voters that have a leader grant votes too.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class RequestVoteReply(ArrayStruct, frozen=True, tag=wire_tags.REQUEST_VOTE_REPLY):
    """Reply to `RequestVote`; the `term` of a granted pre-vote is that of the request."""

    term: int
    vote_granted: bool
    pre_vote: bool = False


class AppendEntries(ArrayStruct, frozen=True, tag=wire_tags.APPEND_ENTRIES):
    """The leader's log entries after `prev_log_index`; a heartbeat if there are none ([R] 5.3).

    leader_commit: the leader's commit index.
    heartbeat_round: echoed in the reply, so that reads can recognize replies to later messages ([T] 6.4).
    member_added_at: `MemberAddress.added_at` of the receiver in the leader's members.
    disk_id: id of the receiver's disk as last received by the leader; empty if none was received.
    observed_storage: the leader's observations of all members' disks; only in heartbeats.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[LogEntry]
    leader_commit: int
    heartbeat_round: int
    member_added_at: int = -1
    disk_id: str = ""
    observed_storage: dict[str, ObservedStorage] = {}


class AppendEntriesReply(ArrayStruct, frozen=True, tag=wire_tags.APPEND_ENTRIES_REPLY):
    """Reply to `AppendEntries`, and to an `InstallSnapshot` after which the log matches the leader's.

    success: whether the sender's log matches the leader's up to `index`.
    index: without `success`, the index after which the leader is to send entries next.
    """

    term: int
    success: bool
    index: int
    heartbeat_round: int


class InstallSnapshot(ArrayStruct, frozen=True, tag=wire_tags.INSTALL_SNAPSHOT):
    """One chunk of a snapshot ([R] figure 13).

    last_included_index, last_included_term: position of the last entry that the snapshot replaces.
    members, members_index: as in `Snapshot`.
    offset: position of `data` in the snapshot, in bytes.
    done: whether this is the last chunk.
    heartbeat_round, member_added_at, disk_id: as in `AppendEntries`.
    """

    term: int
    last_included_index: int
    last_included_term: int
    members: Members
    members_index: int
    offset: int
    data: bytes
    done: bool
    heartbeat_round: int
    member_added_at: int = -1
    disk_id: str = ""


class InstallSnapshotReply(ArrayStruct, frozen=True, tag=wire_tags.INSTALL_SNAPSHOT_REPLY):
    """Reply to `InstallSnapshot`: `offset` bytes are received, and the next chunk starts there."""

    term: int
    last_included_index: int
    offset: int
    heartbeat_round: int


class TimeoutNow(ArrayStruct, frozen=True, tag=wire_tags.TIMEOUT_NOW):
    """The leader's request to a caught-up follower to start an election at once ([T] 3.10)."""

    term: int


class ReadIndex(ArrayStruct, frozen=True, tag=wire_tags.READ_INDEX):
    """A follower's request for the index that a read must wait for ([T] 6.4).

    incarnation, token: ids of the requesting process and of its read, echoed in the reply.
    """

    term: int
    incarnation: str
    token: int


class ReadIndexReply(ArrayStruct, frozen=True, tag=wire_tags.READ_INDEX_REPLY):
    """Reply to `ReadIndex`: the read may be answered once `read_index` is applied.

    is_leader: False if the sender couldn't confirm that it leads; `read_index` is then meaningless.
    """

    term: int
    incarnation: str
    token: int
    read_index: int
    is_leader: bool


class HostMessage(ArrayStruct, frozen=True, tag=wire_tags.HOST_MESSAGE):
    """A message between the hosts of two nodes, opaque to Raft; it may be lost, late or duplicated."""

    term: int
    body: bytes


class StorageCheck(ArrayStruct, frozen=True, tag=wire_tags.STORAGE_CHECK):
    """A starting node's question whether a peer knows of later writes of the disk in the envelope."""


class StorageCheckReply(ArrayStruct, frozen=True, tag=wire_tags.STORAGE_CHECK_REPLY):
    """Reply to `StorageCheck` of a peer that knows of no later writes.

    incarnation: that of the process that sent the check.
    """

    incarnation: str


class StorageRejected(ArrayStruct, frozen=True, tag=wire_tags.STORAGE_REJECTED):
    """Tells the receiver that its disk lacks writes which it has acknowledged.

    incarnation: that of the rejected process; a later process ignores the message.
    reason: text for human readers.
    members_index: index of the entry with the members that the sender knows.
    member_added_at: as reported by the rejected disk.
    """

    incarnation: str
    reason: str
    members_index: int
    member_added_at: int


# Messages whose `term` makes a receiver with an older term a follower ([R] 5.1). RequestVote is not one of
# them, since a voter that has a leader ignores it.
TermMessage = (
    RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | ReadIndex
    | ReadIndexReply
    | HostMessage
)

Message = RequestVote | TermMessage | StorageCheck | StorageCheckReply | StorageRejected


class Envelope(ArrayStruct, frozen=True):
    """A message with the header that is checked before the message is handled.

    fleet: id of the cluster.
    format: version of the encoding.
    sender, recipient: node ids.
    storage: identity of the sender's disk.
    """

    fleet: str
    format: int
    sender: str
    recipient: str
    storage: StorageIdentity
    message: Message
