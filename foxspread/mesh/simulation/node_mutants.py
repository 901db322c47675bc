"""Replicas, storage, quorum contact, snapshots and readiness that are wrong in one thing each; `mutants`
names them."""

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
    """Replies go out before their writes are in storage."""

    def _respond(self, sender: str, response: Response) -> None:
        if response.reply is not None:
            self._send(sender, response.reply)
        super()._respond(sender, response._replace(reply=None))


class PullsNothing(Replica):
    """What a proposer that died has left is carried on by nobody, and a
    replica that is behind asks for nothing.
    """

    def on_peer_committed(self, proposal_number: ProposalNumber) -> None:
        """Does nothing."""

    def learn(self, committed_number: ProposalNumber, rows: list[Row], complete_set: bool = False) -> None:
        """Does nothing."""


class LosesSyncedWrites(SimulatedStorage):
    """Storage that reports as synced what is lost with the power."""

    def lose_power(self) -> None:
        """Loses the promise and what was accepted as well."""
        for name in (ACCEPTED, PROMISED):
            self.meta.pop(name, None)
        super().lose_power()


class StalenessFromReply(QuorumContact):
    """Staleness counts from when the reply came, not from when it was asked for."""

    def receive(self, now: float, sender: str, message: ContactReply) -> None:
        """Moves the time of each pending request to now."""
        for request in self.pending:
            request.sent_at = now
        super().receive(now, sender, message)


class ContactWithOneReply(QuorumContact):
    """One reply is as good as a majority's."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """Judges by a member set of one that has replied."""
        named = {name for request in self.pending for name in request.seen_by_member}
        super().update(MemberSet(members.epoch, tuple(named)[:1]) if named else members, committed_number)


class ContactIgnoresCommitted(QuorumContact):
    """What the others have committed is not looked at."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """Counts as up to date with anything."""
        super().update(members, (1 << 60, ""))


class AlwaysInContact(QuorumContact):
    """In contact and fresh from the start."""

    def is_current(self, now: float) -> bool:
        """Always."""
        return True

    def staleness_s(self, now: float) -> float | None:
        """Always zero."""
        return 0.0


class FreshFromStart(Replica):
    """Fresh without having heard from a majority."""

    fresh = property(lambda self: True, lambda self, value: None)


class SkipsChunk(SnapshotTransfer):
    """What follows the first chunk of a snapshot is left out."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        """Takes each chunk for the last."""
        if isinstance(message, SnapshotRows) and message.chunk.more:
            chunk = message.chunk
            digest = chunk_digest(chunk.rows, self.cursor, chunk.committed_number, False, chunk.horizon)
            message = replace(message, chunk=replace(chunk, more=False, digest=digest))
        return super().receive(now, peer, message)


class ShowsPartialSnapshot(SnapshotTransfer):
    """What came is shown before the snapshot is complete, and then carried on with."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        """Returns the rows staged so far."""
        received = super().receive(now, peer, message)
        more = isinstance(message, SnapshotRows) and message.chunk.more
        if received is None and more and self.staged:
            rows = list(self.staged.values())
            return ReceivedRows((rows[-1][4], rows[-1][5]), rows, False, None)
        return received


class ReadyWhateverStaleness(Readiness):
    """Ready by whatever it was told, however stale."""

    def record_basis(self, now: float, requested_at: float, age_s: float | None) -> None:
        """Records a basis of age zero."""
        super().record_basis(now, now, 0.0)
