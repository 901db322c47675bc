"""Explores all states of small cases of consensus, breadth first.

From a state, every message in flight may be the next to arrive; any member may begin an election, write, or
restart from its disk. A message that never arrives is one that is lost, so all losses and orders are among
the states. The first violation has the shortest path.

Left out, and covered by the seeded runs: time (an election begins by the leader's `TimeoutNow`, which waits
for nothing), messages that come twice, disks that lose what they had, changes of members.
"""

import copy
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from foxspread.consensus.messages import Envelope, Message, RequestVoteReply, TimeoutNow
from foxspread.consensus.raft import RaftNode, RaftSettings, Ready, Role
from foxspread.consensus.raft.log import RaftLog
from foxspread.consensus.records import LogEntry, MemberAddress, StorageIdentity, StoredState
from foxspread.consensus.wire import FORMAT, encode

IDS = ("c1", "c2", "c3")
READER = msgspec.msgpack.Decoder(Message)
STORAGE_IDENTITY = StorageIdentity("", 1, "", 0, 0)


@dataclass(frozen=True)
class Case:
    """Bounds. `campaigns`: who may begin the first, second, ... election; empty: anyone, `terms` at most.
    `silent`: pairs that hear nothing of each other."""

    name: str
    terms: int = 2
    writes: int = 1
    crashes: int = 1
    heartbeats: int = 0
    campaigns: tuple[str, ...] = ()
    silent: tuple[tuple[str, str], ...] = ()
    depth: int = 10
    states: int = 5_000_000


@dataclass
class Exploration:
    """The outcome. `depth`: as far as all states were explored; `complete`: there are no more of them within
    the case's bounds."""

    states: int
    depth: int
    complete: bool
    seconds: float
    violation: str = ""
    path: tuple[str, ...] = ()

    def as_row(self) -> dict[str, object]:
        """In the form that `--json` prints, by its first spelling."""
        return {
            "states": self.states,
            "depth": self.depth,
            "whole": self.complete,
            "seconds": self.seconds,
            "fault": self.violation,
            "path": self.path,
        }


@dataclass
class State:
    """One state of a case: members, their disks, messages in flight, and what the rules have to remember."""

    members: dict[str, RaftNode]
    disks: dict[str, StoredState]
    network: frozenset[tuple[str, str, bytes]]  # messages in flight, encoded
    campaigns: int = 0
    writes: int = 0
    crashes: int = 0
    heartbeats: int = 0
    leaders: frozenset[tuple[int, str]] = frozenset()
    votes: frozenset[tuple[str, int, str]] = frozenset()
    committed: tuple[tuple[LogEntry, int], ...] = ()  # and the term in which it was, which is its leader's


def trusting(kind: type[RaftNode]) -> type[RaftNode]:
    """The same node, without the checks of other members' disks."""

    class Trusting(kind):
        def _verify_storage(self, sender: str, reported: StorageIdentity) -> bool:
            return True

    return Trusting


def member_of(kind: type[RaftNode], id: str, disk: StoredState) -> RaftNode:
    """A member as it starts from its disk."""
    saved = copy.copy(disk)
    member = kind(
        0.0,
        id,
        "lab",
        saved,
        {each: MemberAddress(each) for each in IDS},
        RaftSettings(max_batch_bytes=1),
        lambda: 0.5,
    )
    if member.role is Role.STARTING:
        member._finish_storage_check()  # what the others say of its disk is not looked at here
    return member


def clone(member: RaftNode) -> RaftNode:
    """A copy that shares nothing that a step changes."""
    twin = copy.copy(member)
    twin.observed_storage, twin.removed_disks = dict(member.observed_storage), dict(member.removed_disks)
    twin.log = RaftLog(member.log.base, member.log.base_term, list(member.log.entries))
    twin.pending_writes = [copy.copy(write) for write in member.pending_writes]
    twin.delayed_messages, twin.ready = list(member.delayed_messages), Ready()
    twin.votes_received = set(member.votes_received)
    twin.storage_confirmed_by = set(member.storage_confirmed_by)
    twin.progress = {each: copy.copy(row) for each, row in member.progress.items()}
    twin.forwarded_reads, twin.indexed_reads = set(member.forwarded_reads), list(member.indexed_reads)
    twin.pending_reads = [copy.copy(each) for each in member.pending_reads]
    return twin


def key_of(member: RaftNode) -> tuple:
    """What distinguishes a member's states."""
    progress = tuple(
        (peer, row.next_index, row.match_index, row.in_flight_since is None)
        for peer, row in sorted(member.progress.items())
    )
    return (
        member.role.value,
        member.current_term,
        member.voted_for,
        member.leader_id,
        tuple(member.log.entries),
        member.commit_index,
        member.durable_index,
        frozenset(member.votes_received),
        progress,
    )


class RuleViolated(Exception):
    """An invariant does not hold."""


class Explorer:
    """Explores the states of a case with one kind of node."""

    def __init__(self, case: Case, kind: type[RaftNode] = RaftNode) -> None:
        self.case, self.kind = case, trusting(kind)

    def start(self) -> State:
        """The first state."""
        disks = {id: StoredState("", 1) for id in IDS}
        state = State({id: member_of(self.kind, id, disks[id]) for id in IDS}, disks, frozenset())
        for id in IDS:
            self._apply_outputs(state, id)
        return state

    def _apply_outputs(self, state: State, id: str) -> None:
        """All that one member's step leads to at once: its records are on disk, its messages are in
        flight."""
        member, posted = state.members[id], []
        while ready := member.take_ready():
            for write in ready.writes:
                disk = copy.copy(state.disks[id])
                disk.entries = list(disk.entries)
                disk.apply(write)
                state.disks[id] = disk
            for envelope in ready.messages:
                posted.append((envelope.recipient, envelope.message))
            for index, entry in ready.entries:
                self._applied(state, id, index, entry)
            if ready.writes:
                member.on_writes_durable(0.0, ready.writes[-1].number)
        for to, message in posted:
            if isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
                if any(each[:2] == (id, message.term) and each[2] != to for each in state.votes):
                    raise RuleViolated(f"one_vote: {id} votes twice in term {message.term}")
                state.votes |= {(id, message.term, to)}
        state.network |= {
            (id, to, encode(message))
            for to, message in posted
            if (id, to) not in self.case.silent and (to, id) not in self.case.silent
        }
        self._check_rules(state, id)

    def _applied(self, state: State, id: str, index: int, entry: LogEntry) -> None:
        if index <= len(state.committed):
            if state.committed[index - 1][0] != entry:
                raise RuleViolated(f"same_entry: {id} applies another entry at {index}")
        else:
            state.committed += ((entry, state.members[id].current_term),)

    def _check_rules(self, state: State, id: str) -> None:
        member = state.members[id]
        if member.role is Role.LEADER and (member.current_term, id) not in state.leaders:
            if any(term == member.current_term for term, _ in state.leaders):
                raise RuleViolated(f"one_leader: two lead term {member.current_term}")
            state.leaders |= {(member.current_term, id)}
            before = [entry for entry, term in state.committed if term < member.current_term]
            if member.log.entries[: len(before)] != before:
                raise RuleViolated(
                    f"leader_complete: {id} leads term {member.current_term} without what is committed"
                )
        for other in IDS:
            mine, theirs = member.log.entries, state.members[other].log.entries
            same = [at for at in range(min(len(mine), len(theirs))) if mine[at].term == theirs[at].term]
            if same and mine[: same[-1] + 1] != theirs[: same[-1] + 1]:
                raise RuleViolated(f"log_matching: {id} and {other} agree on {same[-1] + 1}, and not before")

    def _next(self, state: State, **changes: object) -> State:
        twin = copy.copy(state)
        twin.members, twin.disks = dict(state.members), dict(state.disks)
        for name, value in changes.items():
            setattr(twin, name, value)
        return twin

    def _input(self, twin: State, id: str, message: Message, sender: str) -> None:
        member = twin.members[id] = clone(twin.members[id])
        member.receive(0.0, Envelope("lab", FORMAT, sender, id, STORAGE_IDENTITY, message))
        self._apply_outputs(twin, id)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Each state that may follow, and what leads to it."""
        yield from self._deliveries(state)
        yield from self._elections(state)
        for id in IDS:
            if state.members[id].role is Role.LEADER:
                yield from self._leader_steps(state, id)
            if state.crashes < self.case.crashes and state.disks[id].writes > 1:
                twin = self._next(state, crashes=state.crashes + 1)
                twin.members[id] = member_of(self.kind, id, twin.disks[id])
                self._apply_outputs(twin, id)
                yield f"{id} starts anew", twin

    def _deliveries(self, state: State) -> Iterator[tuple[str, State]]:
        for each in sorted(state.network):
            sender, to, message = each[0], each[1], READER.decode(each[2])
            twin = self._next(state, network=state.network - {each})
            self._input(twin, to, message, sender)
            sent_nothing = len(twin.network) == len(state.network) - 1
            if sent_nothing and key_of(twin.members[to]) == key_of(state.members[to]):
                continue  # without effect: the same as one that is lost
            yield f"{sender} to {to}: {message}", twin

    def _candidates(self, state: State) -> tuple[str, ...]:
        """Who may begin the next election. The first may be any, since they are alike."""
        if state.campaigns >= (len(self.case.campaigns) or self.case.terms * 2):
            return ()
        if self.case.campaigns:
            return (self.case.campaigns[state.campaigns],)
        return IDS if state.campaigns else IDS[:1]

    def _elections(self, state: State) -> Iterator[tuple[str, State]]:
        for id in self._candidates(state):
            member = state.members[id]
            if member.current_term >= self.case.terms or member.role is Role.LEADER:
                continue
            twin = self._next(state, campaigns=state.campaigns + 1)
            if member.role is Role.CANDIDATE:  # its election was lost
                twin.members[id] = clone(member)
                twin.members[id]._transition_to(Role.PRE_CANDIDATE)
            self._input(twin, id, TimeoutNow(member.current_term), "lab")
            yield f"{id} asks for votes", twin

    def _leader_steps(self, state: State, id: str) -> Iterator[tuple[str, State]]:
        if state.writes < self.case.writes:
            twin = self._next(state, writes=state.writes + 1)
            twin.members[id] = clone(state.members[id])
            twin.members[id].propose(0.0, b"write")
            self._apply_outputs(twin, id)
            yield f"{id} writes", twin
        if state.heartbeats < self.case.heartbeats:
            twin = self._next(state, heartbeats=state.heartbeats + 1)
            leader = twin.members[id] = clone(state.members[id])
            for row in leader.progress.values():
                row.in_flight_since, row.next_index = None, row.match_index + 1
            leader._broadcast_heartbeat()
            self._apply_outputs(twin, id)
            yield f"{id} sends again", twin

    def key(self, state: State) -> int:
        """By which a state is recognised."""
        return hash(
            (
                tuple(key_of(state.members[id]) for id in IDS),
                state.network,
                state.campaigns,
                state.writes,
                state.crashes,
                state.heartbeats,
                state.leaders,
                state.votes,
                state.committed,
            )
        )

    def explore(self) -> Exploration:
        """All states within the bounds, up to the first violation."""
        begun, case = time.monotonic(), self.case
        first = self.start()
        seen, layer, depth = {self.key(first)}, [(first, ())], 0
        while layer and depth < case.depth and len(seen) < case.states:
            following = []
            for state, path in layer:
                steps = self.steps(state)
                while True:
                    try:
                        step = next(steps, None)
                    except RuleViolated as violation:
                        return Exploration(
                            len(seen), depth, False, time.monotonic() - begun, str(violation), path
                        )
                    if step is None:
                        break
                    if (key := self.key(step[1])) not in seen:
                        seen.add(key)
                        following.append((step[1], (*path, step[0])))
            layer, depth = following, depth + 1
        return Exploration(len(seen), depth, not layer, time.monotonic() - begun)


CASES = {
    "one_crash": Case("one_crash", depth=8),
    "two_votes": Case("two_votes", terms=1, writes=0, campaigns=("c1", "c2"), depth=30),
    "figure_8": Case(
        "figure_8",
        terms=4,
        writes=0,
        crashes=0,
        campaigns=("c1", "c2", "c2", "c1", "c2"),
        silent=(("c1", "c2"),),
        depth=24,
    ),
}
