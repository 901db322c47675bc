"""Records of a run, from which its invariants are checked: calls, answers, faults and recoveries."""

from dataclasses import dataclass, field

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.errors import Failure
from foxspread.mesh.simulation.events import format_item


@dataclass(eq=False)
class Call:
    """One call of a client with all its attempts, in seconds of the run. A call without items is a read."""

    number: int
    items: tuple[Item, ...]
    started_at: float
    attempts: list[tuple[float, str]] = field(default_factory=list)  # time and machine of each
    ended_at: float | None = None  # when the client received a definite answer
    first_answer_at: float | None = None  # when a definite answer was first sent, even if lost
    outcome: bool | Failure | None = None

    def __str__(self) -> str:
        return f"#{self.number} {' '.join(format_item(item) for item in self.items) or 'read'}"


@dataclass(frozen=True)
class Violation:
    """Violation of an invariant, and the time at which it was found."""

    rule: str
    text: str
    at: float


@dataclass
class Recovery:
    """End of a machine's fault, and the time at which the machine first answered a read afterwards."""

    machine: str
    since: float
    served_at: float | None = None


@dataclass
class FaultPeriod:
    """Period of a fault, in which a machine (all machines if None) need not answer in time."""

    started_at: float
    ended_at: float | None
    machine: str | None

    def affects(self, machine: str, start: float, end: float) -> bool:
        """Returns whether the machine had this fault at any time between `start` and `end`."""
        if self.machine not in (None, machine):
            return False
        return self.started_at < end and (self.ended_at is None or self.ended_at > start)


@dataclass
class Submission:
    """All definite answers to the same items, from every call and copy that submitted them."""

    items: tuple[Item, ...]
    acknowledged: list[str] = field(default_factory=list)  # machine and time of each
    refused: list[str] = field(default_factory=list)  # machine, time and reason of each
