"""Brings calls into the set: a proposer without I/O. It asks a majority to promise, takes the newest value
that they tell, merges each call item by item, checks it against the whole, and has a majority accept the
outcome. Any machine with a disk may do this at any time; who loses a ballot waits a moment by chance and
asks with a higher one.

What is answered is final: a call is acknowledged, or refused for good, only once the value that it was
judged on is settled. Without a majority it ends as "not known" at its time, which also is right where its
proposer dies.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from foxspread.orchard.configuration.items import Item, Key, consistent, merged, unpacked
from foxspread.orchard.outcome import Failure, unsettled
from foxspread.orchard.replication.copy import Ballot, ballot, row, unrow
from foxspread.orchard.replication.acceptor import Message, Acceptor, Write, sound

ROUND_S = 0.45  # for a majority to answer one message: two syncs of a slow disk
PAUSE_S = 0.012  # after a lost ballot, by chance up to that, doubling
PAUSE_MOST_S = 0.2


@dataclass(slots=True)
class Call:
    token: Any
    items: list[Item]
    until: float
    outcome: bool | Failure | None = None


@dataclass(slots=True)
class Out:
    """What is to be done, in this order: written, sent, told."""

    writes: list[Write] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)
    done: list[tuple[Any, bool | Failure]] = field(default_factory=list)
    new: list[Item] = field(default_factory=list)  # settled items that are new here


class Proposer:
    def __init__(self, acceptor: Acceptor, life: str, draw: Callable[[], float]) -> None:
        self.acceptor, self.life, self.draw = acceptor, life, draw
        self.seen = 0
        self.waiting: list[Call] = []
        self.running: list[Call] = []
        self.ballot: Ballot | None = None  # of the round that is under way
        self.promises: dict[str, Message] = {}
        self.accepts: dict[str, Message] = {}
        self.value: dict[Key, Item] | None = None  # the delta proposed; None while preparing
        self.round_until = self.start_at = 0.0
        self.losses = 0
        self.wanted = False  # a round without a call: what is unsettled is to be settled

    # Inputs.

    def submit(self, now: float, token: Any, items: Iterable[Item], until: float) -> Out:
        """`until`: when it ends as not known. No items: a read, done once this copy holds all that is
        settled."""
        self.waiting.append(Call(token, list(items), until))
        return self.tick(now)

    def nudge(self, now: float) -> Out:
        self.wanted = True
        return self.tick(now)

    def tick(self, now: float) -> Out:
        out = Out()
        self._expire(now, out)
        if self.ballot is not None and now >= self.round_until:
            self._lost(now, 0.0)
        if self.ballot is None and now >= self.start_at and (self.waiting or self.running or self.wanted):
            self._begin(now, out)
        return out

    def reached(self, member: str) -> Out:
        """A link to that member has come up: it may have missed what is being asked."""
        out = Out()
        if self.ballot is not None:
            promise = self.promises.get(member)
            since = ballot(promise["s"]) if promise else self.acceptor.copy.upto
            out.sends.append((member, self._prepare() if self.value is None else self._accept(since)))
        return out

    def wake_at(self) -> float | None:
        times = [call.until for call in (*self.waiting, *self.running)]
        if self.ballot is not None:
            times.append(self.round_until)
        elif self.waiting or self.running or self.wanted:
            times.append(self.start_at)
        return min(times, default=None)

    def heard(self, now: float, sender: str, message: Message) -> Out:
        out, kind = Out(), message["t"]
        if sender not in self.acceptor.members:
            return out
        if kind == "nack":
            self.seen = max(self.seen, message["promised"][0])
        if self.ballot is None or ballot(message["b"]) != self.ballot:
            return out
        if kind == "nack":
            self._lost(now, self.draw())
        elif kind == "promise" and self.value is None:
            self.promises[sender] = message
            if len(promises := sound(self.promises)) >= self.acceptor.majority:
                self.promises = promises
                self._propose(now, out)
        elif kind == "behind" and self.value is not None:
            out.sends.append((sender, self._accept(ballot(message["s"]))))
        elif kind == "accepted" and self.value is not None:
            self.accepts[sender] = message
            if len(sound(self.accepts)) >= self.acceptor.majority:
                self._chosen(now, out)
        return out

    # A round.

    def _expire(self, now: float, out: Out) -> None:
        for calls in (self.waiting, self.running):
            for call in [each for each in calls if now >= each.until]:
                calls.remove(call)
                out.done.append((call.token, unsettled("no majority in time")))

    def _begin(self, now: float, out: Out) -> None:
        self.seen = max(self.seen, self.acceptor.promised[0], self.acceptor.copy.upto[0]) + 1
        self.ballot, self.value, self.promises, self.accepts = (self.seen, self.life), None, {}, {}
        self.round_until, self.wanted = now + ROUND_S, False
        self.running += self.waiting
        self.waiting = []
        ask = self._prepare()
        out.sends += [(member, ask) for member in self.acceptor.members]

    def _prepare(self) -> Message:
        return {"t": "prepare", "b": self.ballot, "s": self.acceptor.copy.upto}

    def _lost(self, now: float, draw: float) -> None:
        self.ballot, self.losses = None, min(self.losses + 1, 6)
        self.wanted = self.wanted or not self.running
        self.start_at = now + draw * min(PAUSE_MOST_S, PAUSE_S * 2**self.losses)

    def _propose(self, now: float, out: Out) -> None:
        acceptor = self.acceptor
        newest = max(self.promises.values(), key=lambda each: ballot(each["s"]))
        writes, new = acceptor.learn(ballot(newest["s"]), map(unrow, newest["ahead"]))
        out.writes += writes
        out.new += new
        last = max(self.promises.values(), key=lambda each: ballot(each["acc"]))
        held, delta = acceptor.copy.items, {}
        open_before = ballot(last["acc"]) > acceptor.copy.upto  # it may be settled, unknown to us: it goes on
        if open_before:
            delta = {item.key: item for item in map(unpacked, last["delta"]) if held.get(item.key) != item}
        for call in self.running:
            both = {**held, **delta} if delta else held
            newer = merged(both, call.items)
            if newer:
                against = consistent(both, newer)
                newer = newer if against is None else against
            if isinstance(newer, Failure):
                call.outcome = newer
            else:
                call.outcome = True
                delta.update(newer)
        if not delta and not open_before:
            return self._tell(out)
        self.value, self.round_until = delta, now + ROUND_S
        for member in acceptor.members:
            promise = self.promises.get(member)
            out.sends.append((member, self._accept(ballot(promise["s"]) if promise else acceptor.copy.upto)))

    def _accept(self, since: Ballot) -> Message:
        """For one whose settled set is as of `since`."""
        copy = self.acceptor.copy  # may know more by now than at the proposal: the delta goes over that too
        message = {
            "t": "accept",
            "b": self.ballot,
            "s": copy.upto,
            "delta": [item.packed() for item in self.value.values()],
            "disks": {member: promise["disks"][member] for member, promise in self.promises.items()},
        }
        if since < copy.upto:
            message["since"], message["ahead"] = since, [row(*each) for each in copy.since(since)]
        return message

    def _chosen(self, now: float, out: Out) -> None:
        at = self.ballot
        writes, new = self.acceptor.learn(at, [(item, at) for item in self.value.values()])
        out.writes += writes
        out.new += new
        self._tell(out)

    def _tell(self, out: Out) -> None:
        out.done += [(call.token, call.outcome) for call in self.running]
        self.running, self.ballot, self.losses, self.start_at = [], None, 0, 0.0
