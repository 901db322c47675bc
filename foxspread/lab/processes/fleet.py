"""Real coordinators on loopback: each a process with a folder of its own, a relay on each way between two of
them and from the writers to each. Ports are the system's. All processes end by their ids with the block, in
any case.
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
from foxspread.lab.processes.child import FAILS
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
        self.rate, self.joins, self.stopped, self.starts = 1.0, False, False, 0
        self.reach: dict[str, Relay] = {}  # its links to the others

    def write(self) -> None:
        names = self.fleet.names
        rows = [
            'fleet = "lab"',
            f'name = "{self.name}"',
            'listen = "127.0.0.1:0"',
            f'folder = "{self.folder}"',
            f"joins = {str(self.joins).lower()}",
            "[members]",
            *(f'{each} = "{self.fleet.seat(each)}"' for each in names),
            "[reach]",
            *(f'{each} = "{relay.address}"' for each, relay in self.reach.items()),
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
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Until it listens. Raises `SocketsError` with its log where it ends before."""
        self.write()
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
            if found := LISTEN.search(text):
                break
            if not self.running or time.monotonic() > end:
                raise SocketsError(f"{self.name} does not start: {text[-2000:]}")
            await asyncio.sleep(0.01)
        self.address, self.stopped = Address(found[1], int(found[2])), False
        for relay in self.fleet.to(self.name):
            relay.target = self.address

    async def end(self, number: int = signal.SIGKILL) -> None:
        if self.running:
            if self.stopped and number != signal.SIGKILL:
                self.go_on()
            self.process.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), END_WITHIN)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for relay in self.fleet.to(self.name):
            relay.target = None

    def stop(self) -> None:
        if self.running:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = True

    def go_on(self) -> None:
        if self.running and self.stopped:
            self.process.send_signal(signal.SIGCONT)
        self.stopped = False

    def disk_full(self, on: bool) -> None:
        """By the file-size limit of that process: its files grow no more."""
        if self.running:
            most = max((each.stat().st_size for each in self.folder.iterdir()), default=0)
            limit = most if on else resource.RLIM_INFINITY
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def fsync_fails(self, on: bool) -> None:
        if on:
            (self.folder / FAILS).touch()
        else:
            (self.folder / FAILS).unlink(missing_ok=True)

    def wipe(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    def copy(self) -> pathlib.Path:
        """A copy of its folder as it is; of a process that runs, so it may be torn, as a power cut would
        leave it."""
        kept = self.fleet.folder / f"{self.name}-{time.monotonic_ns()}"
        shutil.copytree(self.folder, kept)
        return kept

    def put_back(self, kept: pathlib.Path) -> None:
        self.wipe()
        shutil.copytree(kept, self.folder)


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
        self.more: dict[str, list[Relay]] = {}  # further ways to each, as of sidecars
        self.writers: dict[str, Relay] = {}  # the way of all writers to each

    def seat(self, name: str) -> str:
        """Places that nobody listens at: each way goes over its relay."""
        return f"127.0.0.1:{self.names.index(name) + 1}"

    def to(self, name: str) -> list[Relay]:
        ways = [child.reach[name] for child in self.children.values() if name in child.reach]
        return [*ways, self.writers[name], *self.more.get(name, [])]

    def links(self, name: str) -> list[Relay]:
        """All of a member, both ways."""
        return [*self.to(name), *self.children[name].reach.values()]

    def rng(self, name: str) -> random.Random:
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
                    self.children[one].reach[other] = Relay(name, self.rng(name), self._seen)
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
            *(each for child in self.children.values() for each in child.reach.values()),
            *(each for several in self.more.values() for each in several),
        ]
        await asyncio.gather(*(relay.close() for relay in relays))
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.folder}", file=sys.stderr)

    def pids(self) -> list[int]:
        return [child.process.pid for child in self.children.values() if child.running]


def resident(pid: int) -> float:
    """MB."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def processor(pid: int) -> float:
    """Seconds of a core that the process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
