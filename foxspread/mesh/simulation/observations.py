"""What a run records for its invariants: calls with their answers, faults, recoveries and violations."""

from dataclasses import dataclass, field

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Failure
from foxspread.mesh.simulation.events import format_item


@dataclass(eq=False)
class Call:
    """One call of a client, through all its attempts; without items a read. Times in seconds of the run."""

    number: int
    items: tuple[Item, ...]
    started_at: float
    attempts: list[tuple[float, str]] = field(default_factory=list)  # when and at which machine
    ended_at: float | None = None  # when its client had a clear answer
    first_answer_at: float | None = None  # when a clear answer was first on its way, lost or not
    outcome: bool | Failure | None = None

    def __str__(self) -> str:
        return f"#{self.number} {' '.join(format_item(item) for item in self.items) or 'read'}"


@dataclass(frozen=True)
class Violation:
    """An invariant that did not hold."""

    rule: str
    text: str
    at: float


@dataclass
class Recovery:
    """A machine whose fault is over, and when it first answered a read by itself."""

    machine: str
    since: float
    served_at: float | None = None


@dataclass
class FaultPeriod:
    """While a machine, or all where it is None, need not answer in time."""

    started_at: float
    ended_at: float | None
    machine: str | None

    def affects(self, machine: str, start: float, end: float) -> bool:
        """Whether the machine had this fault at some time in between."""
        if self.machine not in (None, machine):
            return False
        return self.started_at < end and (self.ended_at is None or self.ended_at > start)


@dataclass
class Submission:
    """The clear answers to the same items, however often and wherever they were submitted."""

    items: tuple[Item, ...]
    acknowledged: list[str] = field(default_factory=list)  # by whom and when
    refused: list[str] = field(default_factory=list)  # and why
