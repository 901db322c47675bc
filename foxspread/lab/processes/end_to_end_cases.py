"""The hard cases by name, with whole sidecars: what strikes whom at which moment of a rollout."""

from typing import Any

from foxspread.lab.processes import end_to_end
from foxspread.lab.processes.end_to_end_judge import EndToEndResult

THIRD = tuple(f"s{at}" for at in range(4))
# Each by its name: what strikes whom, and when. A seed that is odd has the list of servers in its versions.
CASES: dict[str, dict[str, Any]] = {
    "a server moves from one group to another while a third is cut off": {
        "seed": 1,
        "script": tuple((at, "silent", each, 3.0) for each in THIRD for at in (3.0, 8.0, 13.0)),
    },
    "stopped for longer than its lease": {
        "script": tuple((at, "stall", "s1", 2.5) for at in (3.0, 7.0, 11.0, 15.0)),
    },
    "stopped while it confirms": {
        "script": tuple((at, "stall", "s1", 1.8) for at in (4.03, 8.05, 12.07)),
        "puts": ((0.5, 5), (4.0, 1), (8.0, 4), (12.0, 2)),
    },
    "it hears, and is not heard": {
        "script": ((3.0, "silent_out", "s1", 6.0), (12.0, "silent_out", "s2", 6.0))
    },
    "it is heard, and hears nothing": {
        "script": ((3.0, "silent_in", "s1", 6.0), (12.0, "silent_in", "s2", 6.0)),
    },
    "the leader killed between the steps, and again in the next term": {
        "script": tuple((at, "kill", "leader", 1.5) for at in (4.02, 4.9, 8.02, 8.9, 12.02, 12.9)),
        "puts": ((0.5, 5), (4.0, 1), (8.0, 4), (12.0, 2)),
    },
    "no majority for a minute": {
        "seconds": 70.0,
        "script": ((4.0, "silent", "c1", 60.0), (4.0, "silent", "c2", 60.0)),
    },
    "a limit lowered while a third is cut off": {
        "script": tuple((3.5, "silent", each, 8.0) for each in THIRD),
        "puts": ((0.5, 5), (4.0, 1)),
    },
    "a limit lowered and raised again within one lease": {
        "script": tuple((3.5, "silent", each, 5.0) for each in THIRD),
        "puts": ((0.5, 5), (4.0, 1), (4.8, 5)),
    },
    "two changes in a row, of which it hears the second": {
        "script": ((3.8, "silent_in", "s1", 1.2),),
        "puts": ((0.5, 5), (4.0, 1), (4.6, 3)),
    },
    "a roll-back during the two steps": {
        "script": ((3.5, "silent", "s1", 4.0),),
        "puts": ((0.5, 5), (4.0, 1), (4.05, 5)),
    },
    "restarted from a kept, a wiped and an older file": {
        "script": tuple((float(at), "restart", f"s{at % 3}", 0.1) for at in range(3, 17, 2)),
    },
    "a version that only some builds can read": {
        "mutant": "older_build",
        "mutant_names": ("s1", "s2"),
        "puts": ((0.5, 3), (4.0, 5), (8.0, 2)),
    },
}


async def played(name: str) -> EndToEndResult:
    """One case."""
    return await end_to_end.played(**{"seed": 2, "faults": False} | CASES[name])
