"""A coordinator in virtual time with its disk and its clock: the same `Coordinator` as behind sockets.

The node carries out what the coordinator asks for (writes, messages, answers, a wake-up), so that every
order in which these may come about can be drawn from a seed.
"""

import copy
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from foxspread.consensus.coordinator import Coordinator, Outputs
from foxspread.consensus.records import Members, Snapshot, StorageWrite, StoredState

if TYPE_CHECKING:
    from foxspread.lab.processes.virtual import World

FLEET = "lab"
KILL_AT_WRITE_PROBABILITY = 0.1  # before a write, and again after it
NEVER_WAKES = 1e12


def empty_disk(chance: random.Random, generation: int = 0) -> StoredState:
    """A disk with an identity of its own and nothing on it."""
    return StoredState(f"{chance.getrandbits(48):012x}", generation)


class ObservedCoordinator(Coordinator):
    """Reports to the judge what it applies."""

    def __init__(self, node: "SimulatedNode", *arguments: Any) -> None:
        broken = node.world.broken
        self.node_type, self.store_type, self.node = broken.member, broken.versions, node
        self.min_compaction_bytes = node.world.compact_bytes
        super().__init__(*arguments)

    def _apply_entry(self, index: int, entry: Any) -> None:
        self.node.world.judge.on_applied(self.node, index, entry)
        super()._apply_entry(index, entry)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.node.world.judge.on_restored(self.node.id, snapshot.index)
        super()._restore_snapshot(snapshot)


class SimulatedDisk:
    """What is stored, and the pending writes. A crash keeps the first few of those."""

    def __init__(self, world: "World", chance: random.Random) -> None:
        self.world, self.chance = world, chance
        self.saved = empty_disk(chance)
        self.pending: list[StorageWrite] = []
        self.slowdown, self.fails = 1.0, False

    def start(self) -> StoredState:
        """What a process finds at its start."""
        self.pending = []
        self.saved.generation += 1
        return copy.copy(self.saved)

    def put(self, node: "SimulatedNode", write: StorageWrite) -> None:
        """Queues a write."""
        self.pending.append(write)
        if len(self.pending) == 1:
            self._begin_group(node)

    def _begin_group(self, node: "SimulatedNode") -> None:
        seconds = self.chance.uniform(0.0002, 0.004) * self.slowdown
        self.world.clock.after(seconds, self._finish_group, node, node.incarnation, list(self.pending))

    def _finish_group(self, node: "SimulatedNode", incarnation: int, group: list[StorageWrite]) -> None:
        """A group is on disk together, as with one fsync."""
        if incarnation != node.incarnation or node.down:
            return
        if self.fails:
            return node.step(lambda host, now: host.on_disk_failure(now, "no space left on device"))
        for write in group:
            if self._kills_now(node):
                return node.kill_and_restart()  # before this write
            self.apply(write)
            if self._kills_now(node):
                return node.kill_and_restart()  # after it, and nobody was notified
        self.pending = self.pending[len(group) :]
        if self.pending:
            self._begin_group(node)
        node.step(lambda host, now: host.on_writes_durable(now, group[-1].number))

    def _kills_now(self, node: "SimulatedNode") -> bool:
        return node.kill_at_write and self.chance.random() < KILL_AT_WRITE_PROBABILITY

    def apply(self, write: StorageWrite) -> None:
        """Makes one write durable."""
        self.saved.entries = list(self.saved.entries)
        self.saved.apply(write)

    def crash(self) -> None:
        """Keeps a random prefix of the pending writes."""
        for write in self.pending[: self.chance.randint(0, len(self.pending))]:
            self.apply(write)
        self.pending = []


class SimulatedNode:
    """A coordinator's process over its starts. `incarnation` counts them; while it is `stalled`, inputs wait
    there. `disk_lost_writes`: its disk lost what the process had promised."""

    def __init__(self, world: "World", id: str, chance: random.Random, members: Members) -> None:
        self.world, self.id, self.chance, self.first_members = world, id, chance, members
        self.disk = (world.broken.disk or SimulatedDisk)(world, chance)
        self.rate, self.offset = 1.0, chance.uniform(1.0, 1000.0)
        self.incarnation = 0
        self.replacing = False
        self.down, self.kill_at_write, self.disk_lost_writes = True, False, False
        self.stalled: list[Callable[[], None]] | None = None
        self.wake: int | None = None
        self.host: Any = None

    def local(self) -> float:
        """The time on its own clock."""
        return self.offset + self.rate * self.world.now

    def start(self) -> None:
        """Starts the process, unless it runs."""
        if self.down:
            self.incarnation, self.down, self.stalled, self.wake = self.incarnation + 1, False, None, None
            self.host = self.world.host(
                self,
                self.local(),
                self.id,
                FLEET,
                self.disk.start(),
                self.first_members,
                self.world.plan.settings,
                self.chance.random,
            )
            self.apply_outputs()

    def kill(self) -> None:
        """Ends the process as a power cut would."""
        if not self.down:
            self.disk.crash()
            self.down, self.host, self.stalled = True, None, None
            self.world.judge.on_down(self.id)

    def kill_and_restart(self) -> None:
        """Ends the process and starts it after a moment."""
        self.kill()
        self.world.clock.after(self.chance.uniform(0.05, 0.6), self.start)

    def step(self, call: Callable[[Any, float], None]) -> None:
        """Gives an input, and carries out all that follows."""
        if self.down:
            return
        if self.stalled is not None:
            incarnation = self.incarnation
            self.stalled.append(lambda: self.step(call) if incarnation == self.incarnation else None)
            return
        call(self.host, self.local())
        self.apply_outputs()

    def resume(self) -> None:
        """Ends a stall: the inputs that came meanwhile are taken."""
        pending, self.stalled = self.stalled, None
        for call in pending or []:
            call()
        self.step(lambda host, now: host.tick(now))

    def apply_outputs(self) -> None:
        """Does what the coordinator asks for, and wakes it when it wants to be."""
        outputs: Outputs = self.host.take_outputs(self.local())
        for write in outputs.writes:
            self.disk.put(self, write)
        for message in outputs.messages:
            self.world.send(self, message)
        for answer in outputs.answers:
            self.world.answer(self, answer)
        if self.host is None:
            return
        self.world.judge.check_node(self)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake_at, clock = self.host.wake_at(), self.world.clock
        if wake_at >= NEVER_WAKES:
            return
        wake = max(clock.now + 1, round((wake_at - self.offset) / self.rate * 1e6) + 1)
        if self.wake is None or wake < self.wake or self.wake <= clock.now:
            self.wake = wake
            clock.at(wake, self._on_wake, self.incarnation, wake)

    def _on_wake(self, incarnation: int, wake: int) -> None:
        if incarnation == self.incarnation and wake == self.wake and not self.down:
            if self.stalled is None:
                self.wake = None
                self.step(lambda host, now: host.tick(now))

    def wipe(self) -> None:
        """Puts an empty disk in place of its own."""
        self.disk.saved = empty_disk(self.chance)
