"""Leadership transfer ([T] 3.10): the leader asks a caught-up follower to start an election at once.

The leader accepts no proposals during the transfer. It continues to lead if the target is not elected within
an election timeout.
"""

from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.messages import TimeoutNow
from foxspread.consensus.raft.roles import Role
from foxspread.consensus.raft.state import RaftState
from foxspread.consensus.raft.types import LeadershipTransfer


class Transfer(RaftState):
    """The leader's and the target's part in a leadership transfer."""

    def transfer_leadership(self, now: float, target: str) -> None:
        """Starts a transfer to `target`. Raises `RequestRejected`."""
        self._advance_clock(now)
        self._require_accepting_leader()
        if not self._is_voter(target) or target == self.node_id:
            raise RequestRejected(f"{target!r} is not another voter")
        self.transfer = LeadershipTransfer(target, now + self.settings.election_timeout_s)
        self._send_timeout_now_if_caught_up(target)

    def best_successor(self) -> str:
        """Returns the other voter with the longest matching log; "" if there is none, or on a non-leader."""
        candidates = [
            (progress.match_index, peer) for peer, progress in self.progress.items() if self._is_voter(peer)
        ]
        return max(candidates)[1] if self.role is Role.LEADER and candidates else ""

    def _send_timeout_now_if_caught_up(self, peer: str) -> None:
        if self.transfer is None or self.transfer.target != peer:
            return
        if self.progress[peer].match_index == self.log.last_index:
            self._send(peer, TimeoutNow(self.current_term))

    def _handle_timeout_now(self, message: TimeoutNow) -> None:
        may_start = self._is_voter(self.node_id) and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        if message.term == self.current_term and may_start:
            self._start_election(leadership_transfer=True)
