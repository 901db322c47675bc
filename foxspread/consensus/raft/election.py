"""Leader election ([R] 5.2, 5.4.1), with pre-vote ([T] 9.6) and check-quorum ([T] 6.2).

A node without contact with a leader for an election timeout first asks whether it would win an election
(pre-vote), so a partitioned node doesn't raise the term. Voters that are in contact with a leader ignore
vote requests, unless that leader started a leadership transfer. A leader that got no replies from a majority
for an election timeout steps down (check-quorum).
"""

from foxspread.consensus.errors import InvariantViolation
from foxspread.consensus.messages import RequestVote, RequestVoteReply
from foxspread.consensus.raft.roles import LEGAL_TRANSITIONS, Role
from foxspread.consensus.raft.state import RaftState, majority
from foxspread.consensus.records import LogEntry


class Election(RaftState):
    """Role transitions, terms and votes."""

    # Transitions

    def _transition_to(self, role: Role) -> None:
        """Changes the role. Raises `InvariantViolation` if `LEGAL_TRANSITIONS` lacks the transition."""
        if role not in LEGAL_TRANSITIONS[self.role]:
            raise InvariantViolation(
                f"{self.node_id}: illegal transition from {self.role.value} to {role.value} "
                f"in term {self.current_term}"
            )
        if self.role is Role.LEADER:
            self._reject_pending_reads()
        self.role, self.votes_received, self.transfer = role, set(), None
        self.progress = {}

    def _become_follower(self, term: int, leader_id: str = "") -> None:
        """Follows a later term, or a leader of the current term."""
        if term > self.current_term:
            self.current_term, self.voted_for, self.leader_id = term, "", ""
            self._persist()
        if leader_id:
            self.leader_id = leader_id
            self.last_leader_contact_at = self.now
        if self.role is not Role.FOLLOWER:
            self._transition_to(Role.FOLLOWER)
            self._reset_election_timer()
        elif leader_id:
            self._reset_election_timer()

    def _step_down(self) -> None:
        """Makes a leader a follower without a change of term."""
        self.leader_id = ""
        self._transition_to(Role.FOLLOWER)
        self._reset_election_timer()

    def _reset_election_timer(self) -> None:
        """Sets a random deadline, one to two election timeouts from now, to avoid split votes ([R] 5.2)."""
        self.election_deadline = self.now + self.settings.election_timeout_s * (1 + self.random())

    # Candidates

    def _start_pre_vote(self) -> None:
        self._transition_to(Role.PRE_CANDIDATE)
        self.leader_id = ""
        self.votes_received = {self.node_id}
        if majority(self.members) == 1:
            return self._start_election()
        last_index, last_term = self.log.last_index, self.log.last_term
        for peer in self._voting_peers():
            self._send(peer, RequestVote(self.current_term + 1, last_index, last_term, pre_vote=True))

    def _start_election(self, leadership_transfer: bool = False) -> None:
        self._transition_to(Role.CANDIDATE)
        self.current_term, self.voted_for, self.leader_id = self.current_term + 1, self.node_id, ""
        self._persist()
        self.votes_received, self.own_vote_write = {self.node_id}, self.last_write
        self._reset_election_timer()
        last_index, last_term = self.log.last_index, self.log.last_term
        request = RequestVote(
            self.current_term, last_index, last_term, leadership_transfer=leadership_transfer
        )
        for peer in self._voting_peers():
            self._send_when_durable(peer, request)

    def _voting_peers(self) -> list[str]:
        return [peer for peer in self._peers() if self._is_voter(peer)]

    def _handle_vote_reply(self, sender: str, message: RequestVoteReply) -> None:
        if not message.vote_granted or not self._is_voter(sender):
            return
        if message.pre_vote:
            if self.role is Role.PRE_CANDIDATE and message.term == self.current_term + 1:
                self.votes_received.add(sender)
                if len(self.votes_received) >= majority(self.members):
                    self._start_election()
        elif self.role is Role.CANDIDATE and message.term == self.current_term:
            self.votes_received.add(sender)
            self._become_leader_if_elected()

    def _become_leader_if_elected(self) -> None:
        """Becomes leader on a majority of votes; the candidate's own vote counts only once it is durable."""
        if len(self.votes_received) < majority(self.members) or self.own_vote_write > self.confirmed_write:
            return
        self._transition_to(Role.LEADER)
        self.leader_id = self.node_id
        self._track_peers()
        self.first_index_of_term = self.log.last_index + 1
        self._append_as_leader(LogEntry(self.current_term))  # commits entries of earlier terms ([R] 8)
        self._broadcast_heartbeat()

    # Voters

    def _handle_request_vote(self, sender: str, message: RequestVote) -> None:
        if self._has_live_leader() and not message.leadership_transfer or not self.members:
            return  # a partitioned or removed node must not disrupt a leader that others are in contact with
        up_to_date = self._is_up_to_date(message)
        if message.pre_vote:
            return self._reply_to_pre_vote(sender, message, up_to_date)
        if message.term > self.current_term:
            self._become_follower(message.term)
        granted = message.term == self.current_term and up_to_date and self._may_vote_for(sender)
        if granted and not self.voted_for:
            self.voted_for = sender
            self._persist()
        if granted:
            self._reset_election_timer()
        self._send_when_durable(sender, RequestVoteReply(self.current_term, granted))

    def _reply_to_pre_vote(self, sender: str, message: RequestVote, up_to_date: bool) -> None:
        granted = message.term > self.current_term and up_to_date
        term = message.term if granted else self.current_term
        self._send(sender, RequestVoteReply(term, granted, pre_vote=True))

    def _has_live_leader(self) -> bool:
        """Returns whether this node leads, or had contact with a leader within the election timeout."""
        return (
            self.role is Role.LEADER
            or self.now - self.last_leader_contact_at < self.settings.election_timeout_s
        )

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Returns whether the candidate's log is at least as up to date as this node's ([R] 5.4.1)."""
        candidate_position = (message.last_log_term, message.last_log_index)
        return candidate_position >= (self.log.last_term, self.log.last_index)

    def _may_vote_for(self, candidate: str) -> bool:
        return self.voted_for in ("", candidate)

    # Leaders

    def _has_quorum_contact(self) -> bool:
        """Returns whether a majority replied within the last election timeout ([T] 6.2)."""
        in_contact = sum(
            self._is_voter(peer) and self.now - progress.last_reply_at < self.settings.election_timeout_s
            for peer, progress in self.progress.items()
        )
        return in_contact + self._is_voter(self.node_id) >= majority(self.members)
