"""Linearizable reads without log entries: ReadIndex ([T] 6.4).

A read waits until a majority has replied to a heartbeat that was sent after the read arrived, which shows
that this node still led, and until the commit index at its arrival is applied. Concurrent reads share a
heartbeat round. Lease-based reads ([T] 6.4.1) are not used: they depend on clocks, and a process that was
suspended could return stale data.
"""

from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.messages import ReadIndex, ReadIndexReply
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.state import RaftState, majority
from foxspread.consensus.raft.types import IndexedRead, PendingRead, ReadResult

MAX_PENDING_READS = 4096  # further reads are rejected, to bound the memory while a majority is slow


class Reads(RaftState):
    """Reads of this node's host, and reads that followers forward to their leader."""

    def read(self, now: float, token: int) -> None:
        """Starts a read; `Ready.reads` contains its token once the host may answer it.

        A follower requests the read index from its leader. Raises `RequestRejected`.
        """
        self._advance_clock(now)
        if self.role is Role.LEADER:
            self.pending_reads.append(PendingRead(token))
            self._assign_read_indexes()
        elif self.role is Role.FOLLOWER and self.leader_id and len(self.forwarded_reads) < MAX_PENDING_READS:
            self.forwarded_reads.add(token)
            self._send(self.leader_id, ReadIndex(self.current_term, self.incarnation, token))
        else:
            raise RequestRejected("this node is not the leader, and knows of none")

    def cancel_read(self, token: int) -> None:
        """Drops a read whose caller no longer waits."""
        self.forwarded_reads.discard(token)
        self.pending_reads = [
            read for read in self.pending_reads if read.token != token or read.requester is not None
        ]
        self.indexed_reads = [read for read in self.indexed_reads if read.token != token]

    def _handle_read_index(self, sender: str, message: ReadIndex) -> None:
        has_capacity = len(self.pending_reads) < MAX_PENDING_READS
        if self.role is Role.LEADER and has_capacity and sender in self.members:
            self.pending_reads.append(PendingRead(message.token, (sender, message.incarnation)))
            self._assign_read_indexes()
        else:
            reply = ReadIndexReply(self.current_term, message.incarnation, message.token, 0, False)
            self._send(sender, reply)

    def _handle_read_index_reply(self, message: ReadIndexReply) -> None:
        """Handles the reply to a forwarded read; ignores replies to earlier incarnations of this node."""
        if message.incarnation != self.incarnation or message.token not in self.forwarded_reads:
            return
        self.forwarded_reads.discard(message.token)
        if message.is_leader:
            self.indexed_reads.append(IndexedRead(message.token, message.read_index))
        else:
            self.ready.reads.append(ReadResult(message.token, False))

    def _assign_read_indexes(self) -> None:
        """Sets the read index of new reads, once an entry of the leader's own term is committed ([R] 8)."""
        if self.commit_index < self.first_index_of_term:
            return
        for read in self.pending_reads:
            if read.read_index is None:
                read.read_index, self.read_round_due = self.commit_index, True

    def _start_read_round(self) -> None:
        """Sends a heartbeat round to all peers, which confirms all reads that have a read index."""
        self.read_round_due = False
        self.heartbeat_round += 1
        for read in self.pending_reads:
            if not read.required_round and read.read_index is not None:
                read.required_round = self.heartbeat_round
        for peer in self.progress:
            self._replicate_to(peer, heartbeat=True)
        self._answer_confirmed_reads()

    def _answer_confirmed_reads(self) -> None:
        if self.role is not Role.LEADER or not self.pending_reads:
            return
        self._assign_read_indexes()
        rounds = sorted(
            (
                self.heartbeat_round if node_id == self.node_id else self.progress[node_id].acked_round
                for node_id in self.members
                if self._is_voter(node_id)
            ),
            reverse=True,
        )
        majority_round = rounds[majority(self.members) - 1]
        confirmed = [read for read in self.pending_reads if self._is_confirmed(read, majority_round)]
        self.pending_reads = [read for read in self.pending_reads if read not in confirmed]
        for read in confirmed:
            self._finish_read(read, True)

    def _is_confirmed(self, read: PendingRead, majority_round: int) -> bool:
        return 0 < read.required_round <= majority_round

    def _reject_pending_reads(self) -> None:
        for read in self.pending_reads:
            self._finish_read(read, False)
        self.pending_reads = []

    def _finish_read(self, read: PendingRead, is_leader: bool) -> None:
        if read.requester is None:
            self.ready.reads.append(ReadResult(read.token, is_leader))
            return
        node_id, incarnation = read.requester
        reply = ReadIndexReply(self.current_term, incarnation, read.token, read.read_index or 0, is_leader)
        self._send(node_id, reply)

    def _take_applied_reads(self) -> list[ReadResult]:
        """Removes and returns forwarded reads whose read index is applied."""
        applied = [read for read in self.indexed_reads if read.read_index <= self.last_applied]
        self.indexed_reads = [read for read in self.indexed_reads if read.read_index > self.last_applied]
        return [ReadResult(read.token, True) for read in applied]
