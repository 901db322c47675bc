"""Types that the decisions and their hosts share. Times are seconds, with fractions."""

import math
from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum

from foxspread.statistics import DecayingMean


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "redoable"
    DEDUPLICATED = "labelled"  # it carries a key by which some servers recognise a repetition and drop it
    NON_IDEMPOTENT = "irreversible"


# From the most permissive to the strictest.
IDEMPOTENCY_BY_STRICTNESS = (Idempotency.IDEMPOTENT, Idempotency.DEDUPLICATED, Idempotency.NON_IDEMPOTENT)


class Outcome(Enum):
    """How an attempt ended. `label` is the name under which logs show it."""

    SUCCESS = "done"
    ERROR = "error"
    OVERLOADED = "full"  # the server refused the request without executing it
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "unconnected"
    RESET = "reset"
    CANCELLED = "called off"
    UNSENT = "unsent"

    def __init__(
        self, value: str
    ) -> None:  # computed once, since the end of each attempt reads most of these
        self.label = value.replace(" ", "_")
        self.succeeded = value == "done"
        self.answered = value in ("done", "error")
        self.interrupted = value in ("timed out", "called off")
        self.never_ran = value in ("full", "unconnected", "unsent")
        # Whether the server failed; None where the outcome says nothing about its health.
        self.failure: bool | None = None if value in ("full", "called off", "unsent") else not self.succeeded


class Readiness(Enum):
    """State of a server according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True)
class Category:
    """A class of requests with the same time limits, value and rules for retries."""

    name: str
    expected_time: float  # an answer within this time earns the whole benefit
    abandon_time: float  # the client gives up after this time
    benefit: float = 1.0
    late_benefit: float = 0.0  # share of the benefit that a later answer earns
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: str = "all"  # the servers that recognise a repetition: "all", "zone" or "cell"
    deduplication_window: float = 0.0  # seconds for which they recognise it
    streamed: bool = False


@dataclass(frozen=True)
class Endpoint:
    """A server as the endpoint list has it."""

    server: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0  # registered size, relative to other servers
    readiness: Readiness = Readiness.READY
    started: float = 0.0  # 0: long ago
    kind: str = ""  # servers on machines of one kind are assumed to be equally fast until measured otherwise

    def capacity_fraction(self, now: float, initial_fraction: float, slow_start_time: float) -> float:
        """Returns the guaranteed share of the full capacity, which grows linearly after a start."""
        if self.started <= 0 or slow_start_time <= 0 or now - self.started >= slow_start_time:
            return 1.0
        return initial_fraction + (1 - initial_fraction) * max(0.0, now - self.started) / slow_start_time


@dataclass(frozen=True)
class Customer:
    """A client organisation with its entitlement."""

    name: str
    share: float = 0.0  # of the service's requests
    quota: float = 0.0  # requests a second over all sidecars


@dataclass(slots=True)
class Attempt:
    """One sending of a request to a server."""

    server: str
    zone: str
    kind: str | None  # None while the server is in slow start
    sent_at: float
    trial: str | tuple[str, str] | None  # the ejected server, or (server, category), that this attempt probes
    overdue_at: float = math.inf
    outcome: Outcome | None = None
    cancelled: bool = False
    not_counted: bool = False  # not counted as in flight: its answer is lost, or its body is still being sent
    verdict_recorded: bool = False


@dataclass(slots=True)
class Request:
    """A client's request and its attempts."""

    id: str
    category: Category
    expected_at: float
    deadline: float
    priority: float  # benefit by mean service time, reduced where its customer is over its share
    draw: float = 0.0  # random, from 0 up to 1: decides among equals which one is rejected first
    key: str = ""  # selects servers that have the key's data in their caches
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # answered, or abandoned by its client
    body_streaming: bool = False  # an unbuffered body is on its way to a server; time limits are suspended
    not_resendable: bool = False  # a part of an unbuffered body is consumed, or a change of rules forbids it

    @property
    def useful_until(self) -> float:
        """Time after which an answer earns nothing."""
        return self.deadline if self.category.late_benefit > 0 else self.expected_at

    def in_flight(self) -> list[Attempt]:
        """Returns the attempts that have not ended."""
        return [each for each in self.attempts if each.outcome is None]

    def without_attempt(self, number: int) -> "Request":
        """Returns a copy that lacks this attempt."""
        return replace(self, attempts=self.attempts[:number] + self.attempts[number + 1 :])

    def may_have_run(self) -> list[Attempt]:
        """Returns the attempts that a server may have executed or may still execute."""
        return [each for each in self.attempts if each.outcome is None or not each.outcome.never_ran]

    def deduplicated_attempts(self) -> list[Attempt]:
        """Returns the attempts that a further one would repeat, where servers recognise repetitions."""
        return self.may_have_run() if self.category.idempotency is Idempotency.DEDUPLICATED else []


@dataclass
class EjectionState:
    """Failure history of a server, or of a server for one category, and its ejection."""

    failures: deque[float] = field(default_factory=deque)  # times, within the failure window
    consecutive_failures: int = 0
    failure_rate: DecayingMean = field(default_factory=lambda: DecayingMean(10.0, 0.0))
    ejected_until: float | None = None  # trial requests are sent from then on
    ejection_time: float = 0.0
    trial_successes: int = 0
    trial_in_flight: bool = False
    readmitted_at: float = -math.inf

    def record(self, now: float, failure: bool, weight: int, window: float) -> int:
        """Records an outcome and returns the number of failures that count: those within the window, or the
        consecutive ones if they are more. A sidecar with little traffic meets a server that always fails too
        rarely for the window to contain several failures."""
        self.failure_rate.add(now, float(failure))
        self.consecutive_failures = self.consecutive_failures + weight if failure else 0
        if not failure:
            return 0
        self.failures.append(now)
        while self.failures[0] < now - window:
            self.failures.popleft()
        return max(len(self.failures), self.consecutive_failures)


class Action(Enum):
    """Kinds of decisions."""

    ATTEMPT = "hand off"
    CANCEL = "call off"
    REJECT = "dismiss"
    DROP = "scrap"
    SUBSCRIBE = "subscribe"


@dataclass(slots=True)
class Decision:
    """A step that the host has to carry out."""

    action: Action
    request_id: str = ""
    server: str = ""
    timeout: float = 0.0  # of an attempt; 0: until the client gives up
    number: int = 0  # index, among the request's attempts, of the one to cancel
    retry_after: float = 0.0  # seconds after which a rejected client may retry; 0: no advice
