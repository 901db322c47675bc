"""Cores that are wrong in one thing each: the judge or the explorer has to catch every one."""

from collections.abc import Iterable
from typing import Any

from foxspread.orchard.graft.items import Item, Key
from foxspread.orchard.outcome import Failure
from foxspread.orchard.rootstock.copy import NONE, Ballot, ballot
from foxspread.orchard.rootstock.stock import Answer, Message, Saved, Stock, Write
from foxspread.orchard.rootstock.tending import Tending
from foxspread.orchard.rootstock.writer import Out, Writer
from foxspread.orchard.sim.agreement import Cores
from foxspread.orchard.sim.disks import SimDisk


class VotesAtOnce(Stock):
    """A wiped one votes at once."""

    def __init__(self, me: str, saved: Saved) -> None:
        super().__init__(me, saved)
        self.voting = self.known = True


class EnrolledByOne(Stock):
    enough_to_enrol = 1


class TakesFirst(Stock):
    """One that has enrolled holds what the first of the others told, not the newest."""

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        if self.enrolled:
            first = next(iter(self.enrolled.values()))
            told = {name: first[name] for name in ("s", "rows", "acc", "delta")}
            message = {**message, **told}
        return super().take_in(sender, message)


class PromiseForgotten(Stock):
    """Not on disk before the answer, nor after."""

    def _promise(self, asked: Ballot) -> list[Write]:
        super()._promise(asked)
        return []


class AcceptForgotten(Stock):
    def accept(self, message: Message) -> Answer:
        writes, answer, new = super().accept(message)
        return [each for each in writes if each[1] != "accepted"], answer, new


class PromisesAnyBallot(Stock):
    def prepare(self, message: Message) -> Answer:
        self.promised = min(self.promised, ballot(message["b"]))
        return super().prepare(message)


class AcceptsAnyBallot(Stock):
    def accept(self, message: Message) -> Answer:
        self.promised = min(self.promised, ballot(message["b"]))
        return super().accept(message)


class SettlesWhatItHolds(Stock):
    """Another's news of a settled ballot settles whatever was accepted here last."""

    def settle(self, at: Ballot) -> tuple[list[Write], list[Item]] | None:
        if at <= self.copy.upto or not self.delta:
            return None
        return self.learn(at, [(item, at) for item in self.delta.values()])


class SilentlyBrought(Stock):
    """What an accept brings along is not shown."""

    def accept(self, message: Message) -> Answer:
        writes, answer, _ = super().accept(message)
        return writes, answer, []


class ActsBeforeChosen(Writer):
    def _propose(self, now: float, out: Out) -> None:
        super()._propose(now, out)
        if self.value:
            out.new += self.value.values()


class HighestVersion(Writer):
    """Merges what was accepted by the highest version, not by ballots."""

    def _propose(self, now: float, out: Out) -> None:
        best: dict[Key, list] = {}
        for each in self.promises.values():
            for told in each["delta"]:
                key = told[0], told[1]
                if key not in best or best[key][2] < told[2]:
                    best[key] = told
        last = max(ballot(each["acc"]) for each in self.promises.values())
        for name, each in self.promises.items():
            self.promises[name] = {**each, "acc": last, "delta": list(best.values())}
        super()._propose(now, out)


class OlderDelta(Writer):
    """Of two acceptances the older one is taken over."""

    def _propose(self, now: float, out: Out) -> None:
        upto = max(ballot(each["s"]) for each in self.promises.values())
        still_open = [each for each in self.promises.values() if ballot(each["acc"]) > upto]
        if still_open:
            first = min(still_open, key=lambda each: ballot(each["acc"]))
            told = {name: first[name] for name in ("acc", "delta")}
            for name, each in self.promises.items():
                self.promises[name] = {**each, **told}
        super()._propose(now, out)


class OpenIsDropped(Writer):
    """What may be chosen already is not carried on."""

    def _propose(self, now: float, out: Out) -> None:
        for name, each in self.promises.items():
            self.promises[name] = {**each, "acc": NONE, "delta": []}
        super()._propose(now, out)


class RefusesAtOnce(Writer):
    """A refusal is told before what it was judged on is settled."""

    def _propose(self, now: float, out: Out) -> None:
        super()._propose(now, out)
        for call in [each for each in self.running if isinstance(each.outcome, Failure)]:
            self.running.remove(call)
            out.done.append((call.token, call.outcome))


class AckAfterOne(Writer):
    def heard(self, now: float, sender: str, message: Message) -> Out:
        if message["t"] == "accepted" and self.value is not None and ballot(message["b"]) == self.ballot:
            out = Out()
            self._chosen(now, out)
            return out
        return super().heard(now, sender, message)


class ReadsItself(Writer):
    """A read is answered from the copy at hand."""

    def submit(self, now: float, token: Any, items: Iterable[Item], until: float) -> Out:
        items = list(items)
        return super().submit(now, token, items, until) if items else Out(done=[(token, True)])


class AnswersFirst(Tending):
    """Answers go out before their writes are on disk."""

    def _answer(self, sender: str, writes: list[Write], reply: Message | None, new: list[Item]) -> None:
        if reply is not None:
            self._pass(sender, reply)
        super()._answer(sender, writes, None, new)


class NeverTakesUp(Tending):
    """What a writer that died has left is taken up by nobody; and a copy that lacks news asks for none."""

    def peer_settled(self, at: Ballot) -> None:
        pass

    def learn(self, upto: Ballot, rows: list) -> None:
        pass


class ForgetsLast(SimDisk):
    """Tells as written what is lost with the power."""

    def power_lost(self) -> None:
        for name in ("accepted", "promised"):
            self.meta.pop(name, None)
        super().power_lost()


class NoneIsGone(Writer):
    """Which disks others know to be gone is not looked at."""

    def heard(self, now: float, sender: str, message: Message) -> Out:
        if "disks" in message:
            message = {**message, "disks": {sender: message["disks"][sender]}}
        return super().heard(now, sender, message)


class LooksAtNoDisk(Stock):
    def accept(self, message: Message) -> Answer:
        return super().accept({**message, "disks": {}})


class PromisesForgottenByWipe(Stock):
    """One that has enrolled has promised nothing."""

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        return super().take_in(sender, {**message, "promised": NONE})


CORES: dict[str, Cores] = {
    "a wiped one votes at once": Cores(stock=VotesAtOnce),
    "enrolled by one other": Cores(stock=EnrolledByOne),
    "enrolled with the first answer": Cores(stock=TakesFirst),
    "a promise is not saved": Cores(stock=PromiseForgotten),
    "an acceptance is not saved": Cores(stock=AcceptForgotten),
    "any ballot is promised": Cores(stock=PromisesAnyBallot),
    "any ballot is accepted": Cores(stock=AcceptsAnyBallot),
    "news settle another ballot": Cores(stock=SettlesWhatItHolds),
    "what an accept brings is not shown": Cores(stock=SilentlyBrought),
    "acts before it is chosen": Cores(writer=ActsBeforeChosen),
    "merges by the highest version": Cores(writer=HighestVersion),
    "takes the older acceptance over": Cores(writer=OlderDelta),
    "drops what is open": Cores(writer=OpenIsDropped),
    "refuses before it is settled": Cores(writer=RefusesAtOnce),
    "acknowledges after one acceptance": Cores(writer=AckAfterOne),
    "reads from its own copy": Cores(writer=ReadsItself),
    "answers before it is written": Cores(tending=AnswersFirst),
    "pulls no news": Cores(tending=NeverTakesUp),
    "a disk that lies": Cores(disk=ForgetsLast),
    "identities of disks are not looked at": Cores(stock=LooksAtNoDisk, writer=NoneIsGone),
    "promises are forgotten by a wipe": Cores(stock=PromisesForgottenByWipe),
}
