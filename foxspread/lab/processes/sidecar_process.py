"""A lease holder's process in a run on loopback, over its starts: a relay on its way to each coordinator, and
the faults that strike it. `end_to_end_sidecar` has whole sidecars on the same.
"""

import asyncio
import contextlib
import pathlib
import shutil
import signal
import sys
from typing import Any

from foxspread.lab.processes.lease_holder_process import Arguments
from foxspread.lab.processes.relay import Relay

ACTS_A_SECOND = 25.0


class SidecarProcess:
    """`relays`: by coordinator. `older_files`: copies of what it had kept at earlier restarts."""

    def __init__(self, run: Any, name: str) -> None:
        self.run, self.name, fleet = run, name, run.fleet
        self.chance = fleet.rng(name)
        self.relays = {each: Relay(f"{name}-{each}", fleet.rng(f"{name}-{each}")) for each in fleet.names}
        self.file = fleet.folder / f"{name}.json"
        self.log = fleet.folder / f"{name}.log"
        self.rate, self.starts = 1.0, 0  # clocks that run fast or slow: in virtual time
        self.process: asyncio.subprocess.Process | None = None
        self.older_files: list[pathlib.Path] = []

    def coordinators(self) -> list[str]:
        """Addresses of the coordinators as it reaches them."""
        return [str(relay.address) for relay in self.relays.values()]

    async def start(self) -> None:
        """Starts the process; it goes on from its file, where there is one."""
        self.starts += 1
        arguments = Arguments(
            holder_id=f"{self.name}/{self.starts}",
            seed=self.chance.getrandbits(32),
            rate=self.rate,
            file=str(self.file),
            boot="lab",
            mutant=self.run.mutant,
            acts=ACTS_A_SECOND,
            server=f"127.0.0.1:{self.run.port}",
            coordinators=self.coordinators(),
        )
        module = "foxspread.lab.processes.lease_holder_process"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, arguments.encoded(), stdout=log, stderr=log
            )

    async def end(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def strike(self, kind: str, lasts: float) -> None:
        """A fault of this process, or of all its ways to coordinators."""
        self.run.events.append(f"{self.run.now():.3f} {kind} {self.name} {lasts:.3f}")
        if kind == "stall":
            self.process.send_signal(signal.SIGSTOP)
            await self.run.wait(lasts)
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
        elif kind == "restart":
            await self.end()
            if self.file.exists():
                self._change_file()
            await self.start()
        else:
            await self.break_relays(list(self.relays.values()), kind, lasts)

    async def break_relays(self, relays: list[Relay], kind: str, lasts: float) -> None:
        """A fault of these ways."""
        for relay in relays:
            relay.begin(kind)
        try:
            await self.run.wait(lasts)
        finally:
            for relay in relays:
                relay.end(kind)

    def _change_file(self) -> None:
        """Over a restart the file stays, is lost, or is an older one."""
        copy = self.file.with_suffix(f".{self.starts}")
        shutil.copy(self.file, copy)
        self.older_files.append(copy)
        what = self.chance.choice(("kept", "wiped", "older"))
        if what == "wiped":
            self.file.unlink()
        elif what == "older":
            shutil.copy(self.chance.choice(self.older_files), self.file)
