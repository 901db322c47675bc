"""What was seen during a soak: typed events of clients, servers, the operator and the platform.

Times are seconds on the machine's monotonic clock, which all processes of the machine share.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """How a request ended for its client."""

    RESPONSE = "response"
    CLOSED = "closed"  # the connection ended without a whole response
    TIMED_OUT = "timed out"  # the client waited until its deadline
    NOT_CONNECTED = "not connected"
    LEFT = "left"  # the client closed the connection itself
    OVERTAKEN = "overtaken"  # sent behind a response that closes the connection: not read


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a client, sent once."""

    id: str
    node: str  # the machine that took it
    service: str  # of that machine: the caller
    path: str
    body_checksum: int
    idempotent: bool
    deadline_s: float
    sent_at: float
    kept: bool  # whether its connection had carried requests before
    ended_at: float
    ending: Ending
    status: int = 0  # 0: no whole response
    response_error: str = ""  # how a success is not the server's own, whole response to this request


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request at a server; `ended_at` is None if the server did not end it."""

    id: str
    instance: str
    caller: str
    path: str
    body_checksum: int
    began_at: float
    ended_at: float | None
    fault: str  # that the server injected; empty: none


@dataclass(frozen=True, slots=True)
class SignalSent:
    """The platform sent a signal to the process of a node."""

    at: float
    node: str
    name: str  # as SIGTERM


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The platform started the process of a node."""

    at: float
    node: str


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """The process of a node ended; a negative code is that of the signal that ended it."""

    at: float
    node: str
    code: int


@dataclass(frozen=True, slots=True)
class MemorySample:
    """Anonymous memory of a node's process, in MiB."""

    at: float
    node: str
    mib: float


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one route; `acknowledged_at` is None if no clear answer came."""

    route: str
    version: int
    sent_at: float
    acknowledged_at: float | None


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A read of the configuration that was answered, with the version of each route."""

    node: str
    sent_at: float
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the platform, in seconds but for `memory_mib`."""

    grace_s: float
    in_touch_s: float
    config_s: float
    memory_mib: float


@dataclass
class History:
    """All events of one soak."""

    bounds: Bounds
    requests: list[Request] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    signals: list[SignalSent] = field(default_factory=list)
    process_starts: list[ProcessStart] = field(default_factory=list)
    process_ends: list[ProcessEnd] = field(default_factory=list)
    memory: list[MemorySample] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    silent_replicas: list[str] = field(default_factory=list)  # that gave no configuration at the end
    ended_at: float = 0.0

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Returns the runs of each request, by its id."""
        runs: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            runs[run.id].append(run)
        return runs

    def signals_to(self, node: str, names: Iterable[str]) -> Iterator[SignalSent]:
        """Yields the signals of those names that were sent to that node."""
        wanted = frozenset(names)
        return (each for each in self.signals if each.node == node and each.name in wanted)

    def unplanned_trouble(self, since: float, until: float) -> bool:
        """Returns whether any process was killed or stopped, or ended by itself, between the two times.

        A process that was killed at the end of its grace period counts too.
        """
        return any(
            since <= each.at <= until
            for each in (
                *(each for each in self.signals if each.name in ("SIGKILL", "SIGSTOP", "SIGCONT")),
                *(each for each in self.process_ends if each.code),
            )
        )
