"""Plain types that the decisions and their hosts share. Times are seconds with fractions."""

import math
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum

from foxspread.sums import Mean


class Effect(Enum):
    REDOABLE = "redoable"  # may run again
    LABELLED = "labelled"  # carries a mark by which some servers know a repeat
    IRREVERSIBLE = "irreversible"  # must never run twice


FEWER = (Effect.REDOABLE, Effect.LABELLED, Effect.IRREVERSIBLE)  # repeats, each allowing less


class Outcome(Enum):
    """How a hand-off or a probe ended."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"  # turned away unseen
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    CALLED_OFF = "called off"
    UNSENT = "unsent"

    def __init__(self, how: str) -> None:  # worked out once: each end of a hand-off asks for all of it
        self.done = how == "done"
        self.answered = how in ("done", "error")
        self.cut_off = how in ("timed out", "called off")
        self.never_ran = how in ("full", "unconnected", "unsent")
        # The verdict on the server; None where there is none: being full, called off or unsent.
        self.failure: bool | None = None if how in ("full", "called off", "unsent") else not self.done


class Readiness(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True)
class Category:
    name: str
    expected_time: float  # an answer within this earns the whole benefit
    abandon_time: float
    benefit: float = 1.0
    late_benefit: float = 0.0  # share of the benefit that a later answer earns
    effect: Effect = Effect.REDOABLE
    scope: str = "all"  # labelled: the servers that drop a repeat: all, zone or cell
    repeat_window: float = 0.0  # labelled: for how long they drop it
    streamed: bool = False


@dataclass(frozen=True)
class ListedServer:
    server: str
    zone: str = ""
    cell: int = 0
    size: float = 1.0  # as registered, for comparing with others
    readiness: Readiness = Readiness.READY
    started: float = 0.0  # 0: long ago
    kind: str = ""  # machines of one kind are taken to be alike until they show otherwise

    def warmth(self, now: float, cold_from: float, cold_time: float) -> float:
        """The share of its capacity that it has at least, by the time since its start (contract)."""
        if self.started <= 0 or cold_time <= 0 or now - self.started >= cold_time:
            return 1.0
        return cold_from + (1 - cold_from) * max(0.0, now - self.started) / cold_time


@dataclass(frozen=True)
class Customer:
    name: str
    share: float = 0.0  # of the service
    quota: float = 0.0  # lookups a second over all sidecars


@dataclass(slots=True)
class HandOff:
    server: str
    zone: str
    kind: str | None  # None while it is not warm
    sent: float
    trial: str | tuple[str, str] | None  # of what is marked: a server, or one for a category
    overdue: float = math.inf
    outcome: Outcome | None = None
    called_off: bool = False
    late: bool = False  # overdue and overtaken, or its body is still coming: it holds no room
    judged: bool = False  # its verdict has been noted


@dataclass(slots=True)
class Lookup:
    id: str
    category: Category
    expected_at: float
    abandon_at: float
    worth: float  # benefit per usual time, within its customer's share
    draw: float = 0.0  # by chance from 0 up to 1: who yields first among equals
    key: str = ""  # what it concerns, where servers remember that
    sent: list[HandOff] = field(default_factory=list)
    over: bool = False  # answered, or the client has left
    coming: bool = False  # a body that is not kept passes through to a server: its time stands still
    spent: bool = False  # of that, some has gone: it cannot be sent again

    @property
    def useful_until(self) -> float:
        return self.abandon_at if self.category.late_benefit > 0 else self.expected_at

    def out(self) -> list[HandOff]:
        return [h for h in self.sent if h.outcome is None]

    def without(self, number: int) -> "Lookup":
        """As if that hand-off had not been decided."""
        return replace(self, sent=self.sent[:number] + self.sent[number + 1 :])

    def may_have_run(self) -> list[HandOff]:
        return [h for h in self.sent if h.outcome is None or not h.outcome.never_ran]

    def repeated(self) -> list[HandOff]:
        """Those that a further one would repeat, where some servers know a repeat."""
        return self.may_have_run() if self.category.effect is Effect.LABELLED else []


@dataclass
class Mark:
    """What one server's outcomes say of it."""

    fails: deque[float] = field(default_factory=deque)
    streak: int = 0  # failures in a row, however long ago
    verdicts: Mean = field(default_factory=lambda: Mean(10.0, 0.0))  # 1 for each failure
    until: float | None = None  # marked down; trials from then on
    spell: float = 0.0
    passes: int = 0
    trial_out: bool = False
    readmitted: float = -math.inf

    def note(self, now: float, failure: bool, weight: int, window: float) -> int:
        """Returns how many failures count: those within the window, or in a row however long ago they were.
        Quiet sidecars meet a server that only ever fails too rarely to fill the window."""
        self.verdicts.add(now, float(failure))
        self.streak = self.streak + weight if failure else 0
        if not failure:
            return 0
        self.fails.append(now)
        while self.fails[0] < now - window:
            self.fails.popleft()
        return max(len(self.fails), self.streak)


class Act(Enum):
    HAND_OFF = "hand off"
    CALL_OFF = "call off"
    DISMISS = "dismiss"
    SCRAP = "scrap"
    SUBSCRIBE = "subscribe"


@dataclass(slots=True)
class Decision:
    act: Act
    lookup: str = ""
    server: str = ""
    time_out: float = 0.0  # of a hand-off; 0: until the client gives up
    number: int = 0  # which hand-off to call off
    back_in: float = 0.0  # of a dismissal: when the client may return; 0: no advice
