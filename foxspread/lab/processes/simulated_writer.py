"""Clients of simulated coordinators: writers of versions, and an operator who replaces a member.

A writer records each operation with the times of its call and its answer, from which the judge decides
whether the history is linearizable.
"""

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.raft import Role
from foxspread.consensus.versions import PutVersion, Version, VersionConflict, VersionWritten, digest
from foxspread.lab.processes.linear import NEVER, Op
from foxspread.lab.processes.simulated_node import SimulatedNode

if TYPE_CHECKING:
    from foxspread.lab.processes.virtual import World

OPERATION_KINDS, OPERATION_WEIGHTS = ("put", "set", "get"), (3, 3, 4)  # set: compare-and-set
LONG_CONTENT_BYTES = (3_000, 30_000)
MIN_OPERATION_S, MAX_OPERATION_S = 0.5, 4.0  # for all attempts of an operation
REPLACEMENT_S, MAX_REPLACEMENT_ATTEMPTS = 6.0, 40
REPLACEMENT_RETRY_S, REFUSED_RETRY_S = 0.4, 0.1
ENDED = 99  # as an attempt: beyond the last, so that nothing follows


@dataclass
class PendingOperation:
    """An operation of a writer that has not ended. Attempts begin until `deadline`."""

    is_get: bool
    put: PutVersion
    called_at: float
    deadline: float


class Writer:
    """Calls the members in turn: puts, compare-and-sets, gets. Repeats a put with its request id."""

    def __init__(self, world: "World", id: str, chance: random.Random) -> None:
        self.world, self.id, self.chance = world, id, chance
        self.count, self.seen, self.target = 0, 0, chance.choice(world.ids)
        self.pending: PendingOperation | None = None
        self.attempt = 0

    def begin(self) -> None:
        """Begins an operation, unless the run comes to its end."""
        if self.world.now > self.world.writers_until:
            return
        self.count += 1
        kind = self.chance.choices(OPERATION_KINDS, OPERATION_WEIGHTS)[0]
        content = self.world.content(self)
        if self.chance.random() < self.world.plan.long_content_share:
            content += b"#" + b"." * self.chance.choice(LONG_CONTENT_BYTES)
        if_version = self.seen if kind == "set" else -1
        put = PutVersion(f"{self.id}-{self.count}", content, if_version, self.id)
        now = self.world.now
        deadline = now + self.chance.uniform(MIN_OPERATION_S, MAX_OPERATION_S)
        self.pending = PendingOperation(kind == "get", put, now, deadline)
        self.send()

    def send(self) -> None:
        """Sends the pending operation to `target`; the request may be lost."""
        self.attempt += 1
        world = self.world
        token = world.token(self, self.attempt)
        if self.chance.random() > world.network.fault_rates["loss"]:
            world.clock.after(world.network.delay(), self._arrive, self.target, token, self.pending)
        world.clock.after(self.chance.uniform(0.3, 1.2), self._on_timeout, self.attempt)

    def _arrive(self, target: str, token: int, operation: PendingOperation) -> None:
        node = self.world.nodes[target]
        if operation.is_get:
            node.step(lambda host, now: host.get(now, token))
        else:
            node.step(lambda host, now: host.put(now, token, operation.put))

    def _on_timeout(self, attempt: int) -> None:
        if attempt == self.attempt and self.pending is not None:
            self._retry(self.chance.choice(self.world.ids))

    def _retry(self, target: str) -> None:
        self.target = target
        if self.world.now > self.pending.deadline:
            return self._complete(None)
        self.attempt += 1  # a late answer to the last attempt is ignored
        self.world.clock.after(self.chance.uniform(0.01, 0.1), self._resend, self.attempt)

    def _resend(self, attempt: int) -> None:
        if attempt == self.attempt:
            self.send()

    def on_answer(self, attempt: int, answer: Answer) -> None:
        """Takes an answer; to a former attempt it is ignored."""
        if attempt != self.attempt or self.pending is None:
            return
        if answer.status is Status.DONE:
            return self._complete(answer.value)
        self._retry(answer.leader or self.chance.choice(self.world.ids))

    def _complete(self, value: Any) -> None:
        operation = self._outcome(self.pending, value)
        if operation is not None:
            self.world.judge.record_operation(operation, value, self.pending.put)
        self.pending, self.world.answered_none = None, False
        self.world.clock.after(self.chance.expovariate(1 / self.world.plan.think_time), self.begin)

    def _outcome(self, pending: PendingOperation, value: Any) -> Op | None:
        """The operation as the judge is to have it; None for a get without an answer.

        Of a put that some attempt may have written and none answered, nothing is known. One that was answered
        NOT_LEADER in each attempt is written by none, but attempts that were lost may be: so it counts as
        unknown too.
        """
        put, now = pending.put, self.world.now
        unknown = Op(self.id, "unknown", pending.called_at, NEVER, 0, digest(put.content), put.if_version)
        if pending.is_get:
            if not isinstance(value, Version) and (value is not None or not self.world.answered_none):
                return None
            number, content_digest = (value.number, value.digest) if value else (0, "")
            self.seen = number
            return Op(self.id, "get", pending.called_at, now, number, content_digest)
        if isinstance(value, VersionWritten):
            self.seen = value.version.number
            return replace(unknown, kind="put", answered=now, number=self.seen)
        if isinstance(value, VersionConflict):
            self.seen = value.latest.number if value.latest else 0
            return replace(unknown, kind="conflict", answered=now, number=self.seen, digest="")
        return unknown


class MemberReplacement:
    """An operator who removes a member, wipes its folder, starts it anew and adds it."""

    def __init__(self, world: "World", node: SimulatedNode) -> None:
        self.world, self.node, self.adding = world, node, False
        self.deadline = world.now + REPLACEMENT_S
        self.attempt, node.replacing = 0, True
        self.send()

    def send(self) -> None:
        """Asks a leader, where there is one, for the next change of members."""
        if self.world.now > self.deadline or self.attempt > MAX_REPLACEMENT_ATTEMPTS:
            self.node.replacing = False
            return
        self.attempt += 1
        token = self.world.token(self, self.attempt)
        leader = self._other_leader()
        if leader is not None:
            address = f"{self.node.id}:1" if self.adding else None
            leader.step(lambda host, now: host.change_membership(now, token, self.node.id, address))
        self.world.clock.after(REPLACEMENT_RETRY_S, self._retry, self.attempt)

    def _other_leader(self) -> SimulatedNode | None:
        for node in self.world.nodes.values():
            if node.host and node.host.raft.role is Role.LEADER and node is not self.node:
                return node
        return None

    def _retry(self, attempt: int) -> None:
        if attempt == self.attempt:
            self.send()

    def on_answer(self, attempt: int, answer: Answer) -> None:
        """Takes the leader's answer: the next step, or another attempt."""
        if attempt != self.attempt:
            return
        already = "is a member already" if self.adding else "is no member"
        if answer.status is not Status.DONE and already not in str(answer.value):
            self.world.clock.after(REFUSED_RETRY_S, self._retry, self.attempt)
        elif self.adding:
            self.attempt, self.node.replacing = ENDED, False
        else:
            self._start_empty()

    def _start_empty(self) -> None:
        self.adding = True
        self.node.kill()
        self.node.wipe()
        self.node.first_members, self.node.disk_lost_writes = {}, False
        self.world.clock.after(0.05, self.node.start)
        self.world.clock.after(0.1, self.send)
