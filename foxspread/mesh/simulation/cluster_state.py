"""One state of a small cluster in the exhaustive exploration: acceptors, proposers, their storage and the
messages in flight, with the actions that lead from it to other states.

Every write is stored before its reply is sent. No order is missed by that: a power loss before the write
equals a message that never arrives, and one between write and reply equals a reply that never arrives.
"""

from collections.abc import Iterator
from copy import copy as shallow_copy
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any, NamedTuple

import orjson

from foxspread.mesh.configuration.items import Item, Key
from foxspread.mesh.errors import Failure, InvariantViolation
from foxspread.mesh.replication.acceptor import Acceptor, LearnResult, Response
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
from foxspread.mesh.simulation.actions import Action, Crash, Deliver, Gossip, StartAttempt, Wipe
from foxspread.mesh.simulation.machines import ProtocolClasses
from foxspread.mesh.simulation.state_invariants import find_violations
from foxspread.mesh.simulation.state_key import clone_protocol_object, machine_key, state_digest

NEVER = 1e9  # a time that is never reached: attempts start only by an action


@dataclass(frozen=True)
class Case:
    """Cluster, calls and bounds of an exploration."""

    members: tuple[str, ...] = ("a", "b", "c")
    calls: tuple[tuple[str, Item], ...] = ()  # proposer and item of each
    attempts: int = 1  # attempts of each proposer
    attempts_by_proposer: tuple[tuple[str, int], ...] = ()  # proposers with another number of attempts
    crashes: int = 0
    wipes: int = 0
    may_crash: tuple[str, ...] | None = None  # machines that may crash; None: any member
    may_wipe: tuple[str, ...] | None = None
    gossip: bool = False  # True if committed sets spread by gossip too
    standbys: tuple[str, ...] = ()  # machines with storage that are not members
    immediate_replies: bool = False  # replies arrive at once or never; requests may be late
    always_replied: bool = False  # with immediate replies: no reply is lost


class InFlight(NamedTuple):
    """A message in flight, serialised."""

    sender: str
    to: str
    packed: bytes


class Answer(NamedTuple):
    """A definite answer to a call."""

    item: Item
    accepted: bool


class StoredData:
    """Storage of one machine, which syncs every write at once."""

    def __init__(self) -> None:
        self.meta: dict[str, bytes] = {}
        self.items: dict[tuple[str, str], bytes] = {}

    def clone(self) -> "StoredData":
        """Returns storage with the same content."""
        clone = StoredData()
        clone.meta, clone.items = dict(self.meta), dict(self.items)
        return clone

    def recovered(self) -> RecoveredState:
        """Returns the state that a start finds."""
        meta = {name: orjson.loads(body) for name, body in self.meta.items()}
        return RecoveredState.from_stored(meta, [orjson.loads(body) for body in self.items.values()])

    def apply(self, writes: list[Write]) -> None:
        """Writes and syncs."""
        for write in writes:
            match write:
                case SetMeta(name, value):
                    self.meta[name] = orjson.dumps(value)
                case PutRows(rows):
                    self.items.update({(row[0], row[1]): orjson.dumps(row) for row in rows})
                case DeleteRows(keys):
                    for key in keys:
                        self.items.pop(key, None)


@dataclass
class ClusterState:
    """A state of the cluster, with the answers and commits that led to it."""

    case: Case
    classes: ProtocolClasses
    storage: dict[str, StoredData] = field(default_factory=dict)
    acceptors: dict[str, Acceptor] = field(default_factory=dict)
    proposers: dict[str, Proposer] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    attempts_left: dict[str, int] = field(default_factory=dict)
    in_flight: list[InFlight] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    contents_in_force: dict[tuple[Key, int], bytes] = field(default_factory=dict)  # serialised
    committed: dict[tuple[Key, int], Item] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    crashes_left: int = 0
    wipes_left: int = 0
    machine_keys: dict[str, bytes] = field(default_factory=dict)  # of machines not changed since `clone`
    drops_replies: bool = False  # True if replies that are sent now are lost

    @classmethod
    def create(cls, case: Case, classes: ProtocolClasses = ProtocolClasses()) -> "ClusterState":
        """Returns the initial state: all members vote, all calls are submitted, and nothing is in flight."""
        state = cls(case, classes, crashes_left=case.crashes, wipes_left=case.wipes)
        for name in sorted({*case.members, *case.standbys, *(name for name, _ in case.calls)}):
            state.incarnations[name] = 0
            state.attempts_left[name] = dict(case.attempts_by_proposer).get(name, case.attempts)
            voting = name in case.members or name in case.standbys
            recovered = RecoveredState((0, name), case.members, voting=voting, members_confirmed=True)
            state._start_machine(name, recovered)
        for name, item in case.calls:
            proposer = state.proposers[name]
            proposer.next_attempt_at = NEVER
            proposer.submit(0.0, item, [item], NEVER)
        return state

    def _start_machine(self, name: str, recovered: RecoveredState | None = None) -> None:
        """Starts a machine with `recovered` on new storage or, by default, from its present storage."""
        if recovered is not None:
            self.storage[name] = StoredData()
        else:
            recovered = self.storage[name].recovered()
        acceptor = self.acceptors[name] = self.classes.acceptor(name, recovered)
        self.storage[name].apply(acceptor.initial_writes())
        self.proposers[name] = self.classes.proposer(
            acceptor, f"{name}.{self.incarnations[name]}", _fixed_random
        )

    def clone(self) -> "ClusterState":
        """Returns a copy that can take other actions; machines are shared until an action changes them."""
        new = shallow_copy(self)
        for name, value in vars(self).items():
            if isinstance(value, dict | list):
                setattr(new, name, shallow_copy(value))
        return new

    def _make_private_copy(self, name: str) -> None:
        """Replaces a machine that is shared with other states by a copy; called before every change."""
        if self.machine_keys.pop(name, None) is not None:
            self.storage[name] = self.storage[name].clone()
            self.acceptors[name] = clone_protocol_object(self.acceptors[name])
            self.proposers[name] = clone_protocol_object(self.proposers[name])
            self.proposers[name].acceptor = self.acceptors[name]

    # Actions.

    def actions(self) -> Iterator[Action]:
        """Yields all actions that are possible in this state."""
        case = self.case
        for index, each in enumerate(self.in_flight):
            if each not in self.in_flight[:index]:
                yield Deliver(index)
                if case.immediate_replies and not case.always_replied:
                    yield Deliver(index, replied=False)
        for name, proposer in self.proposers.items():
            if self.attempts_left[name] and (
                proposer.waiting or proposer.running or proposer.proposal_number
            ):
                yield StartAttempt(name)
        if self.crashes_left:
            yield from (Crash(name) for name in case.may_crash or case.members)
        if self.wipes_left and all(self.acceptors[name].voting for name in case.members):
            yield from (Wipe(name) for name in case.may_wipe or case.members)
        if case.gossip:
            yield from self._gossip_actions()

    def _gossip_actions(self) -> Iterator[Action]:
        for source, ahead in self.acceptors.items():
            for target, behind in self.acceptors.items():
                if ahead.learner.committed_number > behind.learner.committed_number and behind.can_serve:
                    yield Gossip(source, target)

    def apply(self, action: Action) -> None:
        """Takes an action, and checks the invariants of the resulting state."""
        try:
            match action:
                case Deliver(index, True):
                    self._deliver(index)
                case Deliver(index, False):
                    self._deliver_without_reply(index)
                case StartAttempt(name):
                    self._start_attempt(name)
                case Crash(name):
                    self._crash(name)
                case Wipe(name):
                    self._wipe(name)
                case Gossip(source, target):
                    self._gossip(source, target)
        except InvariantViolation as error:
            self.violations.append(str(error))
        self.violations += find_violations(self)

    def deliver_message(self, sender: str, to: str, kind: str, newest: bool = False) -> None:
        """Delivers the first message of a kind in flight between two machines, or the `newest` one."""
        indexes = [
            index
            for index, each in enumerate(self.in_flight)
            if each[:2] == (sender, to) and decode_message(each.packed).kind == kind
        ]
        self.apply(Deliver(indexes[-1 if newest else 0]))

    def _deliver(self, index: int) -> None:
        sender, to, packed = self.in_flight.pop(index)
        self._receive(sender, to, decode_message(packed))

    def _deliver_without_reply(self, index: int) -> None:
        before = list(self.in_flight)
        del before[index]
        self.drops_replies = True
        self._deliver(index)
        self.drops_replies = False
        self.in_flight = before

    def _start_attempt(self, name: str) -> None:
        self._make_private_copy(name)
        proposer = self.proposers[name]
        proposer.next_attempt_at, proposer.phase_deadline = 0.0, 0.0
        self.attempts_left[name] -= 1
        self._execute(name, proposer.tick(0.0))

    def _crash(self, name: str) -> None:
        self.crashes_left -= 1
        self._stop_machine(name)
        self._start_machine(name)

    def _wipe(self, name: str) -> None:
        self.wipes_left -= 1
        self._stop_machine(name)
        self._start_machine(name, RecoveredState((1, f"{name}{self.incarnations[name]}"), self.case.members))
        self._enroll(name)

    def _enroll(self, name: str) -> None:
        for member in self.case.members:
            if member != name:
                self._send(name, member, Enroll(self.acceptors[name].disk))

    def _gossip(self, source: str, target: str) -> None:
        self._make_private_copy(target)
        ahead, behind = self.acceptors[source].learner, self.acceptors[target]
        learned = behind.commit(ahead.committed_number) or behind.learn(
            ahead.committed_number, ahead.changed_since(behind.learner.committed_number)
        )
        self._apply_learned(target, learned)

    def _stop_machine(self, name: str) -> None:
        self._make_private_copy(name)
        self.incarnations[name] += 1
        self.attempts_left[name] = 0
        self.in_flight = [each for each in self.in_flight if each.to != name]

    # Handling of messages and outputs, as in `Replica`.

    def _receive(self, sender: str, to: str, message: Message) -> None:
        self._make_private_copy(to)
        acceptor = self.acceptors[to]
        match message:
            case Prepare():
                self._respond(to, sender, acceptor.prepare(message))
            case Accept():
                self._respond(to, sender, acceptor.accept(message))
            case Enroll():
                self._respond(to, sender, acceptor.enroll(sender, message))
            case Enrolled():
                if (learned := acceptor.receive_enrolled(sender, message)) is not None:
                    self._apply_learned(to, learned)
                    if not acceptor.members_confirmed:
                        self._enroll(to)
            case _:
                self._execute(to, self.proposers[to].receive(0.0, sender, message))

    def _apply_learned(self, name: str, learned: LearnResult) -> None:
        self.storage[name].apply(learned.writes)
        self._record_in_force(learned.new_items)

    def _respond(self, name: str, to: str, response: Response) -> None:
        self.storage[name].apply(response.writes)
        self._record_in_force(response.new_items)
        if response.reply is not None:
            self._send(name, to, response.reply)

    def _execute(self, name: str, output: ProposerOutput) -> None:
        self.storage[name].apply(output.writes)
        self._record_in_force(output.new_items)
        for to, message in output.sends:
            self._send(name, to, message)
        for item, outcome in output.completed:
            if not isinstance(outcome, Failure) or outcome.status < 500:
                self.answers.append(Answer(item, outcome is True))
        if (proposer := self.proposers[name]).proposal_number is None:
            proposer.next_attempt_at = NEVER

    def _send(self, sender: str, to: str, message: Message) -> None:
        if sender == to:
            self._receive(sender, to, message)
        elif self.case.immediate_replies and isinstance(message, ProposerReply):
            if not self.drops_replies:
                self._receive(sender, to, decode_message(orjson.dumps(message.packed())))
        else:
            self.in_flight.append(InFlight(sender, to, orjson.dumps(message.packed())))

    def _record_in_force(self, new: list[Item]) -> None:
        for item in new:
            content = orjson.dumps(item.content)
            self.committed.setdefault((item.key, item.version), item)
            if self.contents_in_force.setdefault((item.key, item.version), content) != content:
                self.violations.append(f"two contents of {item.name}@r{item.version} were shown")

    # Recognition of equal states.

    def prune(self) -> None:
        """Drops messages that have no effect and sorts the others, so that more states are equal."""
        self.in_flight = sorted(each for each in self.in_flight if not self._has_no_effect(each))

    def _has_no_effect(self, each: InFlight) -> bool:
        message, receiver = decode_message(each.packed), self.proposers[each.to]
        match message:
            case Promise() | Accepted() | Behind() | Nack():
                if receiver.proposal_number is None or message.proposal_number != receiver.proposal_number:
                    return True  # the attempt is over
                first_phase = receiver.proposed_delta is None
                return isinstance(message, Promise) and (not first_phase or each.sender in receiver.promises)
            case Enrolled():
                return self.acceptors[each.to].members_confirmed
            case Prepare() | Accept() if self.case.immediate_replies:
                number = message.proposal_number
                if isinstance(message, Prepare) and self.proposers[each.sender].proposal_number != number:
                    return True  # it would only make acceptors reject others
                # If rejected, it would only end the attempt, as a lost message does.
                return number < self.acceptors[each.to].promised and not self.attempts_left[each.sender]
        return False

    def key(self) -> bytes:
        """Returns a key that is equal for states with the same possible continuations."""
        rows: list[Any] = [
            self.in_flight,
            self.attempts_left,
            self.crashes_left,
            self.wipes_left,
            sorted(self.contents_in_force.items()),
            [(answer.item.name, answer.item.version, answer.accepted) for answer in self.answers],
        ]
        for name in sorted(self.acceptors):
            if name not in self.machine_keys:
                self.machine_keys[name] = machine_key(self.acceptors[name], self.proposers[name])
            rows.append(self.machine_keys[name])
        return state_digest(rows)


@lru_cache(1 << 16)
def decode_message(packed: bytes) -> Message:
    """Returns the message in its decoded form."""
    return decode(orjson.loads(packed))


def _fixed_random() -> float:
    """Stands in for random numbers, which only affect times, since the explorer has no clock."""
    return 0.5
