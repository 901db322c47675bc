"""One coordinator without I/O: a member of the log, the versions that it makes, and the calls that wait for
an answer. A call is answered once, and within its patience. What is not known to be written, nor known not to
be, is said to be so (`UNKNOWN`): the caller asks again with the same request id.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from foxspread.consensus.core import Member, Refused, Role, Settings
from foxspread.consensus.messages import Envelope, Members, Saved, Snapshot, Write, encoded
from foxspread.consensus.versions import Put, Versions

WATCHES_MOST = 2048  # calls that wait for a later version
CALLS_MOST = 1024  # calls that wait; more are turned away at once
COMPACT_BYTES = (
    1024 * 1024
)  # of the log; from here on a snapshot is made, and not before it is as long as the last one


class Status(enum.Enum):
    DONE = "done"  # what was asked for, or the state machine's own word against it
    ELSEWHERE = "elsewhere"  # nothing was done: another one leads, or nobody does
    REFUSED = "refused"  # nothing was done, and the text says why
    UNKNOWN = "not known whether written"


@dataclass(frozen=True)
class Answer:
    token: int
    status: Status
    value: Any = None  # of the state machine; a reason as text
    leader: str = ""  # who leads, as far as this one knows


@dataclass
class Call:
    token: int
    until: float
    number: int = -1  # a read: the version asked for (0: the latest)
    index: int = 0  # a write: its place in the log
    term: int = 0


@dataclass
class Out:
    messages: list[Envelope] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)


class Coordinator:
    """`patience`: seconds within which each call is answered."""

    kind, versions_kind = Member, Versions  # the lab puts broken ones here
    compact_bytes = COMPACT_BYTES

    def __init__(
        self,
        now: float,
        me: str,
        fleet: str,
        saved: Saved,
        members: Members,
        settings: Settings,
        chance: Callable[[], float],
        patience: float = 2.0,
    ) -> None:
        self.member = self.kind(now, me, fleet, saved, members, settings, chance)
        self.versions, self.patience = self.versions_kind(), patience
        self.versions.restore(self.member.snapshot.data)
        self.calls: dict[int, Call] = {}
        self.by_index: dict[int, int] = {}  # calls that wait for a place of the log
        self.watches: dict[int, tuple[int, float]] = {}  # by token: the version that is known, until when
        self.answers: list[Answer] = []
        self.log_bytes = sum(entry.size() for entry in self.member.log.entries)

    # What is asked

    def put(self, now: float, token: int, put: Put) -> None:
        self._write(now, token, lambda: self.member.propose(now, encoded(put)))

    def change(self, now: float, token: int, member: str, address: str | None) -> None:
        """Answered when the change is agreed; one that is added votes when it has caught up."""
        self._write(now, token, lambda: self.member.change(now, member, address))

    def _write(self, now: float, token: int, ask: Callable[[], tuple[int, int]]) -> None:
        if self._room(token):
            try:
                index, term = ask()
            except Refused as error:
                return self._turn_away(token, str(error))
            self.calls[token] = Call(token, now + self.patience, index=index, term=term)
            self.by_index[index] = token

    def get(self, now: float, token: int, number: int = 0) -> None:
        """The latest version as of now (0), by the leader alone. One with a number never changes: whoever has
        it answers."""
        if number and (found := self.versions.get(number)) is not None:
            return self.answers.append(Answer(token, Status.DONE, found, self.member.leader))
        if self._room(token):
            try:
                self.member.read(now, token)
            except Refused as error:
                return self._turn_away(token, str(error))
            self.calls[token] = Call(token, now + self.patience, number)

    def watch(self, now: float, token: int, known: int, wait: float) -> None:
        """The latest version that this member has, once it is later than the known one, or after `wait`
        seconds. Any member answers; it may be behind, so this is no read as of now."""
        if self.versions.latest > known:
            self.answers.append(Answer(token, Status.DONE, self.versions.get(), self.member.leader))
        elif len(self.watches) >= WATCHES_MOST:
            self.answers.append(Answer(token, Status.REFUSED, f"{WATCHES_MOST} calls watch already"))
        else:
            self.watches[token] = (known, now + wait)

    def left(self, token: int) -> None:
        """Nobody waits for this call's answer any more."""
        self.watches.pop(token, None)
        self.member.left(token)

    def hand_over(self, now: float, token: int, to: str) -> None:
        try:
            self.member.hand_over(now, to)
        except Refused as error:
            return self._turn_away(token, str(error))
        self.answers.append(Answer(token, Status.DONE, None, self.member.leader))

    def _room(self, token: int) -> bool:
        if len(self.calls) >= CALLS_MOST:
            self.answers.append(Answer(token, Status.REFUSED, f"{CALLS_MOST} calls wait already"))
            return False
        return True

    def _turn_away(self, token: int, why: str) -> None:
        leads = self.member.role is Role.LEADER
        self.answers.append(
            Answer(token, Status.REFUSED if leads else Status.ELSEWHERE, why, self.member.leader)
        )

    # What happens

    def receive(self, now: float, envelope: Envelope) -> None:
        self.member.receive(now, envelope)

    def confirmed(self, now: float, number: int) -> None:
        self.member.confirmed(now, number)

    def disk_failed(self, now: float, why: str) -> None:
        self.member.disk_failed(now, why)

    def tick(self, now: float) -> None:
        self.member.tick(now)
        for call in [each for each in self.calls.values() if each.until <= now]:
            del self.calls[call.token]
            if not call.index:
                self.member.left(call.token)
            if self.by_index.get(call.index) == call.token:  # a later call may wait for the same place
                del self.by_index[call.index]
            if call.index:
                self.answers.append(
                    Answer(call.token, Status.UNKNOWN, "no majority answered in time", self.member.leader)
                )
            else:
                self.answers.append(Answer(call.token, Status.ELSEWHERE, "no majority answered in time"))

        self._watched(now)

    def _watched(self, now: float) -> None:
        latest = self.versions.latest
        for token, (known, until) in list(self.watches.items()):
            if latest > known or until <= now:
                del self.watches[token]
                self.answers.append(Answer(token, Status.DONE, self.versions.get(), self.member.leader))

    def wake_at(self) -> float:
        first = next(iter(self.calls.values()), None)  # patience is one for all: the oldest comes first
        watched = min((until for _, until in self.watches.values()), default=float("inf"))
        return min(self.member.wake_at(), first.until if first else float("inf"), watched)

    def take(self, now: float) -> Out:
        out = Out()
        while ready := self.member.take():
            out.messages += ready.messages
            out.writes += ready.writes
            if ready.restored is not None:
                self._restored(ready.restored)
            for index, entry in ready.entries:
                self._applied(index, entry)
            for sender, body in ready.notes:
                self._noted(now, sender, body)
            for token, holds in ready.reads:
                if self._read_done(now, token, holds):
                    continue
                if (call := self.calls.pop(token, None)) is not None:
                    value = self.versions.get(call.number)
                    self.answers.append(
                        Answer(token, Status.DONE, value, self.member.leader)
                        if holds
                        else Answer(token, Status.ELSEWHERE, "it leads no more", self.member.leader)
                    )
            if self.watches and (ready.entries or ready.restored is not None):
                self._watched(now)
            self._compact(now)
        out.answers, self.answers = self.answers, []
        return out

    def _restored(self, snapshot: Snapshot) -> None:
        self.versions.restore(snapshot.data)
        self.log_bytes = sum(entry.size() for entry in self.member.log.entries)
        for index in [each for each in self.by_index if each <= snapshot.index]:
            token = self.by_index.pop(index)  # it is in there, or not: the snapshot doesn't tell
            del self.calls[token]
            self.answers.append(Answer(token, Status.UNKNOWN, "this member fell behind", self.member.leader))

    def _applied(self, index: int, entry: Any) -> None:
        self.log_bytes += entry.size()
        value = self.versions.apply(entry.body) if entry.body else entry.members
        token = self.by_index.pop(index, None)
        if token is not None:
            call = self.calls.pop(token)
            if call.term == entry.term:
                self.answers.append(Answer(token, Status.DONE, value, self.member.leader))
            else:  # another's entry took its place: it was not written, and never will be
                self.answers.append(
                    Answer(token, Status.ELSEWHERE, "another leader's entry stands there", self.member.leader)
                )

    def _noted(self, now: float, sender: str, body: bytes) -> None:
        """What another member's host says; a coordinator of versions alone says nothing."""

    def _read_done(self, now: float, token: int, holds: bool) -> bool:
        """True where the read was one of the host's own."""
        return False

    def _compact(self, now: float) -> None:
        """A log as long as what it makes: a snapshot's cost is spread over as many bytes of entries."""
        if self.log_bytes > max(self.compact_bytes, len(self.member.snapshot.data)):
            before = self.member.snapshot.index
            self.member.compact(now, self.member.applied, self.versions.saved())
            if self.member.snapshot.index > before:
                self.log_bytes = sum(entry.size() for entry in self.member.log.entries)
