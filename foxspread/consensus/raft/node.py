"""A Raft node: construction, inputs, and the dispatch of messages to the handlers of each concern.

The node does no I/O and reads no clock. Its host calls the inputs (`receive`, `tick`, `on_writes_durable`,
`propose`, `read`, `change_membership`, `transfer_leadership`, `compact`) with the present time, and then
does the work that `take_ready` returns. So the same code runs behind sockets, in simulations with virtual
time, and in exhaustive state exploration.
"""

from collections.abc import Callable

from foxspread.consensus.messages import (
    AppendEntries,
    Envelope,
    HostMessage,
    InstallSnapshot,
    ReadIndex,
    ReadIndexReply,
    RequestVote,
    RequestVoteReply,
    StorageCheck,
    StorageCheckReply,
    StorageRejected,
    TermMessage,
    TimeoutNow,
)
from foxspread.consensus.raft.election import Election
from foxspread.consensus.raft.log import RaftLog
from foxspread.consensus.raft.membership import Membership
from foxspread.consensus.raft.persistence import Persistence
from foxspread.consensus.raft.reads import Reads
from foxspread.consensus.raft.replication import LogReplication
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.snapshots import Snapshots
from foxspread.consensus.raft.state import NO_MEMBERSHIP, RaftState, majority
from foxspread.consensus.raft.storage_check import StorageChecks
from foxspread.consensus.raft.transfer import Transfer
from foxspread.consensus.raft.types import AppliedEntry, RaftSettings, Ready, ReceivedHostMessage
from foxspread.consensus.records import Members, Snapshot, StoredState

INCARNATION_BITS = 48  # random bits of an incarnation's id


class RaftNode(
    Persistence, StorageChecks, Election, Membership, LogReplication, Snapshots, Reads, Transfer, RaftState
):
    """A member of a Raft cluster; the module's docstring lists inputs and outputs."""

    def __init__(
        self,
        now: float,
        node_id: str,
        fleet: str,
        stored: StoredState,
        members: Members,
        settings: RaftSettings,
        random: Callable[[], float],
    ) -> None:
        """`members` are the initial members of a new cluster; empty for a node that joins a cluster."""
        incarnation = f"{int(random() * 2 ** INCARNATION_BITS):012x}"
        snapshot = stored.snapshot if stored.writes else Snapshot(members=members)
        log = RaftLog(snapshot.index, snapshot.term, list(stored.entries))
        initial_membership = 0 if members else NO_MEMBERSHIP
        super().__init__(
            now=now,
            node_id=node_id,
            fleet=fleet,
            settings=settings,
            random=random,
            incarnation=incarnation,
            disk_id=stored.disk_id,
            generation=stored.generation,
            writes_at_start=stored.writes,
            current_term=stored.term,
            voted_for=stored.voted_for,
            observed_storage=dict(stored.observed_storage),
            removed_disks=dict(stored.removed_disks),
            barred_reason=stored.barred_reason,
            member_added_at=stored.member_added_at if stored.writes else initial_membership,
            snapshot=snapshot,
            log=log,
            commit_index=snapshot.index,
            last_applied=snapshot.index,
            durable_index=log.last_index,
            role=Role.BARRED if stored.barred_reason else Role.STARTING,
            election_deadline=now,
        )
        self._start(is_new=not stored.writes and bool(members))

    def _start(self, is_new: bool) -> None:
        self.members, self.members_index = self._members_at()
        self.storage_confirmed_by.add(self.node_id)
        if is_new:  # stores the initial members, so that later changes of the configuration have no effect
            self._persist(snapshot=self.snapshot)
        if not self.members or majority(self.members) == 1 and self._is_voter(self.node_id):
            self._finish_storage_check()  # there are no peers to ask

    def receive(self, now: float, envelope: Envelope) -> None:
        """Handles a message from a peer."""
        self._advance_clock(now)
        sender, message = envelope.sender, envelope.message
        if self.role is Role.BARRED or sender == self.node_id:
            return
        # Messages of a leader are handled even if this node rejects the leader's disk: a majority accepted
        # that disk when it voted. Otherwise, a node that missed the removal and new addition of the present
        # leader would never learn of them, since only that leader could send it the entries.
        from_leader = isinstance(message, AppendEntries | InstallSnapshot | TimeoutNow)
        if not self._verify_storage(sender, envelope.storage) and not from_leader:
            return
        if isinstance(message, StorageCheck):
            self._send(sender, StorageCheckReply(envelope.storage.incarnation))
        elif isinstance(message, StorageRejected):
            self._handle_storage_rejected(sender, message)
        elif isinstance(message, StorageCheckReply):
            self._handle_storage_check_reply(sender, message)
        elif self.role is Role.STARTING:
            return  # nothing is acknowledged until a majority has confirmed this disk
        elif isinstance(message, RequestVote):
            self._handle_request_vote(sender, message)
        else:
            self._observe_term(message)
            self._dispatch(sender, message, envelope.storage.disk_id)

    def _observe_term(self, message: TermMessage) -> None:
        """Follows a later term ([R] 5.1), except that of a granted pre-vote, which has not started."""
        granted_pre_vote = isinstance(message, RequestVoteReply) and message.pre_vote and message.vote_granted
        if message.term > self.current_term and not granted_pre_vote:
            self._become_follower(message.term)

    def _dispatch(self, sender: str, message: TermMessage, disk_id: str) -> None:
        if isinstance(message, RequestVoteReply):
            self._handle_vote_reply(sender, message)
        elif isinstance(message, AppendEntries):
            self._handle_append_entries(sender, message)
        elif isinstance(message, InstallSnapshot):
            self._handle_install_snapshot(sender, message)
        elif isinstance(message, TimeoutNow):
            self._handle_timeout_now(message)
        elif isinstance(message, ReadIndex):
            self._handle_read_index(sender, message)
        elif isinstance(message, ReadIndexReply):
            self._handle_read_index_reply(message)
        elif isinstance(message, HostMessage):
            if sender in self.members:
                self.ready.host_messages.append(ReceivedHostMessage(sender, message.body))
        elif self.role is Role.LEADER and message.term == self.current_term and sender in self.progress:
            self.progress[sender].disk_id = disk_id
            self._handle_replication_reply(sender, message)

    def tick(self, now: float) -> None:
        """Handles everything that is due by `now`; the host calls it at `wake_at`."""
        self._advance_clock(now)
        if self.role is Role.LEADER:
            if now >= self.next_heartbeat_at:
                if self._has_quorum_contact():
                    self._broadcast_heartbeat()
                else:
                    self._step_down()
        elif self.role is Role.BARRED or now < self.election_deadline:
            return
        elif self.role is Role.STARTING:
            self._request_storage_checks()
        else:
            self._reset_election_timer()
            if self._is_voter(self.node_id):
                self._start_pre_vote()

    def wake_at(self) -> float:
        """Returns the time of the next due `tick`; infinite if there is none."""
        if self.role is Role.BARRED:
            return float("inf")
        return self.next_heartbeat_at if self.role is Role.LEADER else self.election_deadline

    def send_host_message(self, now: float, recipient: str, body: bytes) -> None:
        """Sends `body` to the host of another node; it may be lost, late or duplicated."""
        self._advance_clock(now)
        if self.role is not Role.BARRED:
            self._send(recipient, HostMessage(self.current_term, body))

    def take_ready(self) -> Ready:
        """Returns the work that has accumulated since the last call."""
        if self.role is Role.LEADER and self.read_round_due:
            self._start_read_round()
        ready, self.ready = self.ready, Ready()
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            ready.entries.append(AppliedEntry(self.last_applied, self.log.entry(self.last_applied)))
        if self.indexed_reads:
            ready.reads += self._take_applied_reads()
        return ready
