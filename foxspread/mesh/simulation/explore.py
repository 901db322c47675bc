"""All orders of the messages of small cases, one by one: any message in flight may come next, any proposer
may begin or begin anew, a machine may crash or be wiped while there is one left to spend. States that
were seen are not gone into again.

A write is on disk before its answer exists. That loses no order: power lost before the write is the message
that never came, power lost between write and answer is an answer that never comes.
"""

from collections.abc import Iterator
from copy import copy as shallow_copy
from dataclasses import dataclass, field, replace
from functools import lru_cache
from hashlib import blake2b
from itertools import combinations
from typing import Any

import orjson

from foxspread.mesh.configuration.items import OPERATOR_KINDS, Item, Key
from foxspread.mesh.errors import Failure, InvariantViolation
from foxspread.mesh.replication.acceptor import MEMBERS_KEY, Acceptor, Learned, Response
from foxspread.mesh.replication.learner import Learner, unpack_row
from foxspread.mesh.replication.messages import (
    Accept,
    Accepted,
    Behind,
    Enroll,
    Enrolled,
    Message,
    Nack,
    Prepare,
    Promise,
    ProposerReply,
    decode,
)
from foxspread.mesh.replication.proposer import Proposer, ProposerOutput
from foxspread.mesh.replication.stored_state import DeleteRows, PutRows, RecoveredState, SetMeta, Write
from foxspread.mesh.simulation.machines import Cores

NEVER = 1e9
Action = tuple  # what is done, and with what


@dataclass(frozen=True)
class Case:
    members: tuple[str, ...] = ("a", "b", "c")
    calls: tuple[tuple[str, Item], ...] = ()  # by whom
    starts: int = 1  # ballots of each proposer
    starts_of: tuple[tuple[str, int], ...] = ()  # of those that have another number of them
    crashes: int = 0
    wipes: int = 0
    may_crash: tuple[str, ...] | None = None  # None: any member
    may_wipe: tuple[str, ...] | None = None
    news: bool = False  # settled sets spread otherwise as well
    standbys: tuple[str, ...] = ()  # machines with a disk that are no members
    prompt: bool = False  # an answer comes at once or never: what asks and what is asked may still be late
    answered: bool = False  # whatever comes is answered; what never comes is lost


@dataclass
class Table:
    """A state: acceptors, proposers, what is on disk and what is in flight."""

    case: Case
    cores: Cores
    disks: dict[str, dict] = field(default_factory=dict)
    acceptors: dict[str, Acceptor] = field(default_factory=dict)
    proposers: dict[str, Any] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    flying: list[tuple[str, str, bytes]] = field(default_factory=list)
    told: list[tuple[Item, bool]] = field(default_factory=list)
    shown: dict[tuple[Key, int], bytes] = field(default_factory=dict)
    committed: dict[tuple[Key, int], Item] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    crashes: int = 0
    wipes: int = 0
    keys: dict[str, bytes] = field(default_factory=dict)  # of the machines as they are
    deaf: bool = False  # what is sent now is lost

    @classmethod
    def laid(cls, case: Case, cores: Cores = Cores()) -> "Table":
        table = cls(case, cores, crashes=case.crashes, wipes=case.wipes)
        for name in sorted({*case.members, *case.standbys, *(name for name, _ in case.calls)}):
            table.lives[name], table.starts[name] = 0, dict(case.starts_of).get(name, case.starts)
            voting = name in case.members or name in case.standbys
            saved = RecoveredState((0, name), case.members, voting=voting, members_confirmed=True)
            table._begin(name, saved)
        for name, item in case.calls:
            proposer = table.proposers[name]
            proposer.next_attempt_at = NEVER
            proposer.submit(0.0, item, [item], NEVER)
        return table

    def _begin(self, name: str, saved: RecoveredState | None = None) -> None:
        if saved is not None:
            self.disks[name] = {"meta": {}, "items": {}}
        else:
            there = self.disks[name]
            meta = {k: orjson.loads(v) for k, v in there["meta"].items()}
            saved = RecoveredState.from_stored(meta, [orjson.loads(v) for v in there["items"].values()])
        acceptor = self.acceptors[name] = self.cores.acceptor(name, saved)
        self._write(name, acceptor.initial_writes())
        self.proposers[name] = self.cores.proposer(acceptor, f"{name}.{self.lives[name]}", _middle)

    def copied(self) -> "Table":
        """One that may go another way; machines are shared until they are touched."""
        new = shallow_copy(self)
        for name in ("disks", "acceptors", "proposers", "lives", "starts", "shown", "committed", "keys"):
            setattr(new, name, dict(getattr(self, name)))
        new.flying, new.told, new.faults = list(self.flying), list(self.told), list(self.faults)
        return new

    def _touch(self, name: str) -> None:
        if self.keys.pop(name, None) is not None:
            there = self.disks[name]
            self.disks[name] = {"meta": dict(there["meta"]), "items": dict(there["items"])}
            self.acceptors[name] = _cloned(self.acceptors[name])
            self.proposers[name] = _cloned(self.proposers[name])
            self.proposers[name].acceptor = self.acceptors[name]

    # What may come next.

    def actions(self) -> Iterator[Action]:
        for number, each in enumerate(self.flying):
            if each not in self.flying[:number]:
                yield "deliver", number
                if self.case.prompt and not self.case.answered:
                    yield "unanswered", number
        for name, proposer in self.proposers.items():
            if self.starts[name] and (proposer.waiting or proposer.running or proposer.proposal_number):
                yield "start", name
        if self.crashes:
            yield from (("crash", name) for name in self.case.may_crash or self.case.members)
        if self.wipes and all(self.acceptors[name].voting for name in self.case.members):
            yield from (("wipe", name) for name in self.case.may_wipe or self.case.members)
        if self.case.news:
            for one, there in self.acceptors.items():
                for other, here in self.acceptors.items():
                    if there.learner.committed_number > here.learner.committed_number and here.serves:
                        yield "news", one, other

    def do(self, action: Action) -> None:
        try:
            getattr(self, action[0])(*action[1:])
        except InvariantViolation as error:
            self.faults.append(str(error))
        self._judge()

    def deliver(self, number: int) -> None:
        sender, to, packed = self.flying.pop(number)
        self._hear(sender, to, loads(packed))

    def unanswered(self, number: int) -> None:
        """It comes, and the answer never does."""
        before = list(self.flying)
        del before[number]
        self.deaf = True
        self.deliver(number)
        self.deaf = False
        self.flying = before

    def passed(self, sender: str, to: str, kind: str, newest: bool = False) -> None:
        """The first such message in flight comes, or the last."""
        there = [
            number
            for number, each in enumerate(self.flying)
            if each[:2] == (sender, to) and loads(each[2]).kind == kind
        ]
        self.do(("deliver", there[-1 if newest else 0]))

    def start(self, name: str) -> None:
        """A ballot, or another in place of one that is under way."""
        self._touch(name)
        proposer = self.proposers[name]
        proposer.next_attempt_at, proposer.phase_deadline = 0.0, 0.0
        self.starts[name] -= 1
        self._do(name, proposer.tick(0.0))

    def crash(self, name: str) -> None:
        self.crashes -= 1
        self._end(name)
        self._begin(name)

    def wipe(self, name: str) -> None:
        self.wipes -= 1
        self._end(name)
        self._begin(name, RecoveredState((1, f"{name}{self.lives[name]}"), self.case.members))
        self.enrol(name)

    def enrol(self, name: str) -> None:
        for member in self.case.members:
            if member != name:
                self._send(name, member, Enroll(self.acceptors[name].disk))

    def news(self, one: str, other: str) -> None:
        self._touch(other)
        there, here = self.acceptors[one].learner, self.acceptors[other]
        learned = here.commit(there.committed_number) or here.learn(
            there.committed_number, there.changed_since(here.learner.committed_number)
        )
        self._take_learned(other, learned)

    def _end(self, name: str) -> None:
        self._touch(name)
        self.lives[name] += 1
        self.starts[name] = 0
        self.flying = [each for each in self.flying if each[1] != name]

    # As replica does it.

    def _hear(self, sender: str, to: str, message: Message) -> None:
        self._touch(to)
        acceptor = self.acceptors[to]
        match message:
            case Prepare():
                self._respond(to, sender, acceptor.prepare(message))
            case Accept():
                self._respond(to, sender, acceptor.accept(message))
            case Enroll():
                self._respond(to, sender, acceptor.enroll(sender, message))
            case Enrolled():
                if (learned := acceptor.take_enrolled(sender, message)) is not None:
                    self._take_learned(to, learned)
                    if not acceptor.members_confirmed:
                        self.enrol(to)
            case _:
                self._do(to, self.proposers[to].receive(0.0, sender, message))

    def _take_learned(self, me: str, learned: Learned) -> None:
        self._write(me, learned.writes)
        self._show(learned.new_items)

    def _respond(self, me: str, to: str, response: Response) -> None:
        self._write(me, response.writes)
        self._show(response.new_items)
        if response.reply is not None:
            self._send(me, to, response.reply)

    def _do(self, me: str, out: ProposerOutput) -> None:
        self._write(me, out.writes)
        self._show(out.new_items)
        for to, message in out.sends:
            self._send(me, to, message)
        for item, outcome in out.completed:
            if not isinstance(outcome, Failure) or outcome.status < 500:
                self.told.append((item, outcome is True))
        if (proposer := self.proposers[me]).proposal_number is None:
            proposer.next_attempt_at = NEVER

    def _send(self, me: str, to: str, message: Message) -> None:
        if me == to:
            self._hear(me, to, message)
        elif self.case.prompt and isinstance(message, ProposerReply):
            if not self.deaf:
                self._hear(me, to, loads(orjson.dumps(message.packed())))
        else:
            self.flying.append((me, to, orjson.dumps(message.packed())))

    def _write(self, name: str, writes: list[Write]) -> None:
        there = self.disks[name]
        for write in writes:
            match write:
                case SetMeta(meta_name, value):
                    there["meta"][meta_name] = orjson.dumps(value)
                case PutRows(rows):
                    there["items"].update({(row[0], row[1]): orjson.dumps(row) for row in rows})
                case DeleteRows(keys):
                    for key in keys:
                        there["items"].pop(key, None)

    # What must hold.

    def _show(self, new: list[Item]) -> None:
        for item in new:
            content = orjson.dumps(item.content)
            self.committed.setdefault((item.key, item.version), item)
            if self.shown.setdefault((item.key, item.version), content) != content:
                self.faults.append(f"two contents of {item.name}@r{item.version} were shown")

    def _judge(self) -> None:
        for (key, version), item in self.committed.items():
            if key == MEMBERS_KEY and version > 1 and (key, version - 1) not in self.committed:
                self.faults.append(f"members@r{version} was in force before members@r{version - 1}")
        confirmed: dict[tuple[Key, int], Item] = {}
        for item, taken in self.told:
            if taken and confirmed.setdefault((item.key, item.version), item) != item:
                self.faults.append(f"two contents of {item.kind} {item.name}@r{item.version} were confirmed")
            if (
                item.kind not in OPERATOR_KINDS
            ):  # by compare and set: one that has come about is refused again
                continue
            if taken and (item, False) in self.told:
                self.faults.append(f"{item.name}@r{item.version} was taken and was refused")
            is_shown = self.shown.get((item.key, item.version)) == orjson.dumps(item.content)
            if taken and not is_shown and not self._overtaken(item):
                self.faults.append(f"{item.name}@r{item.version} was acknowledged and another holds")
            if not taken and is_shown:
                self.faults.append(f"{item.name}@r{item.version} was refused and is in force")
        sets = [item for item in self.committed.values() if item.key == MEMBERS_KEY]
        of = max(sets, key=lambda item: item.version).content["of"] if sets else self.case.members
        voting = [name for name in of if self.acceptors[name].voting]
        for some in combinations(voting, len(of) // 2 + 1):
            held = read_from([self.acceptors[name] for name in some])
            for (key, version), content in self.shown.items():
                item = held.get(key)
                if item is None or (item.version, orjson.dumps(item.content)) < (version, b""):
                    self.faults.append(f"{key[1]}@r{version} was in force and {some} know nothing of it")
                elif item.version == version and orjson.dumps(item.content) != content:
                    self.faults.append(f"{some} would settle another content of {key[1]}@r{version}")

    def _overtaken(self, item: Item) -> bool:
        """A newer one is in force, and no other content was under this number."""
        newer = any(key == item.key and version > item.version for key, version in self.shown)
        return newer and (item.key, item.version) not in self.shown

    # States.

    def prune(self) -> None:
        """Without what comes to nothing: answers to ballots that are over."""
        self.flying = sorted(each for each in self.flying if not self._comes_to_nothing(*each))

    def _comes_to_nothing(self, sender: str, to: str, packed: bytes) -> bool:
        message, receiver = loads(packed), self.proposers[to]
        match message:
            case Promise() | Accepted() | Behind() | Nack():
                if receiver.proposal_number is None or message.proposal_number != receiver.proposal_number:
                    return True
                first_phase = receiver.proposed_delta is None
                return isinstance(message, Promise) and (not first_phase or sender in receiver.promises)
            case Enrolled():
                return self.acceptors[to].members_confirmed
            case Prepare() | Accept() if self.case.prompt:
                number = message.proposal_number
                if isinstance(message, Prepare) and self.proposers[sender].proposal_number != number:
                    return True  # it would only keep others from being heard
                # Refused, it would only end an attempt, as never coming does.
                return number < self.acceptors[to].promised and not self.starts[sender]
        return False

    def key(self) -> bytes:
        rows: list[Any] = [self.flying, self.starts, self.crashes, self.wipes, sorted(self.shown.items())]
        rows.append([(item.name, item.version, taken) for item, taken in self.told])
        for name in sorted(self.acceptors):
            if name not in self.keys:
                self.keys[name] = _key(self.acceptors[name], self.proposers[name])
            rows.append(self.keys[name])
        return blake2b(repr(rows).encode(), digest_size=16).digest()


def _key(acceptor: Acceptor, proposer: Proposer) -> bytes:
    learner = acceptor.learner
    rows = (
        (
            acceptor.disk,
            acceptor.voting,
            acceptor.promised,
            acceptor.accepted,
            sorted(acceptor.disks.items()),
        ),
        sorted((item.key, item.version, str(item.content)) for item in acceptor.delta.values()),
        (
            learner.committed_number,
            sorted(learner.changed_at.items()),
            sorted(map(str, learner.items.values())),
        ),
        sorted(map(str, acceptor.enrolment_replies.items())),
        (
            proposer.incarnation,
            proposer.highest_seen,
            proposer.proposal_number,
            len(proposer.waiting),
            len(proposer.running),
        ),
        (sorted(map(str, proposer.promises.items())), str(sorted(proposer.acceptances))),
        sorted(map(str, (proposer.proposed_delta or {}).values())),
    )
    return repr(rows).encode()


def _cloned(thing: Any) -> Any:
    """Its own containers; what they hold is never changed, but for calls."""
    new = shallow_copy(thing)
    for name, value in vars(thing).items():
        if isinstance(value, dict | list | set):
            vars(new)[name] = shallow_copy(value)
        elif isinstance(value, Learner):
            vars(new)[name] = _cloned(value)
    for name in ("waiting", "running"):
        if name in vars(new):
            vars(new)[name] = [replace(call) for call in vars(new)[name]]
    return new


@lru_cache(1 << 16)
def loads(packed: bytes) -> Message:
    """The message that these bytes are."""
    return decode(orjson.loads(packed))


def _middle() -> float:
    return 0.5


def read_from(acceptors: list[Acceptor]) -> dict[Key, Item]:
    """What a proposer that heard exactly these would take for the value."""
    newest = max(acceptors, key=lambda each: each.learner.committed_number)
    last = max(acceptors, key=lambda each: each.accepted)
    held = dict(newest.learner.items)
    if last.accepted > newest.learner.committed_number:
        held.update(last.delta)
    return held


@dataclass
class Found:
    states: int
    steps: int
    ended: bool  # all states were seen
    faults: list[str]
    way: list[str]  # the actions to the first fault


def explore(case: Case, cores: Cores = Cores(), most: int = 1_000_000) -> Found:
    first = Table.laid(case, cores)
    seen, steps = {first.key()}, 0
    waiting: list[tuple[Table, tuple]] = [(first, ())]
    while waiting:
        last, way = waiting.pop()
        for action in last.actions():
            table = last.copied()
            said = _said(table, action)
            table.do(action)
            steps += 1
            if table.faults:
                return Found(len(seen), steps, False, table.faults, [*_unrolled(way), said])
            table.prune()
            if (key := table.key()) not in seen:
                if len(seen) >= most:
                    return Found(len(seen), steps, False, [], [])
                seen.add(key)
                waiting.append((table, (way, said)))
    return Found(len(seen), steps, True, [], [])


def _unrolled(way: tuple) -> list[str]:
    rows = []
    while way:
        way, said = way
        rows.append(said)
    return rows[::-1]


def _said(table: Table, action: Action) -> str:
    if action[0] != "deliver":
        return " ".join(map(str, action))
    sender, to, packed = table.flying[action[1]]
    message = loads(packed)
    is_enrolment = isinstance(message, Enroll | Enrolled)
    number = list(message.disk if is_enrolment else message.proposal_number)
    items = [item for item, _ in map(unpack_row, getattr(message, "rows", None) or ())]
    items += getattr(message, "delta", ())
    named = [f"{item.name}@r{item.version}" for item in items]
    return " ".join([sender, ">", to, message.kind, str(number), *named])
