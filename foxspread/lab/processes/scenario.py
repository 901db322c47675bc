"""The file of a scenario of processes (TOML): read, validated and given defaults here.

Real processes and virtual time run the same scenarios. Field names are the keys of the file; times are
seconds.
"""

import pathlib
import tomllib

import msgspec

from foxspread.consensus.raft import RaftSettings
from foxspread.lab.processes import simulation_plan
from foxspread.lab.processes.relay import LINK_FAULTS
from foxspread.lab.scenario import ScenarioError, Strict

# Faults of processes and of their disks; those of links are in `relay`. A link's fault of a member is on all
# its links, to the others and to writers.
PROCESS_FAULTS = ("stall", "kill", "term", "disk_full", "fsync_fails", "clock", "hand_over", "replace")
LOSSY_FAULTS = ("wipe", "put_back")
TARGETS = ("leader", "follower", "any")


class Fault(Strict):
    """A fault that strikes at a time of its own, whatever the seed."""

    at: float
    kind: str
    of: str = "any"  # a member's name, leader, follower, any
    lasts: float = 1.0


class Writers(Strict):
    """Clients, and how they retry. `pause`: the mean time between two operations of one; `late`: the time-out
    of an attempt; `patience`: the time for all attempts of one operation."""

    count: int = 4
    pause: float = 0.05
    late: float = 1.0
    patience: float = 4.0


class Drawn(Strict):
    """Faults that the seed draws."""

    kinds: list[str] = []
    every: float = 1.5  # in the mean
    longest: float = 3.0
    lossy: list[str] = []  # of these one strikes one seed in five, and nothing else with it


class Scenario(Strict):
    """What a file says. Faults end after `seconds`; by the end of the `settle` seconds that follow, all must
    be well."""

    name: str
    members: int = 3
    seconds: float = 30.0
    settle: float = 6.0
    beat: float = 0.06
    election: float = 0.3
    lease: float = 10.0
    alone: float = 300.0
    writers: Writers = msgspec.field(default_factory=Writers)
    drawn: Drawn = msgspec.field(default_factory=Drawn)
    faults: list[Fault] = []

    def plan(self) -> simulation_plan.Plan:
        """For virtual time, with those of the faults that there are there."""
        names = {"fsync_fails": "disk_fails", "disk_full": "disk_fails", "delay": "held", "term": "kill"}
        kinds = dict.fromkeys(names.get(each, each) for each in self.drawn.kinds)
        return simulation_plan.Plan(
            members=self.members,
            recovery_seconds=self.settle,
            writers=self.writers.count,
            faults=tuple(each for each in kinds if each in simulation_plan.FAULTS),
            lossy=tuple(self.drawn.lossy),
            settings=RaftSettings(self.beat, self.election),
        )


def load(path: str) -> Scenario:
    """Raises `ScenarioError` with key and value."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
        scenario = msgspec.convert(document, Scenario)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(str(error)) from None
    _check_kinds(scenario)
    _check_faults(scenario)
    _check_bounds(scenario)
    return scenario


def _check_kinds(scenario: Scenario) -> None:
    known_kinds = LINK_FAULTS + PROCESS_FAULTS
    for key, kinds, allowed in (
        ("drawn.kinds", scenario.drawn.kinds, known_kinds),
        ("drawn.lossy", scenario.drawn.lossy, LOSSY_FAULTS),
        ("faults.kind", [fault.kind for fault in scenario.faults], known_kinds + LOSSY_FAULTS),
    ):
        for kind in kinds:
            if kind not in allowed:
                raise ScenarioError(f"'{key}' must be one of {', '.join(allowed)}, not {kind!r}")


def _check_faults(scenario: Scenario) -> None:
    targets = (*TARGETS, *(f"c{number}" for number in range(1, scenario.members + 1)))
    for fault in scenario.faults:
        if fault.of not in targets:
            raise ScenarioError(f"'faults.of' must be one of {', '.join(targets)}, not {fault.of!r}")
        if not 0 <= fault.at <= scenario.seconds:
            limit = f"{scenario.seconds:g}"
            raise ScenarioError(f"'faults.at' must lie within 'seconds' ({limit}), not {fault.at:g}")


def _check_bounds(scenario: Scenario) -> None:
    for key, value, minimum, maximum in (
        ("members", scenario.members, 3, 7),
        ("seconds", scenario.seconds, 1, 3600),
        ("settle", scenario.settle, 1, 600),
        ("writers.count", scenario.writers.count, 1, 64),
        ("writers.pause", scenario.writers.pause, 0.001, 60),
        ("drawn.every", scenario.drawn.every, 0.05, 600),
        ("drawn.longest", scenario.drawn.longest, 0.05, 60),
        ("election", scenario.election, 3 * scenario.beat, 60),
    ):
        if not minimum <= value <= maximum:
            raise ScenarioError(f"'{key}' must lie from {minimum:g} to {maximum:g}, not {value:g}")
    if scenario.members % 2 == 0:
        raise ScenarioError(f"'members' must be 3, 5 or 7, not {scenario.members}")
