"""What a simulated run of coordinators is made of: its bounds, its faults, and parts that mutants replace.

Scenarios, mutants and the simulation share these; they stand apart so that none of them imports another for
a constant.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from foxspread.consensus.raft import RaftNode, RaftSettings
from foxspread.consensus.versions import VersionStore

if TYPE_CHECKING:
    from foxspread.lab.processes.simulated_node import SimulatedDisk

# The names of faults, as scripts, reports and the command line have them.
FAULTS = (
    "silent",
    "silent_in",
    "silent_out",
    "split",
    "flap",
    "loss",
    "held",
    "repeat",
    "stall",
    "away",
    "kill",
    "kill_at_write",
    "disk_slow",
    "disk_fails",
    "clock",
    "hand_over",
    "replace",
)
# Lossy faults take from a disk what it had promised. They come alone: with another member away as well they
# are more than the fleet can bear (docs/design/consensus.md).
LOSSY = ("wipe", "put_back")


@dataclass(frozen=True)
class Plan:
    """The bounds of a run; the seed draws the rest.

    Faults begin within `seconds`; during `recovery_seconds` nothing fails, and at its end all must be well.
    `think_time` is the mean time between two operations of a writer, `long_content_share` the share of puts
    with long contents. A run takes one of `compact_bytes` as its threshold of compaction.
    """

    members: int = 3
    seconds: float = 8.0
    recovery_seconds: float = 5.0
    writers: int = 3
    think_time: float = 0.15
    faults: tuple[str, ...] = FAULTS
    lossy: tuple[str, ...] = LOSSY
    max_faults: int = 6
    long_content_share: float = 0.15
    compact_bytes: tuple[int, ...] = (2_000, 20_000, 1_000_000)
    settings: RaftSettings = RaftSettings()


@dataclass
class Broken:
    """Parts that a mutant puts in place of the sound ones."""

    member: type[RaftNode] = RaftNode
    versions: type[VersionStore] = VersionStore
    disk: "type[SimulatedDisk] | None" = None
