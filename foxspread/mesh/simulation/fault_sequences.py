"""Sequences of related faults, each of up to half a minute."""

from enum import Enum, auto
from typing import TYPE_CHECKING

from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.statistics import SeededRandom

if TYPE_CHECKING:
    from foxspread.mesh.simulation.schedule import Plan

LONGEST_SEQUENCE_S = 23.0  # a sequence begins at least this long before the end of a run
LONG_PARTITION_S = 20.0


class FaultSequence(Enum):
    """Kinds of sequences, each drawn by a method of `FaultSequences` of the same name."""

    LONG_PARTITION = auto()
    LONG_ABSENCE = auto()
    LOSSES_AFTER_REPAIR = auto()
    POWER_LOSS = auto()
    SLOW_STORAGE = auto()
    SUSPENSION = auto()
    PERMANENT_LOSSES = auto()
    GRACEFUL_EXITS = auto()


class FaultSequences:
    """Draws the fault sequences of one run."""

    def __init__(self, random: SeededRandom, plan: "Plan") -> None:
        self.random, self.plan = random, plan
        self._draw_by_sequence = {
            FaultSequence.LONG_PARTITION: self._long_partition,
            FaultSequence.LONG_ABSENCE: self._long_absence,
            FaultSequence.LOSSES_AFTER_REPAIR: self._losses_after_repair,
            FaultSequence.POWER_LOSS: self._power_loss,
            FaultSequence.SLOW_STORAGE: self._slow_storage,
            FaultSequence.SUSPENSION: self._suspension,
            FaultSequence.PERMANENT_LOSSES: self._permanent_losses,
            FaultSequence.GRACEFUL_EXITS: self._graceful_exits,
        }

    def draw_all(self) -> list[Event]:
        """Returns the events of two or three random sequences of the plan."""
        events: list[Event] = []
        for _ in range(2 + int(self.random.draw() * 2)):
            sequence = self.plan.sequences[int(self.random.draw() * len(self.plan.sequences))]
            first_fault_s = max(2.0, self.plan.first_fault_s)
            at = first_fault_s + self.random.draw() * (
                self.plan.duration_s - first_fault_s - LONGEST_SEQUENCE_S
            )
            events += self._draw_by_sequence[sequence](at)
        return [each for each in events if each.at < self.plan.duration_s - 0.5]

    def _draw_machine(self) -> int:
        return int(self.random.draw() * self.plan.machines)

    def _event(self, at: float, kind: EventKind, duration_s: float, machine: int | None = None) -> Event:
        return Event(at, kind, self._draw_machine() if machine is None else machine, duration_s)

    def _long_partition(self, at: float) -> list[Event]:
        """Isolates the machine that acknowledges the next call; sidecars restart during it and afterwards."""
        restarts = [
            self._event(at + self.random.draw() * 22, EventKind.SIDECAR_RESTART, 0.1) for _ in range(4)
        ]
        return [self._event(at, EventKind.ACKNOWLEDGER_PARTITIONED, LONG_PARTITION_S), *restarts]

    def _long_absence(self, at: float) -> list[Event]:
        """Stops a machine for many changes and sometimes wipes it; sidecars restart as it comes back."""
        duration_s = 10 + self.random.draw() * 15
        kind = EventKind.WIPE if self.random.draw() < 0.5 else EventKind.CRASH
        restarts = [
            self._event(at + duration_s + self.random.draw() / 2, EventKind.SIDECAR_RESTART, 0.02)
            for _ in range(3)
        ]
        return [self._event(at, kind, duration_s), *restarts]

    def _losses_after_repair(self, at: float) -> list[Event]:
        return [self._event(at + n * 8, EventKind.LOSS_AFTER_REPAIR, 4.0) for n in range(2)]

    def _power_loss(self, at: float) -> list[Event]:
        return [
            self._event(at, EventKind.POWER_LOSS, 0.8),
            self._event(at + 0.8, EventKind.SIDECAR_RESTART, 0.1),
        ]

    def _permanent_losses(self, at: float) -> list[Event]:
        """Loses three machines permanently, one after the other; each returns later."""
        return [self._event(at + 9 * n, EventKind.PERMANENT_LOSS, 20.0) for n in range(3)]

    def _graceful_exits(self, at: float) -> list[Event]:
        """Lets a machine leave, while the next one crashes at a random time."""
        machine = self._draw_machine()
        return [
            self._event(at, EventKind.GRACEFUL_LEAVE, 5.0, machine),
            self._event(at + self.random.draw() * 4, EventKind.CRASH, 2.0, machine + 1),
            self._event(at + 12, EventKind.GRACEFUL_LEAVE, 5.0),
        ]

    def _slow_storage(self, at: float) -> list[Event]:
        return [self._event(at, EventKind.SLOW_STORAGE, 20.0)]

    def _suspension(self, at: float) -> list[Event]:
        """Suspends a machine and moves its clock ahead meanwhile."""
        machine = self._draw_machine()
        return [
            self._event(at, EventKind.FREEZE, 3 + self.random.draw() * 12, machine),
            self._event(at + 1, EventKind.CLOCK_JUMP, 9 * self.random.draw(), machine),
        ]
