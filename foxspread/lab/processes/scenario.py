"""The file of a scenario of processes (TOML), for both ways to play it; read, checked and given defaults
here. Times are seconds.
"""

import pathlib
import tomllib

import msgspec

from foxspread.consensus.raft import RaftSettings
from foxspread.lab.processes import simulation_plan
from foxspread.lab.processes.relay import LINK_FAULTS
from foxspread.lab.scenario import ScenarioError, Strict

# What befalls processes and their disks; those of links stand in `relay`. A link's fault of a member is on
# all its links, to the others and to writers.
PROCESS_FAULTS = ("stall", "kill", "term", "disk_full", "fsync_fails", "clock", "hand_over", "replace")
LOSSY_FAULTS = ("wipe", "put_back")
WHOM = ("leader", "follower", "any")


class Fault(Strict):
    """One that befalls at a time of its own, whatever the seed."""

    at: float
    kind: str
    of: str = "any"  # a member's name, leader, follower, any
    lasts: float = 1.0


class Writers(Strict):
    count: int = 4
    pause: float = 0.05  # between two operations of one, in the mean
    late: float = 1.0  # an answer that has not come by then is not waited for; the next try is made
    patience: float = 4.0  # for all tries of one operation


class Drawn(Strict):
    """Faults that the seed draws."""

    kinds: list[str] = []
    every: float = 1.5  # in the mean
    longest: float = 3.0
    lossy: list[str] = []  # of these one befalls one seed in five, and nothing else with it


class Scenario(Strict):
    name: str
    members: int = 3
    seconds: float = 30.0
    settle: float = 6.0  # then nothing fails, and all must be well by its end
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
        told = tomllib.loads(pathlib.Path(path).read_text())
        found = msgspec.convert(told, Scenario)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(str(error)) from None
    known = LINK_FAULTS + PROCESS_FAULTS
    for key, kinds, allowed in (
        ("drawn.kinds", found.drawn.kinds, known),
        ("drawn.lossy", found.drawn.lossy, LOSSY_FAULTS),
        ("faults.kind", [each.kind for each in found.faults], known + LOSSY_FAULTS),
    ):
        for kind in kinds:
            if kind not in allowed:
                raise ScenarioError(f"'{key}' must be one of {', '.join(allowed)}, not {kind!r}")
    names = [f"c{at}" for at in range(1, found.members + 1)]
    for each in found.faults:
        if each.of not in (*WHOM, *names):
            raise ScenarioError(f"'faults.of' must be one of {', '.join((*WHOM, *names))}, not {each.of!r}")
        if not 0 <= each.at <= found.seconds:
            raise ScenarioError(f"'faults.at' must lie within 'seconds' ({found.seconds:g}), not {each.at:g}")
    for key, value, least, most in (
        ("members", found.members, 3, 7),
        ("seconds", found.seconds, 1, 3600),
        ("settle", found.settle, 1, 600),
        ("writers.count", found.writers.count, 1, 64),
        ("writers.pause", found.writers.pause, 0.001, 60),
        ("drawn.every", found.drawn.every, 0.05, 600),
        ("drawn.longest", found.drawn.longest, 0.05, 60),
        ("election", found.election, 3 * found.beat, 60),
    ):
        if not least <= value <= most:
            raise ScenarioError(f"'{key}' must lie from {least:g} to {most:g}, not {value:g}")
    if found.members % 2 == 0:
        raise ScenarioError(f"'members' must be 3, 5 or 7, not {found.members}")
    return found
