"""Brings calls into the set: a proposer without I/O. It asks a majority to promise, takes the newest value
that they tell, merges each call item by item, checks it against the whole, and has a majority accept the
outcome. Any machine with a disk may do this at any time; who loses a ballot waits a moment by chance and
asks with a higher one.

A majority is one of the members as last settled, and, where a change of the members is proposed or may have
been accepted, of those that they change to as well.

What is answered is final: a call is acknowledged, or refused for good, only once the value that it was
judged on is settled. Without a majority it ends as "not known" at its time, which also is right where its
proposer dies.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.configuration.items import Item, Key, unpack_item
from foxspread.mesh.configuration.idempotency import collectable, digest_of_change, apply_change
from foxspread.mesh.errors import Failure, conflict, outcome_unknown
from foxspread.mesh.replication.acceptor import MEMBERS_KEY, Acceptor, Message, Write, sound
from foxspread.mesh.replication.learner import ProposalNumber, unpack_proposal_number, unpack_row
from foxspread.mesh.replication.membership import MemberSet, member_set_of, differs_by_one, is_quorum

ROUND_S = 0.45  # for a majority to answer one message: two syncs of a slow disk
PAUSE_S = 0.012  # after a lost ballot, by chance up to that, doubling
PAUSE_MOST_S = 0.2
SLOWER = 0.98  # the agreed clock goes no faster than the slowest steady clock by this much


@dataclass(slots=True)
class PendingCall:
    token: Any
    items: list[Item]
    until: float
    named: str = ""  # the digest of what it says
    outcome: bool | Failure | None = None


@dataclass(slots=True)
class ProposerOutput:
    """What is to be done, in this order: written, sent, told."""

    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    done: list[tuple[Any, bool | Failure]] = field(default_factory=list)
    new: list[Item] = field(default_factory=list)  # settled items that are new here


class Proposer:
    def __init__(self, acceptor: Acceptor, incarnation: str, draw: Callable[[], float]) -> None:
        self.acceptor, self.incarnation, self.draw = acceptor, incarnation, draw
        self.seen = 0
        self.waiting: list[PendingCall] = []
        self.running: list[PendingCall] = []
        self.proposal_number: ProposalNumber | None = None  # of the round that is under way
        self.asked: set[str] = set()  # whom, in this round
        self.sets: list[MemberSet] = []  # majorities of all these choose the value proposed
        self.promises: dict[str, Message] = {}
        self.accepts: dict[str, Message] = {}
        self.value: dict[Key, Item] | None = None  # the delta proposed; None while preparing
        self.round_until = self.start_at = 0.0
        self.losses = 0
        self.wanted = False  # a round without a call: what is unsettled is to be settled
        self.noticed = (0.0, 0.0)  # the newest time of the agreed clock, and when it was seen here

    # Inputs.

    def submit(self, now: float, token: Any, items: Iterable[Item], until: float) -> ProposerOutput:
        """`until`: when it ends as not known. No items: a read, done once this copy holds all that is
        settled."""
        items = list(items)
        self.waiting.append(PendingCall(token, items, until, digest_of_change(items) if items else ""))
        return self.tick(now)

    def nudge(self, now: float) -> ProposerOutput:
        self.wanted = True
        return self.tick(now)

    def tick(self, now: float) -> ProposerOutput:
        out = ProposerOutput()
        if (clock := self.acceptor.learner.clock) > self.noticed[0]:
            self.noticed = clock, now
        self._expire(now, out)
        if self.proposal_number is not None and now >= self.round_until:
            self._lost(now, 0.0)
        if (
            self.proposal_number is None
            and now >= self.start_at
            and (self.waiting or self.running or self.wanted)
        ):
            self._begin(now, out)
        return out

    def reached(self, member: str) -> ProposerOutput:
        """A link to that member has come up: it may have missed what is being asked."""
        out = ProposerOutput()
        if self.proposal_number is not None and member in self.asked:
            out.sends.append((member, self._prepare() if self.value is None else self._accept_of(member)))
        return out

    def wake_at(self) -> float | None:
        times = [call.until for call in (*self.waiting, *self.running)]
        if self.proposal_number is not None:
            times.append(self.round_until)
        elif self.waiting or self.running or self.wanted:
            times.append(self.start_at)
        return min(times, default=None)

    def heard(self, now: float, sender: str, message: Message) -> ProposerOutput:
        out, kind = ProposerOutput(), message["t"]
        if sender not in self.asked:
            return out
        if kind == "nack":
            self.seen = max(self.seen, message["promised"][0])
        if self.proposal_number is None or unpack_proposal_number(message["b"]) != self.proposal_number:
            return out
        if kind == "nack":
            self._lost(now, self.draw())
        elif kind == "stale":
            self._learn(message, out)
            self._lost(now, self.draw())
        elif kind == "promise" and self.value is None:
            self.promises[sender] = message
            self._promised(now, out)
        elif kind == "behind" and self.value is not None:
            if (accept := self._accept(unpack_proposal_number(message["s"])))["ahead"] is not None:
                out.sends.append((sender, accept))  # else it takes what it lacks in pieces
        elif kind == "accepted" and self.value is not None:
            self.accepts[sender] = message
            if is_quorum(self.sets, sound(self.accepts)):
                self._chosen(now, out)
        return out

    # A round.

    def _expire(self, now: float, out: ProposerOutput) -> None:
        for calls in (self.waiting, self.running):
            for call in [each for each in calls if now >= each.until]:
                calls.remove(call)
                out.done.append((call.token, outcome_unknown("no majority in time")))

    def _begin(self, now: float, out: ProposerOutput) -> None:
        self.seen = max(self.seen, self.acceptor.promised[0], self.acceptor.learner.committed_number[0]) + 1
        self.proposal_number, self.value, self.promises, self.accepts = (
            (self.seen, self.incarnation),
            None,
            {},
            {},
        )
        self.round_until, self.wanted = now + ROUND_S, False
        self.running += self.waiting
        self.waiting, self.asked = [], set()
        self._ask([self.acceptor.members], out)

    def _ask(self, sets: list[MemberSet], out: ProposerOutput) -> None:
        """All of these that have not been asked in this round."""
        ask = self._prepare()
        for member in (member for each in sets for member in each.of):
            if member not in self.asked:
                self.asked.add(member)
                out.sends.append((member, ask))

    def _prepare(self) -> Message:
        return {
            "t": "prepare",
            "b": self.proposal_number,
            "e": self.acceptor.epoch,
            "s": self.acceptor.learner.committed_number,
        }

    def _learn(self, told: Message, out: ProposerOutput) -> bool:
        """What another has settled beyond this copy; False where that is too much for its message."""
        if unpack_proposal_number(told["s"]) <= self.acceptor.learner.committed_number:
            return True
        if told["ahead"] is None:
            return False
        writes, new = self.acceptor.learn(unpack_proposal_number(told["s"]), map(unpack_row, told["ahead"]))
        out.writes += writes
        out.new += new
        return True

    def _promised(self, now: float, out: ProposerOutput) -> None:
        """Whether enough have promised: a majority of the members, and of those that they may be changing
        to."""
        acceptor, promises = self.acceptor, sound(self.promises)
        newest = max(promises.values(), key=lambda each: unpack_proposal_number(each["s"]), default=None)
        if newest is not None and not self._learn(newest, out):
            return self._lost(now, 1.0)  # what is lacking comes in pieces
        sets = [acceptor.members]
        last = max(promises.values(), key=lambda each: unpack_proposal_number(each["acc"]), default=None)
        if last is not None and unpack_proposal_number(last["acc"]) > acceptor.learner.committed_number:
            changes = [item for item in map(unpack_item, last["delta"]) if item.key == MEMBERS_KEY]
            sets += [member_set_of(item) for item in changes if item.version > acceptor.epoch]
        self._ask(sets, out)
        if is_quorum(sets, promises):
            self.promises = promises
            self._propose(now, out)

    def _lost(self, now: float, draw: float) -> None:
        self.proposal_number, self.losses = None, min(self.losses + 1, 6)
        self.wanted = self.wanted or not self.running
        self.start_at = now + draw * min(PAUSE_MOST_S, PAUSE_S * 2**self.losses)

    def _propose(self, now: float, out: ProposerOutput) -> None:
        acceptor = self.acceptor
        last = max(self.promises.values(), key=lambda each: unpack_proposal_number(each["acc"]))
        held, delta = acceptor.learner.items, {}
        open_before = (
            unpack_proposal_number(last["acc"]) > acceptor.learner.committed_number
        )  # it may be settled, unknown to us: it goes on
        if open_before:
            delta = {item.key: item for item in map(unpack_item, last["delta"]) if held.get(item.key) != item}
        for call in self.running:
            changes, call.outcome = self._judged({**held, **delta} if delta else held, delta, call, now)
            delta.update(changes)
        if delta:
            delta.update(collectable({**held, **delta}, acceptor.learner.at))
        if not delta and not open_before:
            return self._tell(out)
        self.value, self.round_until = delta, now + ROUND_S
        self.sets = [acceptor.members]
        if (change := delta.get(MEMBERS_KEY)) is not None:
            self.sets.append(member_set_of(change))
        for member in dict.fromkeys(member for each in self.sets for member in each.of):
            self.asked.add(member)
            out.sends.append((member, self._accept_of(member)))

    def _judged(
        self, both: dict[Key, Item], delta: dict[Key, Item], call: PendingCall, now: float
    ) -> tuple[dict[Key, Item], bool | Failure]:
        """`both`: what is settled and what this value adds to it, the latter alone in `delta`."""
        acceptor, by_key = self.acceptor, {item.key: item for item in call.items}
        if (change := by_key.get(MEMBERS_KEY)) is not None:
            if MEMBERS_KEY in delta:
                return {}, outcome_unknown("another change of members is not settled yet")
            if not differs_by_one(acceptor.members, member_set_of(change)):
                return {}, conflict("members change by one machine at a time")
        clock, at = self.noticed
        return apply_change(both, call.items, call.named, clock + SLOWER * max(0.0, now - at))

    def _accept_of(self, member: str) -> Message:
        promise = self.promises.get(member)
        return self._accept(
            unpack_proposal_number(promise["s"]) if promise else self.acceptor.learner.committed_number
        )

    def _accept(self, since: ProposalNumber) -> Message:
        """For one whose settled set is as of `since`."""
        learner = (
            self.acceptor.learner
        )  # may know more by now than at the proposal: the delta goes over that too
        return {
            "t": "accept",
            "b": self.proposal_number,
            "e": self.acceptor.epoch,
            "s": learner.committed_number,
            "delta": [item.packed() for item in self.value.values()],
            "disks": {member: promise["disks"][member] for member, promise in self.promises.items()},
            "since": since,
            "ahead": self.acceptor.rows(since),
        }

    def _chosen(self, now: float, out: ProposerOutput) -> None:
        at = self.proposal_number
        writes, new = self.acceptor.learn(at, [(item, at) for item in self.value.values()])
        out.writes += writes
        out.new += new
        self._tell(out)

    def _tell(self, out: ProposerOutput) -> None:
        out.done += [(call.token, call.outcome) for call in self.running]
        self.running, self.proposal_number, self.losses, self.start_at = [], None, 0, 0.0
