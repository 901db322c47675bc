"""The state of one Raft node, shared by all concerns of this package ([R] figure 2).

The state consists of plain typed fields, so that simulations can copy and compare it. Times are seconds of a
monotonic clock, which the host reads. The abstract methods declare what each concern offers to the others.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxspread.consensus.messages import AppendEntries, InstallSnapshot, Message
from foxspread.consensus.raft.log import RaftLog
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.types import (
    DelayedMessage,
    IncomingSnapshot,
    IndexedRead,
    LeadershipTransfer,
    PendingRead,
    PendingWrite,
    Progress,
    ProposedEntry,
    RaftSettings,
    Ready,
)
from foxspread.consensus.records import (
    LogEntry,
    Members,
    ObservedStorage,
    Snapshot,
    StorageIdentity,
)

NEVER_S = -1e9  # earlier than any time of the clock
NO_MEMBERSHIP = -1  # `member_added_at` of a disk that doesn't yet know when its member was added


@dataclass(eq=False)
class RaftState:
    """All fields of a node; fields with a default have this value at each start of the process."""

    now: float  # latest time that the host has passed in
    node_id: str
    fleet: str  # id of the cluster
    settings: RaftSettings
    random: Callable[[], float]  # returns numbers in [0, 1); a parameter so that simulations are repeatable
    incarnation: str  # random id of this process

    # Persistent: each change is followed by a write ([R] figure 2, `records.StorageWrite`).
    disk_id: str
    generation: int
    writes_at_start: int
    current_term: int
    voted_for: str
    observed_storage: dict[str, ObservedStorage]
    removed_disks: dict[str, str]
    barred_reason: str
    member_added_at: int
    snapshot: Snapshot
    log: RaftLog

    # Volatile.
    commit_index: int
    last_applied: int
    durable_index: int  # last index of the log that is durable on this node's disk
    role: Role
    election_deadline: float  # in role STARTING: when to ask the peers again
    members: Members = field(default_factory=dict)  # of the latest membership entry, committed or not
    members_index: int = 0  # index of that entry
    leader_id: str = ""
    last_leader_contact_at: float = NEVER_S
    incoming_snapshot: IncomingSnapshot | None = None
    storage_confirmed_by: set[str] = field(default_factory=set)  # nodes that know of no later write
    ready: Ready = field(default_factory=Ready)

    # Writes, and the messages that wait for them.
    last_write: int = 0  # number of the latest queued write
    confirmed_write: int = 0  # all writes up to this number are durable
    pending_writes: list[PendingWrite] = field(default_factory=list)
    delayed_messages: list[DelayedMessage] = field(default_factory=list)

    # Elections.
    votes_received: set[str] = field(default_factory=set)
    own_vote_write: int = 0  # number of the write with the candidate's vote for itself

    # Leaders.
    progress: dict[str, Progress] = field(default_factory=dict)
    next_heartbeat_at: float = 0.0
    heartbeat_round: int = 0
    read_round_due: bool = False  # whether reads wait for a heartbeat round that has not been sent
    first_index_of_term: int = 0  # index of the no-op that started the leader's term
    transfer: LeadershipTransfer | None = None

    # Reads.
    pending_reads: list[PendingRead] = field(default_factory=list)  # of a leader
    forwarded_reads: set[int] = field(default_factory=set)  # tokens of reads without a reply from the leader
    indexed_reads: list[IndexedRead] = field(default_factory=list)  # forwarded reads with a read index

    def storage_identity(self) -> StorageIdentity:
        """Returns the identity that this node's messages carry."""
        return StorageIdentity(
            self.disk_id,
            self.generation,
            self.incarnation,
            self.writes_at_start,
            self.writes_at_start + self.confirmed_write,
            self.member_added_at,
        )

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now)

    # Offered by `persistence`.

    def _persist(
        self,
        first_index: int = 0,
        entries: list[LogEntry] | None = None,
        snapshot: Snapshot | None = None,
        keep_log_suffix: bool = True,
    ) -> None:
        raise NotImplementedError

    def _send(self, recipient: str, message: Message) -> None:
        raise NotImplementedError

    def _send_when_durable(self, recipient: str, message: Message) -> None:
        raise NotImplementedError

    def _become_barred(self, reason: str, persist: bool = True) -> None:
        raise NotImplementedError

    # Offered by `election`.

    def _transition_to(self, role: Role) -> None:
        raise NotImplementedError

    def _become_follower(self, term: int, leader_id: str = "") -> None:
        raise NotImplementedError

    def _reset_election_timer(self) -> None:
        raise NotImplementedError

    def _step_down(self) -> None:
        raise NotImplementedError

    def _start_election(self, leadership_transfer: bool = False) -> None:
        raise NotImplementedError

    def _become_leader_if_elected(self) -> None:
        raise NotImplementedError

    # Offered by `membership`.

    def _is_voter(self, node_id: str) -> bool:
        raise NotImplementedError

    def _peers(self) -> list[str]:
        raise NotImplementedError

    def _members_at(self, last_index: int | None = None) -> tuple[Members, int]:
        raise NotImplementedError

    def _adopt_membership(self, message: AppendEntries | InstallSnapshot) -> None:
        raise NotImplementedError

    def _promote_caught_up_learner(self, node_id: str, progress: Progress) -> None:
        raise NotImplementedError

    def _record_removed_disks(self) -> None:
        raise NotImplementedError

    # Offered by `replication`.

    def _append_as_leader(self, entry: LogEntry) -> ProposedEntry:
        raise NotImplementedError

    def _track_peers(self) -> None:
        raise NotImplementedError

    def _broadcast_heartbeat(self) -> None:
        raise NotImplementedError

    def _replicate_to(self, peer: str, heartbeat: bool = False) -> None:
        raise NotImplementedError

    def _advance_commit_by_majority(self) -> None:
        raise NotImplementedError

    def _require_accepting_leader(self) -> None:
        raise NotImplementedError

    # Offered by `snapshots`.

    def _send_snapshot_chunk(self, peer: str, progress: Progress) -> None:
        raise NotImplementedError

    # Offered by `reads`.

    def _reject_pending_reads(self) -> None:
        raise NotImplementedError

    def _answer_confirmed_reads(self) -> None:
        raise NotImplementedError

    # Offered by `transfer`.

    def _send_timeout_now_if_caught_up(self, peer: str) -> None:
        raise NotImplementedError

    # Offered by `storage_check`.

    def _merge_observed_storage(self, observed: dict[str, ObservedStorage]) -> None:
        raise NotImplementedError


def majority(members: Members) -> int:
    """Returns the number of voters that form a majority."""
    return sum(member.voter for member in members.values()) // 2 + 1
