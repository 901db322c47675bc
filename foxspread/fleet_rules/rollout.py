"""What the coordinators' log makes for sidecars: versions, which of them is in force, which is announced, who
holds leases. Pure; the same entries give the same course. The phase rises by one with each step, so that what
is older is known as such.
"""

import msgspec

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.config import ConfigError
from foxspread.consensus.messages import Row, encoded
from foxspread.consensus.versions import Conflict, Done, Misused, Put, State, Version, Versions

HOLDERS_MOST = 10_000
ALONES_MOST = 64  # alone parts that somebody may act on; a further version waits until one has run out


class Terms(Row, frozen=True, tag="terms"):
    """Seconds. `drift`: by how much a clock may run fast or slow. `alone`: how long a sidecar acts on the
    alone part after it last asked. `refusals`: how many may turn a version down without it being withdrawn.
    They stand in the log, for a member that waits for shorter leases than another gives would let two
    contradict each other."""

    lease: float = 10.0
    alone: float = 300.0
    drift: float = 0.02
    refusals: int = 0

    def runs_out(self, seconds: float) -> float:
        """By when, on a clock of a coordinator, what was given for so long has run out on any other."""
        return seconds * (1 + self.drift)

    def bound(self) -> float:
        """For keys with nothing between: how long two may contradict each other, without the way of one
        message."""
        return self.lease * (1 + self.drift)


class Open(Row, frozen=True, tag="open"):
    """These may be given leases from here on."""

    holders: list[str]


class Close(Row, frozen=True, tag="close"):
    """No leases for these any more; what they were given may still run."""

    holders: list[str]


class Announce(Row, frozen=True, tag="announce"):
    version: int


class Force(Row, frozen=True, tag="force"):
    """The version that was announced with this phase is in force."""

    phase: int


class Withdraw(Row, frozen=True, tag="withdraw"):
    """The version that was announced with this phase is given up, for what a sidecar, or a check, said."""

    phase: int
    who: str
    why: str


class Drop(Row, frozen=True, tag="drop"):
    """Nobody can act on this version's alone part any more."""

    version: int


Command = Put | Terms | Open | Close | Announce | Force | Withdraw | Drop


class CourseState(Row):
    state: State
    phase: int
    settled: int
    next: int
    holders: list[str]
    alones: list[int]
    withdrawn: dict[int, str]
    terms: Terms | None
    more: bytes = b""  # of what stands on it (foxspread/singleton)


class Course(Versions):
    def __init__(self) -> None:
        super().__init__()
        self.phase, self.settled, self.next = 0, 0, 0
        self.holders: set[str] = set()
        self.alones: list[int] = []  # versions whose alone part somebody may act on
        self.withdrawn: dict[int, str] = {}  # by number, why
        self.terms: Terms | None = None  # the first that were proposed; no lease is given before

    def apply(self, body: bytes) -> Done | Conflict | Misused | None:
        command = msgspec.msgpack.decode(body, type=Command)
        if isinstance(command, Put):
            return self.put(command)
        if isinstance(command, Terms):
            self.terms = self.terms or command
        elif isinstance(command, Open):
            self.holders |= set(command.holders[: max(0, HOLDERS_MOST - len(self.holders))])
        elif isinstance(command, Close):
            self.holders -= set(command.holders)
        elif isinstance(command, Announce):
            if not self.next and command.version == self.due():
                self.phase, self.next = self.phase + 1, command.version
        elif isinstance(command, Drop):
            if command.version not in (self.settled, self.next) and command.version in self.alones:
                self.alones.remove(command.version)
        elif command.phase == self.phase and self.next:
            version, self.next, self.phase = self.next, 0, self.phase + 1
            if isinstance(command, Force):
                self.settled = version
                if self._has_alone(version):
                    self.alones.append(version)
            else:
                self.withdrawn[version] = f"{command.who}: {command.why}"
        return None

    def due(self) -> int:
        """The version to be announced next, 0 where there is none: the latest, and no older one."""
        if self.latest <= self.settled or self.latest in self.withdrawn or len(self.alones) >= ALONES_MOST:
            return 0
        return self.latest

    def _has_alone(self, number: int) -> bool:
        try:
            return bool(content(self.by_number[number].content).alone)
        except (ConfigError, compatibility.NoRule):
            return True

    def unfit(self, number: int) -> str:
        """Why a version can't be announced now: what somebody alone would do that it doesn't allow."""
        try:
            mine = content(self.by_number[number].content)
            for faults in (
                compatibility.faults(mine.alone, mine.rules),
                *(
                    compatibility.faults(content(self.by_number[each].content).alone, mine.rules)
                    for each in self.alones
                ),
            ):
                for fault in faults:
                    return fault
        except (ConfigError, compatibility.NoRule) as error:
            return str(error)
        return ""

    def saved(self) -> bytes:
        return encoded(
            CourseState(
                State(self.latest, list(self.by_number.values())),
                self.phase,
                self.settled,
                self.next,
                sorted(self.holders),
                self.alones,
                self.withdrawn,
                self.terms,
                self.saved_more(),
            )
        )

    def saved_more(self) -> bytes:
        return b""

    def restore_more(self, data: bytes) -> None:
        """What `saved_more` gave."""

    def restore(self, data: bytes) -> None:
        if not data:
            return super().restore(data)
        told = msgspec.msgpack.decode(data, type=CourseState)
        super().restore(encoded(told.state))
        self.phase, self.settled, self.next = told.phase, told.settled, told.next
        self.holders, self.alones, self.withdrawn = set(told.holders), told.alones, told.withdrawn
        self.terms = told.terms
        self.restore_more(told.more)

    def version(self, number: int) -> Version | None:
        return self.by_number.get(number)
