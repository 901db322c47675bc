"""Cores that are wrong in one thing each: the judge or the explorer has to catch every one."""

from collections.abc import Hashable, Iterable
from dataclasses import replace
from typing import Any

from foxspread.mesh.configuration.items import LEASE, MEMBERS, REFUSED, Item, Key
from foxspread.mesh.configuration.idempotency import apply_change
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.errors import Failure
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer, ReceivedRows
from foxspread.mesh.replication.quorum_contact import QuorumContact
from foxspread.mesh.replication.learner import NONE, ProposalNumber, unpack_proposal_number, chunk_digest
from foxspread.mesh.replication.acceptor import Answer, Message, Saved, Acceptor, Write
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.replica import Replica
from foxspread.mesh.replication.proposer import PendingCall, ProposerOutput, Proposer
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.disks import SimDisk


class VotesAtOnce(Acceptor):
    """A wiped one votes at once."""

    def __init__(self, me: str, saved: Saved) -> None:
        super().__init__(me, saved)
        self.voting = self.known = True


class EnrolledByOne(Acceptor):
    def enough(self, members: MemberSet) -> int:
        return 1


class TakesFirst(Acceptor):
    """One that has enrolled holds what the first of the others told, not the newest."""

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        if self.enrolled:
            first = next(iter(self.enrolled.values()))
            told = {name: first[name] for name in ("s", "rows", "acc", "delta")}
            message = {**message, **told}
        return super().take_in(sender, message)


class PromiseForgotten(Acceptor):
    """Not on disk before the answer, nor after."""

    def _promise(self, asked: ProposalNumber) -> list[Write]:
        super()._promise(asked)
        return []


class AcceptForgotten(Acceptor):
    def accept(self, message: Message) -> Answer:
        writes, answer, new = super().accept(message)
        return [each for each in writes if each[1] != "accepted"], answer, new


class PromisesAnyBallot(Acceptor):
    def prepare(self, message: Message) -> Answer:
        self.promised = min(self.promised, unpack_proposal_number(message["b"]))
        return super().prepare(message)


class AcceptsAnyBallot(Acceptor):
    def accept(self, message: Message) -> Answer:
        self.promised = min(self.promised, unpack_proposal_number(message["b"]))
        return super().accept(message)


class SettlesWhatItHolds(Acceptor):
    """Another's news of a settled ballot settles whatever was accepted here last."""

    def commit(self, at: ProposalNumber) -> tuple[list[Write], list[Item]] | None:
        if at <= self.learner.committed_number or not self.delta:
            return None
        return self.learn(at, [(item, at) for item in self.delta.values()])


class SilentlyBrought(Acceptor):
    """What an accept brings along is not shown."""

    def accept(self, message: Message) -> Answer:
        writes, answer, _ = super().accept(message)
        return writes, answer, []


class ActsBeforeChosen(Proposer):
    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        if self.value:
            out.new += self.value.values()


class HighestVersion(Proposer):
    """Merges what was accepted by the highest version, not by ballots."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        best: dict[Key, list] = {}
        for each in self.promises.values():
            for told in each["delta"]:
                key = told[0], told[1]
                if key not in best or best[key][2] < told[2]:
                    best[key] = told
        last = max(unpack_proposal_number(each["acc"]) for each in self.promises.values())
        for name, each in self.promises.items():
            self.promises[name] = {**each, "acc": last, "delta": list(best.values())}
        super()._propose(now, out)


class OlderDelta(Proposer):
    """Of two acceptances the older one is taken over."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        committed_number = max(unpack_proposal_number(each["s"]) for each in self.promises.values())
        still_open = [
            each for each in self.promises.values() if unpack_proposal_number(each["acc"]) > committed_number
        ]
        if still_open:
            first = min(still_open, key=lambda each: unpack_proposal_number(each["acc"]))
            told = {name: first[name] for name in ("acc", "delta")}
            for name, each in self.promises.items():
                self.promises[name] = {**each, **told}
        super()._propose(now, out)


class OpenIsDropped(Proposer):
    """What may be chosen already is not carried on."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        for name, each in self.promises.items():
            self.promises[name] = {**each, "acc": NONE, "delta": []}
        super()._propose(now, out)


class RefusesAtOnce(Proposer):
    """A refusal is told before what it was judged on is settled."""

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        for call in [each for each in self.running if isinstance(each.outcome, Failure)]:
            self.running.remove(call)
            out.done.append((call.token, call.outcome))


class AckAfterOne(Proposer):
    def heard(self, now: float, sender: str, message: Message) -> ProposerOutput:
        if (
            message["t"] == "accepted"
            and self.value is not None
            and unpack_proposal_number(message["b"]) == self.proposal_number
        ):
            out = ProposerOutput()
            self._chosen(now, out)
            return out
        return super().heard(now, sender, message)


class ReadsItself(Proposer):
    """A read is answered from the copy at hand."""

    def submit(self, now: float, token: Any, items: Iterable[Item], until: float) -> ProposerOutput:
        items = list(items)
        return super().submit(now, token, items, until) if items else ProposerOutput(done=[(token, True)])


class AnswersFirst(Replica):
    """Answers go out before their writes are on disk."""

    def _answer(self, sender: str, writes: list[Write], reply: Message | None, new: list[Item]) -> None:
        if reply is not None:
            self._pass(sender, reply)
        super()._answer(sender, writes, None, new)


class NeverTakesUp(Replica):
    """What a proposer that died has left is taken up by nobody; and a copy that lacks news asks for none."""

    def peer_committed(self, at: ProposalNumber) -> None:
        pass

    def learn(self, committed_number: ProposalNumber, rows: list, whole: bool = False) -> None:
        pass


class ForgetsLast(SimDisk):
    """Tells as written what is lost with the power."""

    def power_lost(self) -> None:
        for name in ("accepted", "promised"):
            self.meta.pop(name, None)
        super().power_lost()


class NoneIsGone(Proposer):
    """Which disks others know to be gone is not looked at."""

    def heard(self, now: float, sender: str, message: Message) -> ProposerOutput:
        if "disks" in message:
            message = {**message, "disks": {sender: message["disks"][sender]}}
        return super().heard(now, sender, message)


class LooksAtNoDisk(Acceptor):
    def accept(self, message: Message) -> Answer:
        return super().accept({**message, "disks": {}})


class PromisesForgottenByWipe(Acceptor):
    """One that has enrolled has promised nothing."""

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        return super().take_in(sender, {**message, "promised": NONE})


class ForgetsOvertaken(Proposer):
    """What held under a number is not known once a newer one holds."""

    def _judged(self, both: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return super()._judged({key: item.bare for key, item in both.items()}, delta, call, now)


class RefusalNotAgreed(Proposer):
    """An order is refused by what holds, and nobody remembers that."""

    def _judged(self, both: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        changes, outcome = super()._judged(both, delta, call, now)
        return ({} if isinstance(outcome, Failure) else changes), outcome


class RefusalNotLookedUp(Proposer):
    """An order that was refused is judged anew by what holds now."""

    def _judged(self, both: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        known = {key: item for key, item in both.items() if key[0] != REFUSED}
        return super()._judged(known, delta, call, now)


class NewSetAlone(Proposer):
    """A change of members is counted by the new set, by whoever asks and by whoever has it accepted."""

    def _ask(self, sets: list[MemberSet], out: ProposerOutput) -> None:
        super()._ask(sets, out)
        del sets[:-1]

    def _propose(self, now: float, out: ProposerOutput) -> None:
        super()._propose(now, out)
        self.sets = self.sets[-1:]


class ChangesAtOnce(Proposer):
    """The next change of members does not wait for the last to be settled, nor for one step."""

    def _judged(self, both: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        return apply_change(both, call.items, call.named, 0.0)


class InPieces(Acceptor):
    """Nothing wrong: what one that enrols lacks does not fit the answer, and comes in pieces."""

    def rows(self, since: ProposalNumber) -> list | None:
        return None if since == NONE and self.learner.committed_number > NONE else super().rows(since)


class VotesBeforeItHolds(InPieces):
    """It votes and answers as soon as it has enrolled, whatever it still lacks."""

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        found = super().take_in(sender, message)
        if self.target is not None:
            self.target, self.voting, self.known = None, True, True
        return found


class AnyFence(Proposer):
    """A lease is taken whatever number it names."""

    def _judged(self, both: dict, delta: dict, call: PendingCall, now: float) -> tuple:
        held = both.get((LEASE, MEMBERS))
        version = held.version + 1 if held is not None else 1
        items = [replace(each, version=version) if each.kind == LEASE else each for each in call.items]
        return super()._judged(both, delta, replace(call, items=items), now)


class AgeFromTheAnswer(QuorumContact):
    """An age counts from when the answer came."""

    def heard(self, now: float, sender: str, message: dict[str, Any]) -> None:
        for asking in self.askings:
            asking.at = now
        super().heard(now, sender, message)


class ContactByOne(QuorumContact):
    """One answer is as good as a majority's."""

    def held(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        named = {name for asking in self.askings for name in asking.answers}
        super().held(MemberSet(members.epoch, tuple(named)[:1]) if named else members, committed_number)


class ContactWithoutBallot(QuorumContact):
    """What the others have seen is not asked for."""

    def held(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        super().held(members, (1 << 60, ""))


class TellsAnyhow(QuorumContact):
    """Told without contact: fresh from the start."""

    def current(self, now: float) -> bool:
        return True

    def age(self, now: float) -> float | None:
        return 0.0


class FreshAtOnce(Replica):
    fresh = property(lambda self: True, lambda self, value: None)


class SkipsAPiece(SnapshotTransfer):
    """What follows the first piece is left out."""

    def heard(self, now: float, peer: Hashable, message: Message) -> ReceivedRows | None:
        if message.get("more"):
            rows, committed_number, horizon = (
                message["rows"],
                unpack_proposal_number(message["upto"]),
                unpack_proposal_number(message.get("horizon", NONE)),
            )
            digest = chunk_digest(rows, self.cursor, committed_number, False, horizon)
            message = {**message, "more": False, "digest": digest}
        return super().heard(now, peer, message)


class ShowsPieces(SnapshotTransfer):
    """What came is shown before the whole is there, and then gone on with."""

    def heard(self, now: float, peer: Hashable, message: Message) -> ReceivedRows | None:
        found = super().heard(now, peer, message)
        if found is None and message.get("more") and self.staged:
            rows = list(self.staged.values())
            return ReceivedRows((rows[-1][4], rows[-1][5]), rows, False, None)
        return found


class ReadyByAnyBasis(Readiness):
    """Ready by whatever was told, however old."""

    def told(self, now: float, asked_at: float, age: float | None) -> None:
        super().told(now, now, 0.0)


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
