"""Control that all kinds of faults share: their ends, and the limit on machines that are lost at once."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from foxspread.mesh.simulation.machines import Machine

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

CATCH_UP_S = 4.0  # time for which a machine counts as lost after its start or return


class FaultControl:
    """Active faults, and faults that wait for an acknowledged call."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.simulation, self.checker = fleet, fleet.simulation, fleet.checker
        # Faults of the machine that acknowledges a call; each acknowledged call takes the last one.
        self.on_acknowledgement: list[Callable[[Machine], object]] = []
        self.ended = False  # once True, no more faults are injected
        self._pending_ends: dict[int, Callable[[], None]] = {}  # calls that end the active faults, by number

    def can_lose(self, *more: Machine) -> bool:
        """Returns whether these machines may be lost in addition to those that are lost now."""
        lost = {*(each for each in self.fleet.machines if each.is_lost), *more}
        return len(lost) <= self.fleet.plan.tolerated_losses

    def schedule_fault_end(self, seconds: float, machine: Machine | None, end: Callable[[], object]) -> None:
        """Calls `end` after this many seconds, or earlier when all faults end.

        Until then the machine, or every machine if it is None, need not answer in time.
        """
        period = self.checker.fault_began(machine.name if machine else None)
        number = next(self.simulation.event_numbers)

        def finish() -> None:
            if self._pending_ends.pop(number, None) is None:
                return
            self.checker.now = self.simulation.now
            end()
            self.checker.fault_ended(period)
            if machine is not None:
                self._after_fault(machine)

        self._pending_ends[number] = finish
        self.simulation.after(seconds, finish)

    def _after_fault(self, machine: Machine) -> None:
        if self.fleet.plan.members_change:
            machine.counts_as_lost_until = self.simulation.now + CATCH_UP_S
        if self.fleet.plan.probes and machine.is_healthy:
            self.fleet.clients.probe(machine)

    def end_all(self) -> None:
        """Ends all active faults and prevents new ones."""
        self.ended = True
        for finish in list(self._pending_ends.values()):
            finish()

    def machines_starting_at(self, machine: Machine) -> list[Machine]:
        """Returns all machines in cyclic order, beginning with this one."""
        index = self.fleet.machines.index(machine)
        return self.fleet.machines[index:] + self.fleet.machines[:index]
