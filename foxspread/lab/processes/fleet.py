"""Real coordinators on loopback, with a relay on each connection that faults may strike.

Each is a process with a folder of its own; relays stand between each two and between writers and each. Ports
are the system's. All processes end by their ids with the block, in any case.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import sys
import tempfile
import time
import zlib
from collections.abc import Callable

from foxspread.config import Address
from foxspread.consensus import messages, wire
from foxspread.lab.processes.child import FSYNC_FAULT_FILE
from foxspread.lab.processes.relay import Relay
from foxspread.lab.processes.scenario import Scenario
from foxspread.lab.scenario import SocketsError

START_WITHIN, END_WITHIN = 20.0, 5.0
LISTEN = re.compile(r"listen=(\S+):(\d+)")


class Child:
    """One coordinator's process, over its starts."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.folder = fleet.folder / name
        self.file, self.log = fleet.folder / f"{name}.toml", fleet.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.address: Address | None = None
        self.rate, self.join_existing, self.suspended, self.starts = 1.0, False, False, 0
        self.peer_relays: dict[str, Relay] = {}  # to the other members

    def write_configuration(self) -> None:
        """The file that the process reads at its start."""
        names = self.fleet.names
        rows = [
            'fleet = "lab"',
            f'name = "{self.name}"',
            'listen = "127.0.0.1:0"',
            f'folder = "{self.folder}"',
            f"joins = {str(self.join_existing).lower()}",
            "[members]",
            *(f'{each} = "{self.fleet.address_of(each)}"' for each in names),
            "[reach]",
            *(f'{each} = "{relay.address}"' for each, relay in self.peer_relays.items()),
            "[times]",
            f"beat = {self.fleet.scenario.beat}",
            f"election = {self.fleet.scenario.election}",
            "[leases]",
            f"lease = {self.fleet.scenario.lease}",
            f"alone = {self.fleet.scenario.alone}",
        ]
        self.file.write_text("\n".join(rows) + "\n")

    @property
    def running(self) -> bool:
        """Whether the process has started and not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Until it listens. Raises `SocketsError` with its log where it ends before."""
        self.write_configuration()
        self.starts += 1
        before = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "foxspread.lab.processes.child",
                str(self.file),
                str(self.rate),
                *([self.fleet.mutant] if self.fleet.mutant else []),
                stderr=log,
                stdout=log,
            )
        end = time.monotonic() + START_WITHIN
        while True:
            with self.log.open("rb") as log:
                log.seek(before)
                text = log.read().decode(errors="replace")
            if address := LISTEN.search(text):
                break
            if not self.running or time.monotonic() > end:
                raise SocketsError(f"{self.name} does not start: {text[-2000:]}")
            await asyncio.sleep(0.01)
        self.address, self.suspended = Address(address[1], int(address[2])), False
        for relay in self.fleet.relays_to(self.name):
            relay.target = self.address

    async def end(self, number: int = signal.SIGKILL) -> None:
        """Ends the process by a signal; by SIGKILL where it does not follow in time."""
        if self.running:
            if self.suspended and number != signal.SIGKILL:
                self.resume()
            self.process.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), END_WITHIN)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for relay in self.fleet.relays_to(self.name):
            relay.target = None

    def suspend(self) -> None:
        """Suspends the process by SIGSTOP."""
        if self.running:
            self.process.send_signal(signal.SIGSTOP)
            self.suspended = True

    def resume(self) -> None:
        """Ends a suspension."""
        if self.running and self.suspended:
            self.process.send_signal(signal.SIGCONT)
        self.suspended = False

    def disk_full(self, on: bool) -> None:
        """By the file-size limit of that process: its files grow no more."""
        if self.running:
            largest = max((each.stat().st_size for each in self.folder.iterdir()), default=0)
            limit = largest if on else resource.RLIM_INFINITY
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def fsync_fails(self, on: bool) -> None:
        """Makes each fsync of the process fail, or none."""
        if on:
            (self.folder / FSYNC_FAULT_FILE).touch()
        else:
            (self.folder / FSYNC_FAULT_FILE).unlink(missing_ok=True)

    def wipe(self) -> None:
        """Deletes its folder."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def copy_folder(self) -> pathlib.Path:
        """A copy of its folder as it is; of a process that runs, so it may be torn, as a power cut would
        leave it."""
        copied = self.fleet.folder / f"{self.name}-{time.monotonic_ns()}"
        shutil.copytree(self.folder, copied)
        return copied

    def restore(self, copied: pathlib.Path) -> None:
        """Puts an earlier copy of its folder in place."""
        self.wipe()
        shutil.copytree(copied, self.folder)


class Fleet:
    """`saw` gets each envelope that a relay sees. With `keep`, folders and logs stay where it failed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        saw: Callable[[messages.Envelope], None] | None = None,
        mutant: str = "",
    ) -> None:
        self.scenario, self.seed, self.mutant = scenario, seed, mutant
        self.saw = saw or (lambda envelope: None)
        self.names = [f"c{at}" for at in range(1, scenario.members + 1)]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="foxspread-lab-"))
        self.children = {each: Child(self, each) for each in self.names}
        self.extra_relays: dict[str, list[Relay]] = {}  # to each, as from sidecars
        self.writers: dict[str, Relay] = {}  # from all writers to each

    def address_of(self, name: str) -> str:
        """An address that nobody listens at: each connection goes through its relay."""
        return f"127.0.0.1:{self.names.index(name) + 1}"

    def relays_to(self, name: str) -> list[Relay]:
        """The relays through which others call a member."""
        relays = [child.peer_relays[name] for child in self.children.values() if name in child.peer_relays]
        return [*relays, self.writers[name], *self.extra_relays.get(name, [])]

    def relays_of(self, name: str) -> list[Relay]:
        """All of a member, both ways."""
        return [*self.relays_to(name), *self.children[name].peer_relays.values()]

    def rng(self, name: str) -> random.Random:
        """A source of chance for one part of the run."""
        return random.Random(zlib.crc32(f"{name}:{self.seed}".encode()))

    def _seen(self, body: bytes) -> None:
        try:
            self.saw(wire.decode(body))
        except Exception:  # a body of another kind: nothing for the ledger
            pass

    async def __aenter__(self) -> "Fleet":
        for one in self.names:
            self.writers[one] = Relay(f"w-{one}", self.rng(f"w-{one}"))
            for other in self.names:
                if one != other:
                    name = f"{one}-{other}"
                    self.children[one].peer_relays[other] = Relay(name, self.rng(name), self._seen)
        try:
            await asyncio.gather(*(child.start() for child in self.children.values()))
        except BaseException:
            await self.__aexit__(SocketsError)
            raise
        return self

    async def __aexit__(self, kind: type[BaseException] | None = None, *_: object) -> None:
        for child in self.children.values():
            await child.end()
        relays = [
            *self.writers.values(),
            *(each for child in self.children.values() for each in child.peer_relays.values()),
            *(each for several in self.extra_relays.values() for each in several),
        ]
        await asyncio.gather(*(relay.close() for relay in relays))
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.folder}", file=sys.stderr)

    def pids(self) -> list[int]:
        """Of the processes that run."""
        return [child.process.pid for child in self.children.values() if child.running]


def resident_mb(pid: int) -> float:
    """MB."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def processor_s(pid: int) -> float:
    """Seconds of a core that the process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
