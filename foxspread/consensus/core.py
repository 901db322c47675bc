"""One member of a few that agree on a log, without I/O: Raft as published.

Sources: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), quoted as
[R]; D. Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014), quoted as [T]. From [T]: pre-vote
(9.6), check-quorum (6.2), leadership transfer (3.10), one change of members at a time (4.1, with its
correction: only after an entry of the leader's own term), catching up before voting (4.2.1), reads by index
(6.4), the leader's own write beside the others' (10.2.1). Not from there: `Stamp`, by which a disk that lost
what it had promised is found (docs/design/consensus.md).

Inputs note: `receive`, `tick`, `confirmed`, `propose`, `read`, `change`, `hand_over`, `compact`. Outputs are
pulled by `take`: messages to send now, records to write in their order, entries committed, reads that may be
answered. A message that promises something leaves only when the disk has confirmed the record that it
rests on. Times are seconds of a clock that never goes back; chance is a function that is handed in.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from foxspread.consensus.messages import (
    BATCH,
    FORMAT,
    PIECE,
    Append,
    Appended,
    AskVote,
    Entry,
    Envelope,
    HandOver,
    Hello,
    Install,
    Installed,
    Known,
    Members,
    Message,
    Note,
    Objection,
    ReadAsk,
    ReadIs,
    Saved,
    Seat,
    Snapshot,
    Stamp,
    Vote,
    Welcome,
    Write,
)


READS_MOST = 4096  # reads under way
RETIRED_MOST = 64  # members that were removed, whose disks are still known


class Role(enum.Enum):
    STARTING = "starting"  # asks the others what they know of this disk
    FOLLOWER = "follower"
    ASKING = "asking"  # would they vote for it? No term is spent yet
    CANDIDATE = "candidate"
    LEADER = "leader"
    BARRED = "barred"  # its disk has lost what it had promised, or fails: it promises nothing more


# All transitions there are, and what leads to each.
LEGAL: dict[Role, dict[Role, str]] = {
    Role.STARTING: {
        Role.FOLLOWER: "a majority, itself included, knows of no later write; or it is new",
        Role.BARRED: "another knows of later writes; the disk fails",
    },
    Role.FOLLOWER: {
        Role.ASKING: "no leader was heard for an election time",
        Role.CANDIDATE: "the leader hands over",
        Role.BARRED: "another knows of later writes; the disk fails",
    },
    Role.ASKING: {
        Role.FOLLOWER: "a leader, or a later term, was heard of",
        Role.ASKING: "no majority answered in time",
        Role.CANDIDATE: "a majority would vote for it; the leader hands over",
        Role.BARRED: "another knows of later writes; the disk fails",
    },
    Role.CANDIDATE: {
        Role.FOLLOWER: "a leader, or a later term, was heard of",
        Role.ASKING: "no majority voted in time",
        Role.LEADER: "a majority voted for it in this term",
        Role.BARRED: "another knows of later writes; the disk fails",
    },
    Role.LEADER: {
        Role.FOLLOWER: "a later term; a majority was not heard for an election time; it is removed",
        Role.BARRED: "another knows of later writes; the disk fails",
    },
    Role.BARRED: {},
}


class Contradiction(Exception):
    """Something that agreement rules out was seen. The process has to end rather than go on with it."""


class Refused(Exception):
    """What was asked for can't be done here or now; the text says why."""


@dataclass(frozen=True)
class Settings:
    """Seconds. An election begins between one and two election times after the last word of a leader."""

    beat: float = 0.06
    election: float = 0.3
    waiting_most: int = 512  # entries that are not committed yet; more are refused
    batch: int = BATCH  # bytes of entries in one message, unless one alone is longer


class Log:
    """Entries after a snapshot's index. Indexes count from 1."""

    def __init__(self, base: int, base_term: int, entries: list[Entry]) -> None:
        self.base, self.base_term, self.entries = base, base_term, entries

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    def term(self, index: int) -> int | None:
        """None where the log doesn't reach: before its snapshot, after its end."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def after(self, index: int, most: int) -> list[Entry]:
        """What follows, as much as one message holds; at least one where there is one."""
        found, size = [], 0
        for at in range(index - self.base, len(self.entries)):
            size += self.entries[at].size()
            if found and size > most:
                break
            found.append(self.entries[at])
        return found

    def replace(self, first: int, entries: list[Entry]) -> None:
        self.entries[first - self.base - 1 :] = entries

    def drop_to(self, index: int, term: int) -> None:
        self.entries = self.entries[index - self.base :]
        self.base, self.base_term = index, term


@dataclass
class Progress:
    """What a leader knows of another member."""

    next: int
    match: int = 0
    heard: float = 0.0  # when it last answered in this term
    round: int = 0  # the latest that it has answered
    since: float | None = None  # when what it has not answered yet was sent
    at: int = 0  # bytes of the snapshot that it has
    of: int = 0  # index of that snapshot
    identity: str = ""  # of its disk, as it last said


@dataclass
class Ready:
    """What is to be done now. Writes in their order; messages may go at once, all that they rest on is
    saved."""

    messages: list[Envelope] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    restored: Snapshot | None = None  # goes before the entries
    entries: list[tuple[int, Entry]] = field(default_factory=list)
    notes: list[tuple[str, bytes]] = field(default_factory=list)  # from other members' hosts
    reads: list[tuple[int, bool]] = field(default_factory=list)  # token; False: this one leads no more

    def __bool__(self) -> bool:
        return bool(self.messages or self.writes or self.restored or self.entries or self.notes or self.reads)


@dataclass
class Reading:
    token: int
    of: tuple[str, str] | None = None  # another member that asks, and its run; None: this one
    index: int = -1  # what must be applied; -1: not known before an entry of this term is committed
    round: int = 0  # what a majority must have answered; 0: not asked yet


def majority(members: Members) -> int:
    return sum(seat.voter for seat in members.values()) // 2 + 1


class Member:
    """`members`: whom a new fleet starts with, for a disk that holds nothing; empty for one that joins
    later."""

    def __init__(
        self,
        now: float,
        me: str,
        fleet: str,
        saved: Saved,
        members: Members,
        settings: Settings,
        chance: Callable[[], float],
    ) -> None:
        self.now, self.me, self.fleet, self.settings, self.chance = now, me, fleet, settings, chance
        self.run = f"{int(chance() * 2 ** 48):012x}"
        self.identity, self.generation, self.began = saved.identity, saved.generation, saved.count
        self.term, self.vote, self.known, self.barred = (
            saved.term,
            saved.vote,
            dict(saved.known),
            saved.barred,
        )
        self.retired = dict(saved.retired)  # disks of members that were removed
        self.seat = saved.seat if saved.count else 0 if members else -1
        self.snapshot = saved.snapshot if saved.count else Snapshot(members=members)
        self.log = Log(self.snapshot.index, self.snapshot.term, list(saved.entries))
        self.committed = self.applied = self.snapshot.index
        self.members, self.members_at = self._members()
        self.written = self.saved = 0  # numbers of records: asked for, confirmed
        self.stable = self.log.last  # what of the log is on disk
        self.pending: list[list[int]] = []  # number of a record, last index of the log with it
        self.held: list[tuple[int, str, Message]] = []  # messages, by the record that they rest on
        self.out: Ready = Ready()
        self.leader = ""
        self.heard = -1e9  # when a leader was last heard
        self.votes: set[str] = set()
        self.vote_at = 0  # the record that holds its vote for itself
        self.progress: dict[str, Progress] = {}
        self.round, self.ask_round = 0, False
        self.reads: list[Reading] = []
        self.asked: set[int] = set()  # reads that the leader was asked for
        self.indexed: list[tuple[int, int]] = []  # reads whose index the leader has told
        self.handing: tuple[str, float] | None = None
        self.beat_at = 0.0
        self.own_term_at = 0  # index of the first entry of its own term
        self.coming: tuple[int, int, bytearray] | None = None  # snapshot under way: index, term, bytes
        self.welcomes = {me}
        self.role = Role.BARRED if self.barred else Role.STARTING
        self.deadline = now
        if not saved.count and members:  # once on disk, whatever a file says later
            self._write(snapshot=self.snapshot)
        if not self.members or majority(self.members) == 1 and self._voter(me):
            self._proved()

    # What it is

    def stamp(self) -> Stamp:
        return Stamp(self.identity, self.generation, self.run, self.began, self.began + self.saved, self.seat)

    def _voter(self, member: str) -> bool:
        return member in self.members and self.members[member].voter

    def _members(self, last: int | None = None) -> tuple[Members, int]:
        """Those of the latest entry that names some, committed or not ([T] 4.1), and its index."""
        for index in range(self.log.last if last is None else last, self.log.base, -1):
            if (found := self.log.entry(index).members) is not None:
                return found, index
        return self.snapshot.members, self.snapshot.members_at

    def _others(self) -> list[str]:
        return [each for each in self.members if each != self.me]

    def _become(self, role: Role) -> None:
        if role not in LEGAL[self.role]:
            raise Contradiction(f"{self.me}: from {self.role.value} to {role.value} in term {self.term}")
        if self.role is Role.LEADER and self.reads:
            for each in self.reads:
                self._read_told(each, False)
            self.reads = []
        self.role, self.votes, self.handing = role, set(), None
        self.progress = {}

    def _proved(self) -> None:
        if self.role is Role.STARTING:
            self._become(Role.FOLLOWER)
            self._rest()

    def _rest(self) -> None:
        self.deadline = self.now + self.settings.election * (1 + self.chance())

    def _follow(self, term: int, leader: str = "") -> None:
        """A later term, or a leader of this one."""
        if term > self.term:
            self.term, self.vote, self.leader = term, "", ""
            self._write()
        if leader:
            self.leader = leader
            self.heard = self.now
        if self.role is not Role.FOLLOWER:
            self._become(Role.FOLLOWER)
            self._rest()
        elif leader:
            self._rest()

    # Records and messages

    def _write(
        self,
        first: int = 0,
        entries: list[Entry] | None = None,
        snapshot: Snapshot | None = None,
        kept: bool = True,
    ) -> None:
        self.written += 1
        if first:  # what is replaced is not on disk any more, whenever its record is confirmed
            self.stable = min(self.stable, first - 1)
            for row in self.pending:
                row[1] = min(row[1], first - 1)
        self.pending.append([self.written, self.log.last])
        self.out.writes.append(
            Write(
                self.written,
                self.term,
                self.vote,
                dict(self.known),
                dict(self.retired),
                self.barred,
                first,
                entries or [],
                snapshot,
                kept,
                self.seat,
            )
        )

    def _send(self, to: str, message: Message, promises: bool = True) -> None:
        """Promises rest on all records so far; a leader's words rest on its election, which is saved."""
        after = self.written if promises else 0
        if after > self.saved:
            self.held.append((after, to, message))
        else:
            self._leave(to, message)

    def _leave(self, to: str, message: Message) -> None:
        self.out.messages.append(Envelope(self.fleet, FORMAT, self.me, to, self.stamp(), message))

    def confirmed(self, now: float, number: int) -> None:
        """The disk holds all records up to this number."""
        self._at(now)
        self.saved = max(self.saved, number)
        while self.pending and self.pending[0][0] <= number:
            self.stable = max(self.stable, min(self.pending.pop(0)[1], self.log.last))
        ready = [each for each in self.held if each[0] <= self.saved]
        self.held = [each for each in self.held if each[0] > self.saved]
        for _, to, message in ready:
            self._leave(to, message)
        if self.role is Role.CANDIDATE:
            self._elected()
        elif self.role is Role.LEADER:
            self._commit()

    def disk_failed(self, now: float, why: str) -> None:
        """A record could not be written. It is never taken as written, and nothing more is promised by this
        run of the process; a later one starts from what the disk then holds, and nobody was told of more."""
        self._at(now)
        self._bar(f"the disk fails: {why}", False)

    def _bar(self, why: str, saved: bool = True) -> None:
        if self.role is not Role.BARRED:
            self.barred, self.held = why, []
            self._become(Role.BARRED)
            if saved:
                self._write()

    def _at(self, now: float) -> None:
        self.now = max(self.now, now)

    # Whose disk is what it was

    def _trusted(self, sender: str, stamp: Stamp) -> bool:
        """Notes what a disk has shown of itself; False where it shows less than it did."""
        seat, known = self.members.get(sender), self.known.get(sender)
        why = ""
        if stamp.identity == self.retired.get(sender):
            why = "this disk's member was removed"
        elif seat is None or stamp.since > seat.since:
            return True  # this member has missed a change, and can't tell
        elif stamp.since < seat.since:
            if stamp.since < 0 and not seat.voter:
                return True  # it is being added, and has not heard of its seat yet
            if self.members_at > self.committed:
                return False  # a change that may come to nothing
            why = "another disk: it is not the one that was added last"
        elif known is None or known.since != seat.since:
            self.known[sender] = Known(stamp, seat.since)
        elif stamp.identity != known.stamp.identity:
            why = "another disk: wiped, or copied"
        elif (
            stamp.generation < known.stamp.generation
            or stamp.generation == known.stamp.generation
            and stamp.run != known.stamp.run
        ):
            why = "an earlier state of the disk"
        elif stamp.generation > known.stamp.generation and stamp.began < known.stamp.count:
            why = f"an earlier state of the disk: {stamp.began} writes of {known.stamp.count}"
        elif stamp.generation > known.stamp.generation or stamp.count > known.stamp.count:
            self.known[sender] = Known(stamp, known.since)
        if why:
            self._send(sender, Objection(stamp.run, why, self.members_at, stamp.since), False)
        return not why

    def _heard_of(self, known: dict[str, Known]) -> None:
        """A leader's word of the others' disks."""
        for each, told in known.items():
            mine, seat = self.known.get(each), self.members.get(each)
            if each == self.me or seat is None or seat.since != told.since:
                continue
            if (
                mine is None
                or mine.since != told.since
                or mine.stamp.identity == told.stamp.identity
                and (told.stamp.generation, told.stamp.count) > (mine.stamp.generation, mine.stamp.count)
            ):
                self.known[each] = told

    # Inputs

    def receive(self, now: float, envelope: Envelope) -> None:
        self._at(now)
        sender, message = envelope.sender, envelope.message
        if self.role is Role.BARRED or sender == self.me:
            return
        # A leader's word needs no look at its disk: a majority that knew it has voted. One that has missed a
        # change of members would never hear of it otherwise, where the leader is one that was added anew.
        if not self._trusted(sender, envelope.stamp) and not isinstance(message, Append | Install | HandOver):
            return
        if isinstance(message, Hello):
            return self._send(sender, Welcome(envelope.stamp.run), False)
        if isinstance(message, Objection):
            # One that has not heard yet that this member was removed and added anew speaks of its former
            # disk. One that has just been added knows no members yet: only who leads it is sure to have heard
            # of that.
            if (
                message.run == self.run
                and message.since == self.stamp().since  # and not of what it said before it knew its seat
                and message.members_at >= self.members_at
                and (self.members or sender == self.leader)
            ):
                self._bar(f"{sender} says: {message.why}")
            return
        if isinstance(message, Welcome):
            if message.run == self.run and sender in self.members:
                self.welcomes.add(sender)
                if sum(self._voter(each) for each in self.welcomes) >= majority(self.members):
                    self._proved()
            return
        if self.role is Role.STARTING:
            return  # nothing is promised before the others have said what they know
        if isinstance(message, AskVote):
            return self._asked(sender, message)
        if message.term > self.term and not (isinstance(message, Vote) and message.pre and message.granted):
            self._follow(message.term)
        if isinstance(message, Vote):
            self._voted(sender, message)
        elif isinstance(message, Append):
            self._append(sender, message)
        elif isinstance(message, Install):
            self._install(sender, message)
        elif isinstance(message, HandOver):
            if (
                message.term == self.term
                and self._voter(self.me)
                and self.role in (Role.FOLLOWER, Role.ASKING)
            ):
                self._campaign(handed=True)
        elif isinstance(message, ReadAsk):
            self._read_asked(sender, message)
        elif isinstance(message, ReadIs):
            self._read_is(message)
        elif isinstance(message, Note):
            if sender in self.members:
                self.out.notes.append((sender, message.body))
        elif self.role is Role.LEADER and message.term == self.term and sender in self.progress:
            self.progress[sender].identity = envelope.stamp.identity
            self._answered(sender, message)

    def tick(self, now: float) -> None:
        self._at(now)
        if self.role is Role.LEADER:
            if now >= self.beat_at:
                if self._quorum_heard():
                    return self._beat()
                self.leader = ""
                self._become(Role.FOLLOWER)
                self._rest()
        elif self.role is Role.STARTING and now >= self.deadline:
            self.deadline = now + self.settings.beat * (1 + self.chance())
            for other in self._others():
                self._send(other, Hello(), False)
        elif self.role in (Role.FOLLOWER, Role.ASKING, Role.CANDIDATE) and now >= self.deadline:
            self._rest()
            if self._voter(self.me):
                self._ask()

    def wake_at(self) -> float:
        """When `tick` has something to do."""
        if self.role is Role.BARRED:
            return float("inf")
        return self.beat_at if self.role is Role.LEADER else self.deadline

    def take(self) -> Ready:
        if self.role is Role.LEADER and self.ask_round:
            self.ask_round = False
            self.round += 1
            for reading in self.reads:
                reading.round = reading.round or (self.round if reading.index >= 0 else 0)
            for other in self.progress:
                self._feed(other, beat=True)
            self._answer_reads()
        ready, self.out = self.out, Ready()
        while self.applied < self.committed:
            self.applied += 1
            ready.entries.append((self.applied, self.log.entry(self.applied)))
        if self.indexed:
            ready.reads += [(token, True) for token, index in self.indexed if index <= self.applied]
            self.indexed = [each for each in self.indexed if each[1] > self.applied]
        return ready

    # Elections ([R] 5.2, 5.4; [T] 9.6)

    def _ask(self) -> None:
        self._become(Role.ASKING)
        self.leader = ""
        self.votes = {self.me}
        if majority(self.members) == 1:
            return self._campaign()
        for other in self._others():
            if self._voter(other):
                self._send(
                    other,
                    AskVote(self.term + 1, self.log.last, self.log.term(self.log.last), pre=True),
                    False,
                )

    def _campaign(self, handed: bool = False) -> None:
        self._become(Role.CANDIDATE)
        self.term, self.vote, self.leader = self.term + 1, self.me, ""
        self._write()
        self.votes, self.vote_at = {self.me}, self.written
        self._rest()
        for other in self._others():
            if self._voter(other):
                self._send(
                    other, AskVote(self.term, self.log.last, self.log.term(self.log.last), handed=handed)
                )

    def _asked(self, sender: str, message: AskVote) -> None:
        if self._led() and not message.handed or not self.members:
            return  # guards against one that is cut off, or removed: it unseats no leader that others hear
        newer = self._as_new(message)
        if message.pre:
            granted = message.term > self.term and newer
            return self._send(sender, Vote(message.term if granted else self.term, granted, True), False)
        if message.term > self.term:
            self._follow(message.term)
        granted = message.term == self.term and newer and self._may_vote(sender)
        if granted and not self.vote:
            self.vote = sender
            self._write()
        if granted:
            self._rest()
        self._send(sender, Vote(self.term, granted))

    def _led(self) -> bool:
        return self.role is Role.LEADER or self.now - self.heard < self.settings.election

    def _as_new(self, message: AskVote) -> bool:
        return (message.last_term, message.last) >= (self.log.term(self.log.last), self.log.last)

    def _may_vote(self, candidate: str) -> bool:
        return self.vote in ("", candidate)

    def _voted(self, sender: str, message: Vote) -> None:
        if not message.granted or not self._voter(sender):
            return
        if message.pre and self.role is Role.ASKING and message.term == self.term + 1:
            self.votes.add(sender)
            if len(self.votes) >= majority(self.members):
                self._campaign()
        elif not message.pre and self.role is Role.CANDIDATE and message.term == self.term:
            self.votes.add(sender)
            self._elected()

    def _elected(self) -> None:
        if len(self.votes) < majority(self.members) or self.vote_at > self.saved:
            return
        self._become(Role.LEADER)
        self.leader = self.me
        self._watch()
        self.own_term_at = self.log.last + 1
        self._add(Entry(self.term))  # [R] 8: only an entry of its own tells it what is committed
        self._beat()

    def _watch(self) -> None:
        """Keeps what is known of each other member, for those that there are now."""
        self.progress = {
            each: self.progress.get(each) or Progress(self.log.last + 1, heard=self.now)
            for each in self._others()
        }

    def _quorum_heard(self) -> bool:
        """[T] 6.2: one that is not heard by a majority must not go on to think that it leads."""
        return sum(
            self._voter(each) and self.now - row.heard < self.settings.election
            for each, row in self.progress.items()
        ) + self._voter(self.me) >= majority(self.members)

    # The log ([R] 5.3, 5.4.2)

    def _add(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        if entry.members is not None:
            self.members, self.members_at = entry.members, self.log.last
            self._watch()
        self._write(self.log.last, [entry])
        for other in self.progress:
            self._feed(other)
        return self.log.last

    def _beat(self) -> None:
        self.beat_at = self.now + self.settings.beat
        if self.handing and self.now >= self.handing[1]:
            self.handing = None  # the other one didn't take it in time: go on
        for other in self.progress:
            self._feed(other, beat=True)

    def _feed(self, other: str, beat: bool = False) -> None:
        """One message under way to each: what gathers meanwhile goes together. An unanswered one is sent
        again after a few beats."""
        row = self.progress[other]
        if row.since is not None and self.now - row.since > 4 * self.settings.beat:
            row.since, row.next = None, row.match + 1
        if row.next <= self.log.base:
            if row.since is None or beat:
                self._feed_snapshot(other, row)
            return
        previous = row.next - 1
        entries = self.log.after(previous, self.settings.batch) if row.since is None else []
        if not entries and not beat:
            return
        if not entries:
            previous = min(previous, max(row.match, self.log.base))
        else:
            row.since, row.next = self.now, row.next + len(entries)
        self._send(
            other,
            Append(
                self.term,
                previous,
                self.log.term(previous),
                entries,
                self.committed,
                self.round,
                self.members[other].since,
                row.identity,
                dict(self.known) if beat else {},
            ),
            False,
        )

    def _feed_snapshot(self, other: str, row: Progress) -> None:
        if row.of != self.snapshot.index:
            row.of, row.at = self.snapshot.index, 0
        data = self.snapshot.data[row.at : row.at + PIECE]
        row.since = self.now
        self._send(
            other,
            Install(
                self.term,
                self.snapshot.index,
                self.snapshot.term,
                self.snapshot.members,
                self.snapshot.members_at,
                row.at,
                data,
                row.at + len(data) >= len(self.snapshot.data),
                self.round,
                self.members[other].since,
                row.identity,
            ),
            False,
        )

    def _append(self, sender: str, message: Append) -> None:
        if message.term < self.term:
            return self._send(sender, Appended(self.term, False, 0, message.round))
        if self.role is Role.LEADER:
            raise Contradiction(f"{self.me} and {sender} both lead term {self.term}")
        self._follow(message.term, sender)
        self._seated(message)
        self._heard_of(message.known)
        previous, entries = message.previous, message.entries
        if previous < self.log.base:  # what the snapshot stands for is committed, and so the same
            entries, previous = entries[self.log.base - previous :], self.log.base
        elif self.log.term(previous) != message.previous_term:
            return self._send(sender, Appended(self.term, False, self._back(previous), message.round))
        index = previous + len(entries)
        for at, entry in enumerate(entries, previous + 1):
            if self._differs(at, entry):
                if at <= self.committed:
                    raise Contradiction(f"{self.me}: entry {at} is committed, and {sender} has another")
                self.log.replace(at, entries := entries[at - previous - 1 :])
                self.members, self.members_at = self._members()
                self._write(at, entries)
                break
        self._advance(min(message.committed, index))
        self._send(sender, Appended(self.term, True, index, message.round))

    def _differs(self, index: int, entry: Entry) -> bool:
        return self.log.term(index) != entry.term

    def _seated(self, message: Append | Install) -> None:
        """A disk that joins is made for the seat that the leader first names; what it then reads in the log
        of a former member of its name is not about it, nor is what was sent to that one and comes late."""
        if self.seat < 0 <= message.seat and message.identity == self.identity:
            self.seat = message.seat
            self._write()

    def _back(self, previous: int) -> int:
        """Where the leader should try next: before all entries of the term that didn't fit ([R] 5.3)."""
        if previous > self.log.last:
            return self.log.last
        term, index = self.log.term(previous), previous
        while index > max(self.committed, self.log.base) and self.log.term(index) == term:
            index -= 1
        return index

    def _answered(self, sender: str, message: Appended | Installed) -> None:
        row = self.progress[sender]
        row.heard, row.round = self.now, max(row.round, message.round)
        if isinstance(message, Installed):
            if message.index == row.of and message.at > row.at or message.at == 0:
                row.at, row.since = message.at, None
        elif message.agreed:
            row.match = max(row.match, message.index)
            row.next = max(row.next, row.match + 1)
            if row.match >= row.next - 1:
                row.since = None
            elif (
                row.since is None
            ):  # nothing is under way, and it has less: one that is new while nobody writes
                row.next = row.match + 1
            self._commit()
            self._promote(sender, row)
        elif message.index >= row.match:  # an older answer may come late
            row.next, row.since = min(row.next, message.index + 1), None
        self._answer_reads()
        if self.role is Role.LEADER and sender in self.progress:
            self._feed(sender)
            self._hand(sender)

    def _commit(self) -> None:
        """[R] 5.4.2: only an entry of this term is committed by counting; what is before it goes with it."""
        matches = sorted(
            (
                self.stable if each == self.me else self.progress[each].match
                for each in self.members
                if self._voter(each)
            ),
            reverse=True,
        )
        index = matches[self._needed() - 1]
        if index > self.committed and self._counts(index):
            self._advance(index)
            if self.members_at <= self.committed and self.me not in self.members:
                self.leader = ""
                self._become(Role.FOLLOWER)  # removed: the others choose another
                return self._rest()
            self._answer_reads()

    def _needed(self) -> int:
        return majority(self.members)

    def _counts(self, index: int) -> bool:
        return self.log.term(index) == self.term

    def _advance(self, index: int) -> None:
        if index <= self.committed:
            return
        before, self.committed = self.committed, index
        if before < self.members_at <= index:
            self._forget()

    def _forget(self) -> None:
        """One that was removed may be added anew with another disk; what its former one said may still
        come."""
        for each, known in list(self.known.items()):
            if each not in self.members or self.members[each].since != known.since:
                self.retired[each] = self.known.pop(each).stamp.identity
        while len(self.retired) > RETIRED_MOST:
            del self.retired[next(iter(self.retired))]

    # Reads ([T] 6.4)

    def read(self, now: float, token: int) -> None:
        """Told by `Ready.reads` once all that was committed before this call is applied. A follower asks its
        leader ([T] 6.4). Raises `Refused`."""
        self._at(now)
        if self.role is Role.LEADER:
            self.reads.append(Reading(token))
            self._index_reads()
        elif self.role is Role.FOLLOWER and self.leader and len(self.asked) < READS_MOST:
            self.asked.add(token)
            self._send(self.leader, ReadAsk(self.term, self.run, token), False)
        else:
            raise Refused("it does not lead, and knows of nobody who does")

    def left(self, token: int) -> None:
        """Nobody waits for this read any more."""
        self.asked.discard(token)
        self.reads = [each for each in self.reads if each.token != token or each.of is not None]
        self.indexed = [each for each in self.indexed if each[0] != token]

    def note(self, now: float, to: str, body: bytes) -> None:
        """Carried to another member's host."""
        self._at(now)
        if self.role is not Role.BARRED:
            self._send(to, Note(self.term, body), False)

    def _read_asked(self, sender: str, message: ReadAsk) -> None:
        if self.role is Role.LEADER and len(self.reads) < READS_MOST and sender in self.members:
            self.reads.append(Reading(message.token, (sender, message.run)))
            self._index_reads()
        else:
            self._send(sender, ReadIs(self.term, message.run, message.token, 0, False), False)

    def _read_is(self, message: ReadIs) -> None:
        """Of an earlier run of this process, a token says nothing of a read of this one."""
        if message.run == self.run and message.token in self.asked:
            self.asked.discard(message.token)
            if message.led:
                self.indexed.append((message.token, message.index))
            else:
                self.out.reads.append((message.token, False))

    def _index_reads(self) -> None:
        if self.committed >= self.own_term_at:
            for reading in self.reads:
                if reading.index < 0:
                    reading.index, self.ask_round = self.committed, True

    def _answer_reads(self) -> None:
        if self.role is not Role.LEADER or not self.reads:
            return
        self._index_reads()
        rounds = sorted(
            (
                self.round if each == self.me else self.progress[each].round
                for each in self.members
                if self._voter(each)
            ),
            reverse=True,
        )
        answered = rounds[majority(self.members) - 1]
        done = [each for each in self.reads if self._read_holds(each, answered)]
        self.reads = [each for each in self.reads if each not in done]
        for each in done:
            self._read_told(each, True)

    def _read_told(self, reading: Reading, led: bool) -> None:
        if reading.of is None:
            self.out.reads.append((reading.token, led))
        else:
            other, run = reading.of
            self._send(other, ReadIs(self.term, run, reading.token, max(0, reading.index), led), False)

    def _read_holds(self, reading: Reading, answered: int) -> bool:
        return 0 < reading.round <= answered

    # What is asked of it

    def propose(self, now: float, body: bytes) -> tuple[int, int]:
        """Index and term of a new entry. It counts once it comes out of `take` with that term. Raises
        `Refused`."""
        self._at(now)
        self._may_add()
        return self._add(Entry(self.term, body)), self.term

    def _may_add(self) -> None:
        if self.role is not Role.LEADER:
            raise Refused("it does not lead")
        if self.handing:
            raise Refused(f"it hands over to {self.handing[0]}")
        if self.log.last - self.committed >= self.settings.waiting_most:
            raise Refused(f"{self.log.last - self.committed} entries wait already")

    def change(self, now: float, member: str, address: str | None) -> tuple[int, int]:
        """Adds a member, which votes once it has caught up, or removes one (`address` None). Raises
        `Refused`."""
        self._at(now)
        self._may_add()
        if self._changing():
            raise Refused("a change of members is under way, or it has just been elected: try again")
        members = dict(self.members)
        if address is None:
            if member not in members:
                raise Refused(f"{member!r} is no member")
            del members[member]
            if not any(seat.voter for seat in members.values()):
                raise Refused(f"{member!r} is the last that votes")
        else:
            if member in members:
                raise Refused(f"{member!r} is a member already")
            members[member] = Seat(address, False, self.log.last + 1)
        return self._add(Entry(self.term, members=members)), self.term

    def _changing(self) -> bool:
        """[T] 4.1, and its correction: one change at a time, and none before an entry of its own is
        committed."""
        return max(self.members_at, self.own_term_at) > self.committed

    def _promote(self, sender: str, row: Progress) -> None:
        if (
            sender in self.members
            and not self._voter(sender)
            and not self._changing()
            and row.match >= self.committed
        ):
            seat = self.members[sender]
            self._add(Entry(self.term, members=self.members | {sender: Seat(seat.address, True, seat.since)}))

    def hand_over(self, now: float, to: str) -> None:
        """Raises `Refused`. The other one is elected, or this one goes on after an election time."""
        self._at(now)
        self._may_add()
        if not self._voter(to) or to == self.me:
            raise Refused(f"{to!r} is no other member that votes")
        self.handing = (to, now + self.settings.election)
        self._hand(to)

    def heir(self) -> str:
        """Whom one that leads would best hand over to: the voter that has most. "" where there is none."""
        voters = [(row.match, each) for each, row in self.progress.items() if self._voter(each)]
        return max(voters)[1] if self.role is Role.LEADER and voters else ""

    def _hand(self, to: str) -> None:
        if self.handing and self.handing[0] == to and self.progress[to].match == self.log.last:
            self._send(to, HandOver(self.term), False)

    # Snapshots ([R] 7)

    def compact(self, now: float, index: int, data: bytes) -> None:
        """`data` stands for all entries up to `index`, which were taken; the log before it goes."""
        self._at(now)
        if not self.snapshot.index < index <= min(self.applied, self.stable):
            return
        members, members_at = self._members(index)
        self.snapshot = Snapshot(index, self.log.term(index), members, members_at, data)
        self.log.drop_to(index, self.snapshot.term)
        self._write(snapshot=self.snapshot)

    def _install(self, sender: str, message: Install) -> None:
        if message.term < self.term:
            return self._send(sender, Installed(self.term, 0, 0, message.round))
        self._follow(message.term, sender)
        self._seated(message)
        if message.index <= self.committed:
            self.coming = None
            return self._send(sender, Appended(self.term, True, self.committed, message.round))
        if self.coming is None or self.coming[:2] != (message.index, message.index_term):
            self.coming = (message.index, message.index_term, bytearray())
        data = self.coming[2]
        if message.at == len(data):
            data += message.data
            if message.whole:
                self._installed(
                    Snapshot(
                        message.index, message.index_term, message.members, message.members_at, bytes(data)
                    )
                )
                return self._send(sender, Appended(self.term, True, message.index, message.round))
        self._send(sender, Installed(self.term, message.index, len(data), message.round))

    def _keeps(self, snapshot: Snapshot) -> bool:
        """What follows a snapshot in the log stays only where the log is the leader's up to there ([R] 7)."""
        return self.log.term(snapshot.index) == snapshot.term

    def _installed(self, snapshot: Snapshot) -> None:
        self.coming, kept = None, self._keeps(snapshot)
        self.snapshot = snapshot
        if kept:
            self.log.drop_to(snapshot.index, snapshot.term)
        else:
            self.log = Log(snapshot.index, snapshot.term, [])
            self.pending = []
        self.stable = max(self.stable if kept else 0, snapshot.index)
        self.committed = self.applied = snapshot.index
        self.members, self.members_at = self._members()
        self._forget()
        self._write(snapshot=snapshot, kept=kept)
        self.out.restored = snapshot
