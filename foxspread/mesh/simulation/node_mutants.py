"""Replicas, storage, quorum contact, snapshot transfer and readiness with one deliberate defect each;
`mutants` has their names."""

from dataclasses import replace

from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.replication.acceptor import Response
from foxspread.mesh.replication.learner import ProposalNumber, Row, chunk_digest
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import ContactReply, SnapshotReply, SnapshotRows
from foxspread.mesh.replication.quorum_contact import QuorumContact
from foxspread.mesh.replication.replica import Replica
from foxspread.mesh.replication.snapshot_transfer import Peer, ReceivedRows, SnapshotTransfer
from foxspread.mesh.replication.stored_state import ACCEPTED, PROMISED
from foxspread.mesh.simulation.simulated_storage import SimulatedStorage


class AnswersBeforeSync(Replica):
    """Replies are sent before their writes are stored."""

    def _respond(self, sender: str, response: Response) -> None:
        if response.reply is not None:
            self._send(sender, response.reply)
        super()._respond(sender, response._replace(reply=None))


class PullsNothing(Replica):
    """Nobody continues the proposals of a dead proposer, and a replica that is behind pulls nothing."""

    def on_peer_committed(self, proposal_number: ProposalNumber) -> None:
        """Does nothing."""

    def learn(self, committed_number: ProposalNumber, rows: list[Row], complete_set: bool = False) -> None:
        """Does nothing."""


class LosesSyncedWrites(SimulatedStorage):
    """Storage that loses synced writes in a power loss."""

    def lose_power(self) -> None:
        """Loses the promised and the accepted number too."""
        for name in (ACCEPTED, PROMISED):
            self.meta.pop(name, None)
        super().lose_power()


class StalenessFromReply(QuorumContact):
    """Staleness is measured from the arrival of a reply instead of the time of the request."""

    def receive(self, now: float, sender: str, message: ContactReply) -> None:
        """Sets the time of each pending request to now."""
        for request in self.pending:
            request.sent_at = now
        super().receive(now, sender, message)


class ContactWithOneReply(QuorumContact):
    """One reply counts as a majority."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """Evaluates the replies with a member set of one machine that has replied."""
        named = {name for request in self.pending for name in request.seen_by_member}
        super().update(MemberSet(members.epoch, tuple(named)[:1]) if named else members, committed_number)


class ContactIgnoresCommitted(QuorumContact):
    """The committed numbers of other replicas are ignored."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """Passes a committed number that is higher than any other."""
        super().update(members, (1 << 60, ""))


class AlwaysInContact(QuorumContact):
    """A replica is in contact with a quorum, and without staleness, from the start."""

    def is_current(self, now: float) -> bool:
        """Returns True at any time."""
        return True

    def staleness_s(self, now: float) -> float | None:
        """Returns 0 at any time."""
        return 0.0


class FreshFromStart(Replica):
    """A replica counts as fresh without replies of a majority."""

    fresh = property(lambda self: True, lambda self, value: None)


class SkipsChunk(SnapshotTransfer):
    """All chunks of a snapshot after the first are left out."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        """Treats each chunk as the last one."""
        if isinstance(message, SnapshotRows) and message.chunk.more:
            chunk = message.chunk
            digest = chunk_digest(chunk.rows, self.cursor, chunk.committed_number, False, chunk.horizon)
            message = replace(message, chunk=replace(chunk, more=False, digest=digest))
        return super().receive(now, peer, message)


class ShowsPartialSnapshot(SnapshotTransfer):
    """The rows received so far are shown before the snapshot is complete."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        """Returns the rows staged so far."""
        received = super().receive(now, peer, message)
        more = isinstance(message, SnapshotRows) and message.chunk.more
        if received is None and more and self.staged:
            rows = list(self.staged.values())
            return ReceivedRows((rows[-1][4], rows[-1][5]), rows, False, None)
        return received


class ReadyWhateverStaleness(Readiness):
    """A process becomes ready by any basis, however stale."""

    def record_basis(self, now: float, requested_at: float, age_s: float | None) -> None:
        """Records the basis with an age of 0."""
        super().record_basis(now, now, 0.0)
