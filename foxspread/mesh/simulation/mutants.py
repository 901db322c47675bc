"""Cores that are wrong in one thing each: the judge or the explorer has to catch every one."""

from collections.abc import Iterable
from dataclasses import replace

from foxspread.mesh.configuration.idempotency import apply_change
from foxspread.mesh.configuration.items import LEASE, MEMBERS, REFUSED, Item, Key
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.errors import Failure
from foxspread.mesh.replication.acceptor import Acceptor, Learned, Response
from foxspread.mesh.replication.learner import NONE, CommittedItem, ProposalNumber, Row, chunk_digest
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import (
    Accept,
    Accepted,
    ContactReply,
    Enrolled,
    Prepare,
    Promise,
    ProposerReply,
    SnapshotReply,
    SnapshotRows,
)
from foxspread.mesh.replication.proposer import CompletedCall, PendingCall, Proposer, ProposerOutput
from foxspread.mesh.replication.quorum_contact import QuorumContact
from foxspread.mesh.replication.replica import Replica
from foxspread.mesh.replication.snapshot_transfer import Peer, ReceivedRows, SnapshotTransfer
from foxspread.mesh.replication.stored_state import ACCEPTED, PROMISED, RecoveredState, SetMeta, Write
from foxspread.mesh.simulation.disks import SimDisk
from foxspread.mesh.simulation.machines import Cores


class VotesAtOnce(Acceptor):
    """A wiped one votes at once."""

    def __init__(self, me: str, saved: RecoveredState) -> None:
        super().__init__(me, saved)
        self.voting = self.members_confirmed = True


class EnrolledByOne(Acceptor):
    def required_replies(self, members: MemberSet) -> int:
        return 1


class TakesFirst(Acceptor):
    """One that has enrolled holds what the first of the others told, not the newest."""

    def take_enrolled(self, sender: str, message: Enrolled) -> Learned | None:
        if self.enrolment_replies:
            first = next(iter(self.enrolment_replies.values()))
            message = replace(
                message,
                committed_number=first.committed_number,
                rows=first.rows,
                accepted=first.accepted,
                delta=first.delta,
            )
        return super().take_enrolled(sender, message)


class PromiseForgotten(Acceptor):
    """Not on disk before the answer, nor after."""

    def _promise(self, proposal_number: ProposalNumber) -> list[Write]:
        super()._promise(proposal_number)
        return []


class AcceptForgotten(Acceptor):
    def accept(self, message: Accept) -> Response:
        writes, reply, new_items = super().accept(message)
        lost = [each for each in writes if isinstance(each, SetMeta) and each.name == ACCEPTED]
        return Response([each for each in writes if each not in lost], reply, new_items)


class PromisesAnyBallot(Acceptor):
    def prepare(self, message: Prepare) -> Response:
        self.promised = min(self.promised, message.proposal_number)
        return super().prepare(message)


class AcceptsAnyBallot(Acceptor):
    def accept(self, message: Accept) -> Response:
        self.promised = min(self.promised, message.proposal_number)
        return super().accept(message)


class SettlesWhatItHolds(Acceptor):
    """Another's news of a settled ballot settles whatever was accepted here last."""

    def commit(self, proposal_number: ProposalNumber) -> Learned | None:
        if proposal_number <= self.learner.committed_number or not self.delta:
            return None
        rows = [CommittedItem(item, proposal_number) for item in self.delta.values()]
        return self.learn(proposal_number, rows)


class SilentlyBrought(Acceptor):
    """What an accept brings along is not shown."""

    def accept(self, message: Accept) -> Response:
        return super().accept(message)._replace(new_items=[])


class ActsBeforeChosen(Proposer):
    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        if self.proposed_delta:
            out.new_items += self.proposed_delta.values()


class HighestVersion(Proposer):
    """Merges what was accepted by the highest version, not by ballots."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        best: dict[Key, Item] = {}
        for promise in self.promises.values():
            for item in promise.delta:
                if item.key not in best or best[item.key].version < item.version:
                    best[item.key] = item
        last = max(promise.accepted for promise in self.promises.values())
        for name, promise in self.promises.items():
            self.promises[name] = replace(promise, accepted=last, delta=tuple(best.values()))
        super()._propose(now, out)


class OlderDelta(Proposer):
    """Of two acceptances the older one is taken over."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        promises = self.promises
        committed_number = max(promise.committed_number for promise in promises.values())
        in_doubt = [promise for promise in promises.values() if promise.accepted > committed_number]
        if in_doubt:
            first = min(in_doubt, key=lambda promise: promise.accepted)
            for name, promise in promises.items():
                promises[name] = replace(promise, accepted=first.accepted, delta=first.delta)
        super()._propose(now, out)


class OpenIsDropped(Proposer):
    """What may be chosen already is not carried on."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        for name, promise in self.promises.items():
            self.promises[name] = replace(promise, accepted=NONE, delta=())
        super()._propose(now, out)


class RefusesAtOnce(Proposer):
    """A refusal is told before what it was judged on is settled."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        for call in [each for each in self.running if isinstance(each.outcome, Failure)]:
            self.running.remove(call)
            out.completed.append(CompletedCall(call.token, call.outcome))


class AckAfterOne(Proposer):
    def receive(self, now: float, sender: str, message: ProposerReply) -> ProposerOutput:
        if (
            isinstance(message, Accepted)
            and self.proposed_delta is not None
            and message.proposal_number == self.proposal_number
        ):
            out = ProposerOutput()
            self._commit(now, out)
            return out
        return super().receive(now, sender, message)


class ReadsItself(Proposer):
    """A read is answered from the copy at hand."""

    def submit(self, now: float, token: object, items: Iterable[Item], deadline: float) -> ProposerOutput:
        items = list(items)
        if not items:
            return ProposerOutput(completed=[CompletedCall(token, True)])
        return super().submit(now, token, items, deadline)


class AnswersFirst(Replica):
    """Answers go out before their writes are on disk."""

    def _respond(self, sender: str, response: Response) -> None:
        if response.reply is not None:
            self._send(sender, response.reply)
        super()._respond(sender, response._replace(reply=None))


class NeverTakesUp(Replica):
    """What a proposer that died has left is taken up by nobody; and a copy that lacks news asks for none."""

    def on_peer_committed(self, proposal_number: ProposalNumber) -> None:
        pass

    def learn(self, committed_number: ProposalNumber, rows: list[Row], complete_set: bool = False) -> None:
        pass


class ForgetsLast(SimDisk):
    """Tells as written what is lost with the power."""

    def power_lost(self) -> None:
        for name in (ACCEPTED, PROMISED):
            self.meta.pop(name, None)
        super().power_lost()


class NoneIsGone(Proposer):
    """Which disks others know to be gone is not looked at."""

    def receive(self, now: float, sender: str, message: ProposerReply) -> ProposerOutput:
        if isinstance(message, Promise | Accepted):
            message = replace(message, disks={sender: message.disks[sender]})
        return super().receive(now, sender, message)


class LooksAtNoDisk(Acceptor):
    def accept(self, message: Accept) -> Response:
        return super().accept(replace(message, disks={}))


class PromisesForgottenByWipe(Acceptor):
    """One that has enrolled has promised nothing."""

    def take_enrolled(self, sender: str, message: Enrolled) -> Learned | None:
        return super().take_enrolled(sender, replace(message, promised=NONE))


class ForgetsOvertaken(Proposer):
    """What held under a number is not known once a newer one holds."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return super()._evaluate(
            {key: item.without_history for key, item in proposed.items()}, delta, call, now
        )


class RefusalNotAgreed(Proposer):
    """An order is refused by what holds, and nobody remembers that."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        changes, outcome = super()._evaluate(proposed, delta, call, now)
        return ({} if isinstance(outcome, Failure) else changes), outcome


class RefusalNotLookedUp(Proposer):
    """An order that was refused is judged anew by what holds now."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        known = {key: item for key, item in proposed.items() if key[0] != REFUSED}
        return super()._evaluate(known, delta, call, now)


class NewSetAlone(Proposer):
    """A change of members is counted by the new set, by whoever asks and by whoever has it accepted."""

    def _send_prepare(self, sets: list[MemberSet], out: ProposerOutput) -> None:
        super()._send_prepare(sets, out)
        del sets[:-1]

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        self.member_sets = self.member_sets[-1:]


class ChangesAtOnce(Proposer):
    """The next change of members does not wait for the last to be settled, nor for one step."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return apply_change(proposed, call.items, call.digest, 0.0)


class InPieces(Acceptor):
    """Nothing wrong: what one that enrols lacks does not fit the answer, and comes in pieces."""

    def rows_since(self, committed_number: ProposalNumber) -> list[Row] | None:
        has_rows = self.learner.committed_number > NONE
        return None if committed_number == NONE and has_rows else super().rows_since(committed_number)


class VotesBeforeItHolds(InPieces):
    """It votes and answers as soon as it has enrolled, whatever it still lacks."""

    def take_enrolled(self, sender: str, message: Enrolled) -> Learned | None:
        learned = super().take_enrolled(sender, message)
        if self.enrolment_target is not None:
            self.enrolment_target, self.voting, self.members_confirmed = None, True, True
        return learned


class AnyFence(Proposer):
    """A lease is taken whatever number it names."""

    def _evaluate(self, proposed: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        held = proposed.get((LEASE, MEMBERS))
        version = held.version + 1 if held is not None else 1
        items = [replace(each, version=version) if each.kind == LEASE else each for each in call.items]
        return super()._evaluate(proposed, delta, replace(call, items=items), now)


class AgeFromTheAnswer(QuorumContact):
    """An age counts from when the answer came."""

    def receive(self, now: float, sender: str, message: ContactReply) -> None:
        for request in self.pending:
            request.sent_at = now
        super().receive(now, sender, message)


class ContactByOne(QuorumContact):
    """One answer is as good as a majority's."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        named = {name for request in self.pending for name in request.seen_by_member}
        super().update(MemberSet(members.epoch, tuple(named)[:1]) if named else members, committed_number)


class ContactWithoutBallot(QuorumContact):
    """What the others have seen is not asked for."""

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        super().update(members, (1 << 60, ""))


class TellsAnyhow(QuorumContact):
    """Told without contact: fresh from the start."""

    def is_current(self, now: float) -> bool:
        return True

    def staleness_s(self, now: float) -> float | None:
        return 0.0


class FreshAtOnce(Replica):
    fresh = property(lambda self: True, lambda self, value: None)


class SkipsAPiece(SnapshotTransfer):
    """What follows the first piece is left out."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        if isinstance(message, SnapshotRows) and message.chunk.more:
            chunk = message.chunk
            digest = chunk_digest(chunk.rows, self.cursor, chunk.committed_number, False, chunk.horizon)
            message = replace(message, chunk=replace(chunk, more=False, digest=digest))
        return super().receive(now, peer, message)


class ShowsPieces(SnapshotTransfer):
    """What came is shown before the whole is there, and then gone on with."""

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        received = super().receive(now, peer, message)
        more = isinstance(message, SnapshotRows) and message.chunk.more
        if received is None and more and self.staged:
            rows = list(self.staged.values())
            return ReceivedRows((rows[-1][4], rows[-1][5]), rows, False, None)
        return received


class ReadyByAnyBasis(Readiness):
    """Ready by whatever was told, however old."""

    def record_basis(self, now: float, requested_at: float, age_s: float | None) -> None:
        super().record_basis(now, now, 0.0)


CORES: dict[str, Cores] = {
    "a wiped one votes at once": Cores(acceptor=VotesAtOnce),
    "enrolled by one other": Cores(acceptor=EnrolledByOne),
    "enrolled with the first answer": Cores(acceptor=TakesFirst),
    "a promise is not saved": Cores(acceptor=PromiseForgotten),
    "an acceptance is not saved": Cores(acceptor=AcceptForgotten),
    "any ballot is promised": Cores(acceptor=PromisesAnyBallot),
    "any ballot is accepted": Cores(acceptor=AcceptsAnyBallot),
    "news settle another ballot": Cores(acceptor=SettlesWhatItHolds),
    "what an accept brings is not shown": Cores(acceptor=SilentlyBrought),
    "acts before it is chosen": Cores(proposer=ActsBeforeChosen),
    "merges by the highest version": Cores(proposer=HighestVersion),
    "takes the older acceptance over": Cores(proposer=OlderDelta),
    "drops what is open": Cores(proposer=OpenIsDropped),
    "refuses before it is settled": Cores(proposer=RefusesAtOnce),
    "acknowledges after one acceptance": Cores(proposer=AckAfterOne),
    "reads from its own copy": Cores(proposer=ReadsItself),
    "answers before it is written": Cores(replica=AnswersFirst),
    "pulls no news": Cores(replica=NeverTakesUp),
    "a disk that lies": Cores(disk=ForgetsLast),
    "identities of disks are not looked at": Cores(acceptor=LooksAtNoDisk, proposer=NoneIsGone),
    "promises are forgotten by a wipe": Cores(acceptor=PromisesForgottenByWipe),
    "forgets what was overtaken": Cores(proposer=ForgetsOvertaken),
    "a refusal is not agreed": Cores(proposer=RefusalNotAgreed),
    "a refusal is not looked up": Cores(proposer=RefusalNotLookedUp),
    "a change is counted by the new set": Cores(proposer=NewSetAlone),
    "changes of members at once": Cores(proposer=ChangesAtOnce),
    "votes before it holds all": Cores(acceptor=VotesBeforeItHolds),
    "any fence is taken": Cores(proposer=AnyFence),
    "an age counts from the answer": Cores(quorum_contact=AgeFromTheAnswer),
    "a piece is skipped": Cores(snapshot_transfer=SkipsAPiece),
    "shown before it is whole": Cores(snapshot_transfer=ShowsPieces),
    "one answer is contact": Cores(quorum_contact=ContactByOne),
    "contact whatever others have seen": Cores(quorum_contact=ContactWithoutBallot),
    "tells and is fresh from the start": Cores(quorum_contact=TellsAnyhow, replica=FreshAtOnce),
    "ready by an old basis": Cores(quorum_contact=TellsAnyhow, readiness=ReadyByAnyBasis),
}
