"""Real coordinators and sidecars' parts (`car`) on loopback, a relay on each way between them, and a stand-in
server that notes when which act came. Judged by that ledger alone: once somebody has acted on a version that
is in force, nobody's act may be one that it forbids.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import re
import shutil
import signal
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.compatibility import Kind
from foxspread.consensus.client import call
from foxspread.lab.processes.fleet_rules_simulation import drawn
from foxspread.lab.processes.fleet import Fleet
from foxspread.lab.processes.real import ERRORS, Play
from foxspread.lab.processes.relay import Relay
from foxspread.lab.processes.scenario import Scenario

CAR_FAULTS = ("silent", "silent_out", "silent_in", "reset", "held", "half_open", "stall", "restart")
NODE_FAULTS = ("silent", "stall", "kill", "term", "hand_over")
LATE = 0.05  # seconds that a line may be on its way to the server: it was sent before it was seen


@dataclass
class Act:
    at: float
    car: str
    mode: str
    phase: int
    settled: int
    rules: dict[str, Any]


@dataclass
class Told:
    seed: int
    faults: list[str]
    befell: list[str]
    acts: dict[str, int] = field(default_factory=dict)
    versions: int = 0
    worst: dict[str, float] = field(
        default_factory=dict
    )  # by key without anything between: longest contradiction
    reached: list[float] = field(default_factory=list)  # from put to acted on by all that were not cut off


class Car:
    def __init__(self, play: "Sidecars", name: str) -> None:
        self.play, self.name = play, name
        self.chance = play.fleet.rng(name)
        self.ways = {
            each: Relay(f"{name}-{each}", play.fleet.rng(f"{name}-{each}")) for each in play.fleet.names
        }
        self.file = play.fleet.folder / f"{name}.json"
        self.log = play.fleet.folder / f"{name}.log"
        self.rate, self.starts = 1.0, 0  # clocks that run fast or slow: in virtual time
        self.process: asyncio.subprocess.Process | None = None
        self.older: list[pathlib.Path] = []

    async def start(self) -> None:
        self.starts += 1
        told = {
            "id": f"{self.name}/{self.starts}",
            "seed": self.chance.getrandbits(32),
            "rate": self.rate,
            "file": str(self.file),
            "boot": "lab",
            "mutant": self.play.mutant,
            "acts": 25.0,
            "server": f"127.0.0.1:{self.play.port}",
            "coordinators": [str(relay.address) for relay in self.ways.values()],
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "foxspread.lab.processes.lease_holder_process",
                json.dumps(told),
                stdout=log,
                stderr=log,
            )

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def befalls(self, kind: str, lasts: float) -> None:
        self.play.befell.append(f"{self.play.now():.3f} {kind} {self.name} {lasts:.3f}")
        if kind == "stall":
            self.process.send_signal(signal.SIGSTOP)
            await self.play.wait(lasts)
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
        elif kind == "restart":
            await self.end()
            if self.file.exists():
                copy = self.file.with_suffix(f".{self.starts}")
                shutil.copy(self.file, copy)
                self.older.append(copy)
                what = self.chance.choice(("kept", "wiped", "older"))
                if what == "wiped":
                    self.file.unlink()
                elif what == "older":
                    shutil.copy(self.chance.choice(self.older), self.file)
            await self.start()
        else:
            for relay in self.ways.values():
                relay.begin(kind)
            try:
                await self.play.wait(lasts)
            finally:
                for relay in self.ways.values():
                    relay.end(kind)


class Sidecars:
    """With parts of sidecars (`car`); `whole` has its own cars, and judges by what its servers saw."""

    car_kind = Car
    car_faults = CAR_FAULTS

    def __init__(
        self,
        seed: int,
        cars: int = 12,
        seconds: float = 20.0,
        lease: float = 1.5,
        every: float = 0.8,
        faults: bool = True,
        mutant: str = "",
        script: tuple[tuple[float, str, str, float], ...] = (),
        versions: int = 1000,
        alone: float = 3.0,
        puts: tuple[tuple[float, int], ...] = (),
    ) -> None:
        self.scenario = Scenario(
            "agreed", seconds=seconds, settle=1.0 if mutant else 10.0, lease=lease, alone=alone
        )
        self.play = Play(self.scenario, seed)
        self.fleet: Fleet = self.play.fleet
        self.chance, self.seed, self.every, self.faulty = self.fleet.rng("agreed"), seed, every, faults
        self.count, self.acts, self.befell = cars, [], self.play.befell
        self.cars: dict[str, Car] = {}
        self.mutant, self.script = mutant, script  # when, what, which car or coordinator, for how long
        self.versions = versions  # at the most
        self.puts = puts  # when, and with how many hand-offs at the most; none: whenever, as drawn
        self.texts: dict[int, bytes] = {}
        self.begun = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.begun

    async def wait(self, seconds: float) -> None:
        end = self.now() + seconds
        while self.now() < min(end, self.scenario.seconds):
            await asyncio.sleep(min(0.05, max(0.0, end - self.now())))

    async def _server(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = (await reader.readline()).decode().strip()
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                row = json.loads(line)
                self.acts.append(
                    Act(self.now(), name, row["mode"], row["phase"], row["settled"], row["rules"])
                )
        writer.close()

    async def _write(self) -> None:
        """One writer of versions, through any coordinator."""
        chance, count = self.fleet.rng("writer"), 0
        while self.now() < self.scenario.seconds:
            count += 1
            text = self.drawn(chance, count)
            if self.puts:
                if count > len(self.puts):
                    return
                at, hands = self.puts[count - 1]
                await self.wait(at - self.now())
                # One text with another limit: a roll-back is the first one's content again.
                text = self.drawn(self.fleet.rng("puts"), 0)
                text = re.sub(rb"(?m)^max_hand_offs = \d+", b"max_hand_offs = %d" % hands, text, count=1)
            body = json.dumps(
                {"content": text.decode(), "request": f"v{count}", "who": "lab", "even_so": True}
            ).encode()
            while self.now() < self.scenario.seconds:
                with contextlib.suppress(*ERRORS):
                    relay = self.fleet.writers[chance.choice(self.fleet.names)]
                    if (await call(relay.address, "POST", "/rules", body, 1.5)).value.get("status") in (
                        "done",
                        "refused",
                    ):
                        break
                await asyncio.sleep(0.05)
            if not self.puts:
                last = self.versions <= count
                await self.wait(self.scenario.seconds if last else chance.uniform(0.5, 2.5))

    def drawn(self, chance: random.Random, count: int) -> bytes:
        return drawn(chance, self.count, count)

    async def opened(self) -> None:
        """Before the sidecars start."""
        self.server = await asyncio.start_server(self._server, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def ended(self) -> None:
        """After the sidecars."""
        self.server.close()

    async def work(self) -> None:
        """What goes on beside writers and faults."""

    async def _scripted(self) -> None:
        async def one(at: float, kind: str, name: str, lasts: float) -> None:
            await self.wait(at)
            if name in self.cars:
                await self.cars[name].befalls(kind, lasts)
            else:
                await self.play.befalls(kind, lasts, await self.play.whom(name))

        await asyncio.gather(*(one(*row) for row in self.script))

    async def _befall(self) -> None:
        tasks: list[asyncio.Task] = []
        busy: set[str] = set()
        while self.faulty and self.now() < self.scenario.seconds - 1.0:
            await self.wait(self.chance.expovariate(1 / self.every))
            lasts = min(0.1 + self.chance.expovariate(0.7), 4.0)
            if self.chance.random() < 0.3:
                name, kind = self.chance.choice(self.fleet.names), self.chance.choice(NODE_FAULTS)
                what = self.play.befalls(kind, lasts, name)
            else:
                name = self.chance.choice(sorted(self.cars))
                what = self.cars[name].befalls(self.chance.choice(self.car_faults), lasts)
            if name in busy:
                what.close()
                continue
            busy.add(name)
            task = asyncio.create_task(what)
            task.add_done_callback(lambda _, name=name: busy.discard(name))
            tasks.append(task)
        await asyncio.gather(*tasks)

    async def run(self) -> Told:
        async with self.fleet:
            await self.opened()
            try:
                for at in range(self.count):
                    self.cars[f"s{at}"] = self.car_kind(self, f"s{at}")
                for car in self.cars.values():
                    for name, relay in car.ways.items():
                        self.fleet.more.setdefault(name, []).append(relay)
                        relay.target = self.fleet.children[name].address
                self.begun = self.play.begun = time.monotonic()
                await asyncio.gather(*(car.start() for car in self.cars.values()))
                await asyncio.gather(self._write(), self._befall(), self._scripted(), self.work())
                last = await self._settled()
                await self._texts()
            finally:
                for car in self.cars.values():
                    await car.end()
                await self.ended()
        return self.judged(last)

    async def _course(self) -> dict[str, Any]:
        found = []
        for child in self.fleet.children.values():
            with contextlib.suppress(*ERRORS):
                found.append((await call(child.address, "GET", "/course", within=1.0)).value)
        return max(found, key=lambda row: (row["leads"], row["phase"]), default={})

    async def _settled(self) -> str:
        """ "" once all act on the version that is in force."""
        end, told = time.monotonic() + self.scenario.settle, ""
        while time.monotonic() < end:
            row = await self._course()
            behind = self.behind(row)
            over = (
                row
                and not row["next"]
                and (row["settled"] == row["latest"] or str(row["latest"]) in row["withdrawn"])
            )
            if over and not behind:
                return ""
            steps = {each: row.get(each) for each in ("phase", "next", "settled", "latest")}
            told = f"not settled after {self.scenario.settle:g} s: {steps}, behind {behind}"
            await asyncio.sleep(0.1)
        return told

    def behind(self, row: dict[str, Any]) -> list[str]:
        """Who doesn't act on what is in force."""
        recent = {act.car.partition("/")[0]: act for act in self.acts if act.at > self.now() - 1.0}
        return [
            name
            for name in self.cars
            if name not in recent or (recent[name].mode, recent[name].phase) != ("settled", row.get("phase"))
        ]

    async def _texts(self) -> None:
        row = await self._course()
        for number in range(1, row.get("latest", 0) + 1):
            for child in self.fleet.children.values():
                with contextlib.suppress(*ERRORS, KeyError, TypeError):
                    value = (await call(child.address, "GET", f"/rules/{number}", within=2.0)).value
                    self.texts[number] = value["version"]["content"].encode()
                    break

    def judged(self, last: str) -> Told:
        found = Told(self.seed, [last] if last else [], self.befell)
        forced: dict[int, tuple[float, int]] = {}  # by phase: the first act on a version alone, and which
        for act in self.acts:
            found.acts[act.mode] = found.acts.get(act.mode, 0) + 1
            if act.mode == "settled" and act.phase not in forced:
                forced[act.phase] = (act.at, act.settled)
        steps = sorted(forced.items())
        found.versions = len({number for _, number in forced.values()})
        for act in self.acts:
            known = [
                (at, number) for phase, (at, number) in steps if at + LATE < act.at and phase > act.phase
            ]
            if not known or act.mode == "settled" and known[-1][1] == act.settled:
                continue
            since, number = known[-1]
            rules = content(self.texts[number]).rules
            for path, text in compatibility.against(act.rules, rules):
                ago = act.at - since
                if not path.endswith(".") and compatibility.key_of(path).kind is Kind.SWITCH:
                    found.worst[path] = max(found.worst.get(path, 0.0), ago)
                    if ago <= self.scenario.lease * 1.02 + LATE:
                        continue
                if len(found.faults) < 5:
                    found.faults.append(
                        f"{act.car} {act.mode} in phase {act.phase}, {ago:.3f} s after the first act on "
                        f"version {number}, which is in force: {path} {text}"
                    )
        return found


async def played(seed: int, **told: Any) -> Told:
    return await Sidecars(seed, **told).run()
