"""The process of a coordinator as the lab starts it, with faults that need its inside.

Its clock may run fast or slow, its fsync fails while a file stands in its folder, and on request it has a
part that a mutant breaks.

    python -m foxspread.lab.processes.child FILE RATE [MUTANT]
"""

import os
import pathlib
import sqlite3
import sys
from typing import Any

from foxspread.cli.coordinator import serve
from foxspread.consensus.clock import Clock
from foxspread.consensus.storage import Storage
from foxspread.consensus.versions import VersionStore
from foxspread.fleet_rules.coordinator_process import LeaseManagerProcess
from foxspread.fleet_rules.lease_manager import LeaseManager
from foxspread.fleet_rules.rollout import Rollout

FSYNC_FAULT_FILE = "fsync-fails"  # a file of this name in the folder


class FailingDisk(Storage):
    """A storage whose fsync fails while a file stands beside it."""

    def commit_transaction(self) -> None:
        """Fails, or syncs."""
        if os.path.exists(self.folder / FSYNC_FAULT_FILE):
            raise sqlite3.OperationalError("fsync: input/output error")
        super().commit_transaction()


def main(args: list[str]) -> int:
    """Serves until a signal; returns the exit code."""
    file, rate = args[0], float(args[1])
    if args[2:]:
        from foxspread.lab.processes.mutants import MUTANTS

        broken = MUTANTS[args[2]].broken
        LeaseManager.node_type = broken.member
        if broken.versions is not VersionStore:
            LeaseManager.store_type = type("Broken", (broken.versions, Rollout), {})

    class Child(LeaseManagerProcess):
        storage_type = FailingDisk

        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments, Clock(rate))

    return serve(str(pathlib.Path(file)), Child)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
