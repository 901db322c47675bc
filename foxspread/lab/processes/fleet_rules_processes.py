"""Real coordinators and lease holders on loopback, a relay on each way between them, and a stand-in server
that records when which act came. Judged by that record alone: once somebody has acted on a version that is in
force, nobody's act may be one that it forbids.
"""

import asyncio
import contextlib
import json
import random
import re
import time
from dataclasses import dataclass, field
from typing import Any

from foxspread.consensus.client import call
from foxspread.fleet_rules import codec, compatibility, key_rules
from foxspread.fleet_rules.lease_holder import Mode
from foxspread.fleet_rules.version_content import parse_version
from foxspread.lab.processes.fleet import Fleet
from foxspread.lab.processes.fleet_operator import ERRORS
from foxspread.lab.processes.lease_holder_process import ActRecord
from foxspread.lab.processes.random_versions import random_version
from foxspread.lab.processes.real import ProcessRun
from foxspread.lab.processes.scenario import Scenario
from foxspread.lab.processes.sidecar_process import SidecarProcess

# Names as they stand in scripts, in reports and in the journal.
SIDECAR_FAULTS = ("silent", "silent_out", "silent_in", "reset", "held", "half_open", "stall", "restart")
NODE_FAULTS = ("silent", "stall", "kill", "term", "hand_over")
NODE_FAULT_SHARE = 0.3
LATE_SECONDS = 0.05  # that a line may be on its way to the server: it was sent before it was seen
DRIFT = 1.02  # by which a lease's bound is longer than the lease
MAX_FAULT_SECONDS = 4.0
MAX_FAULTS = 5  # that are reported of a run
RECENT_SECONDS = 1.0  # in which a sidecar that works has acted
SETTLE_SECONDS, MUTANT_SETTLE_SECONDS = 10.0, 1.0  # at the end, for all to act on the latest version
ANNOUNCE_TIMEOUT = 1.5  # of a put; it is repeated with the same request id


@dataclass(frozen=True)
class Act:
    """An act as the server saw it."""

    at: float
    holder_id: str
    record: ActRecord


@dataclass(frozen=True)
class ScriptedFault:
    """`target`: a sidecar, a coordinator, or `leader`."""

    at: float
    kind: str
    target: str
    lasts: float


@dataclass
class RunResult:
    """What one run gave. `events`: the faults that struck, as lines. `longest_violations`: by key with
    nothing between two values, seconds."""

    seed: int
    faults: list[str]
    events: list[str]
    acts: dict[str, int] = field(default_factory=dict)
    versions: int = 0
    longest_violations: dict[str, float] = field(default_factory=dict)

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints and the journal keeps, by its first spelling."""
        return {
            "seed": self.seed,
            "faults": self.faults,
            "befell": self.events,
            "acts": self.acts,
            "versions": self.versions,
            "worst": self.longest_violations,
            "reached": [],
        }


class FleetRulesRun:
    """With lease holders alone; `end_to_end` has whole sidecars, and judges by what its servers saw.

    `script`: what strikes whom, when, for how long; `every`: seconds between drawn faults in the mean;
    `versions`: how many are put at the most; `puts`: when, and with how many hand-offs at the most; none:
    whenever, as drawn."""

    process_kind: type[SidecarProcess] = SidecarProcess
    sidecar_faults: tuple[str, ...] = SIDECAR_FAULTS

    def __init__(
        self,
        seed: int,
        sidecars: int = 12,
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
        settle = MUTANT_SETTLE_SECONDS if mutant else SETTLE_SECONDS
        self.scenario = Scenario("agreed", seconds=seconds, settle=settle, lease=lease, alone=alone)
        self.process_run = ProcessRun(self.scenario, seed)
        self.fleet: Fleet = self.process_run.fleet
        self.events: list[str] = self.process_run.faults.log
        self.chance, self.seed, self.every, self.faulty = self.fleet.rng("agreed"), seed, every, faults
        self.count, self.mutant, self.versions, self.puts = sidecars, mutant, versions, puts
        self.script = [ScriptedFault(*row) for row in script]
        self.sidecars: dict[str, SidecarProcess] = {}
        self.acts: list[Act] = []
        self.texts: dict[int, bytes] = {}
        self.began = time.monotonic()

    def now(self) -> float:
        """Seconds from the start of the run."""
        return time.monotonic() - self.began

    async def wait(self, seconds: float) -> None:
        """So long, or until faults end."""
        end = self.now() + seconds
        while self.now() < min(end, self.scenario.seconds):
            await asyncio.sleep(min(0.05, max(0.0, end - self.now())))

    # What differs with whole sidecars

    def random_version(self, chance: random.Random, count: int) -> bytes:
        """A text for the writer to put."""
        return random_version(chance, self.count, count)

    async def before_start(self) -> None:
        """Before the sidecars start: the server listens."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def after_end(self) -> None:
        """After the sidecars have ended."""
        self.server.close()

    async def work(self) -> None:
        """What goes on beside writers and faults."""

    def behind(self, row: dict[str, Any]) -> list[str]:
        """Who doesn't act on what is in force, by a coordinator's answer to GET /course."""
        recent = {
            act.holder_id.partition("/")[0]: act for act in self.acts if act.at > self.now() - RECENT_SECONDS
        }
        wanted = (Mode.IN_FORCE.value, row.get(codec.PHASE))
        return [
            name
            for name in self.sidecars
            if name not in recent or (recent[name].record.mode, recent[name].record.phase) != wanted
        ]

    # The run

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        holder_id = (await reader.readline()).decode().strip()
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                self.acts.append(Act(self.now(), holder_id, ActRecord(**json.loads(line))))
        writer.close()

    async def _write_versions(self) -> None:
        """One writer, through any coordinator."""
        chance, count = self.fleet.rng("writer"), 0
        while self.now() < self.scenario.seconds:
            count += 1
            text = self.random_version(chance, count)
            if self.puts:
                if count > len(self.puts):
                    return
                at, hand_offs = self.puts[count - 1]
                await self.wait(at - self.now())
                text = self._limited_version(hand_offs)
            await self._put(chance, text, f"v{count}")
            if not self.puts:
                last = self.versions <= count
                await self.wait(self.scenario.seconds if last else chance.uniform(0.5, 2.5))

    def _limited_version(self, hand_offs: int) -> bytes:
        """One text with another limit each time: a roll-back is the first one's content again."""
        text = self.random_version(self.fleet.rng("puts"), 0)
        return re.sub(rb"(?m)^max_hand_offs = \d+", b"max_hand_offs = %d" % hand_offs, text, count=1)

    async def _put(self, chance: random.Random, text: bytes, request: str) -> None:
        """Until it is answered."""
        body = {"content": text.decode(), "request": request, "who": "lab", "even_so": True}
        data = json.dumps(body).encode()
        while self.now() < self.scenario.seconds:
            with contextlib.suppress(*ERRORS):
                relay = self.fleet.writers[chance.choice(self.fleet.names)]
                reply = await call(relay.address, "POST", "/rules", data, ANNOUNCE_TIMEOUT)
                if reply.value.get("status") in ("done", "refused"):
                    return
            await asyncio.sleep(0.05)

    async def _follow_script(self) -> None:
        async def strike(fault: ScriptedFault) -> None:
            await self.wait(fault.at)
            if fault.target in self.sidecars:
                await self.sidecars[fault.target].strike(fault.kind, fault.lasts)
            else:
                name = await self.process_run.faults.resolve(fault.target)
                await self.process_run.faults.inject(fault.kind, fault.lasts, name)

        await asyncio.gather(*(strike(fault) for fault in self.script))

    async def _draw_faults(self) -> None:
        """One at a time for each sidecar and coordinator."""
        tasks: list[asyncio.Task] = []
        busy: set[str] = set()
        while self.faulty and self.now() < self.scenario.seconds - 1.0:
            await self.wait(self.chance.expovariate(1 / self.every))
            lasts = min(0.1 + self.chance.expovariate(0.7), MAX_FAULT_SECONDS)
            if self.chance.random() < NODE_FAULT_SHARE:
                name, kind = self.chance.choice(self.fleet.names), self.chance.choice(NODE_FAULTS)
                fault = self.process_run.faults.inject(kind, lasts, name)
            else:
                name = self.chance.choice(sorted(self.sidecars))
                fault = self.sidecars[name].strike(self.chance.choice(self.sidecar_faults), lasts)
            if name in busy:
                fault.close()
                continue
            busy.add(name)
            task = asyncio.create_task(fault)
            task.add_done_callback(lambda _, name=name: busy.discard(name))
            tasks.append(task)
        await asyncio.gather(*tasks)

    async def run(self) -> RunResult:
        """The whole run, and its judgment."""
        async with self.fleet:
            await self.before_start()
            try:
                await self._start_sidecars()
                await asyncio.gather(
                    self._write_versions(), self._draw_faults(), self._follow_script(), self.work()
                )
                unsettled = await self._await_convergence()
                await self._fetch_texts()
            finally:
                for sidecar in self.sidecars.values():
                    await sidecar.end()
                await self.after_end()
        return self.judged(unsettled)

    async def _start_sidecars(self) -> None:
        for number in range(self.count):
            self.sidecars[f"s{number}"] = self.process_kind(self, f"s{number}")
        for sidecar in self.sidecars.values():
            for name, relay in sidecar.relays.items():
                self.fleet.extra_relays.setdefault(name, []).append(relay)
                relay.target = self.fleet.children[name].address
        self.began = self.process_run.started_at = time.monotonic()
        await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars.values()))

    async def _rollout_status(self) -> dict[str, Any]:
        """GET /course, of the leader where one answers."""
        rows = []
        for child in self.fleet.children.values():
            with contextlib.suppress(*ERRORS):
                rows.append((await call(child.address, "GET", "/course", timeout_s=1.0)).value)
        return max(rows, key=lambda row: (row["leads"], row[codec.PHASE]), default={})

    async def _await_convergence(self) -> str:
        """Empty once all act on the version that is in force; else what is missing."""
        end, missing = time.monotonic() + self.scenario.settle, ""
        while time.monotonic() < end:
            row = await self._rollout_status()
            behind = self.behind(row)
            if _rollout_over(row) and not behind:
                return ""
            steps = {key: row.get(key) for key in (codec.PHASE, codec.ANNOUNCED, codec.IN_FORCE, "latest")}
            missing = f"not settled after {self.scenario.settle:g} s: {steps}, behind {behind}"
            await asyncio.sleep(0.1)
        return missing

    async def _fetch_texts(self) -> None:
        row = await self._rollout_status()
        for number in range(1, row.get("latest", 0) + 1):
            for child in self.fleet.children.values():
                with contextlib.suppress(*ERRORS, KeyError, TypeError):
                    value = (await call(child.address, "GET", f"/rules/{number}", timeout_s=2.0)).value
                    self.texts[number] = value["version"]["content"].encode()
                    break

    # The judgment

    def judged(self, unsettled: str) -> RunResult:
        """By the acts that the server saw."""
        result = RunResult(self.seed, [unsettled] if unsettled else [], self.events)
        first_acts: dict[int, Act] = {}  # by phase: the first act on a version alone
        for act in self.acts:
            result.acts[act.record.mode] = result.acts.get(act.record.mode, 0) + 1
            if act.record.mode == Mode.IN_FORCE.value:
                first_acts.setdefault(act.record.phase, act)
        steps = sorted(first_acts.items())
        result.versions = len({act.record.in_force for act in first_acts.values()})
        for act in self.acts:
            known = [
                first
                for phase, first in steps
                if first.at + LATE_SECONDS < act.at and phase > act.record.phase
            ]
            if known and (
                act.record.mode != Mode.IN_FORCE.value or known[-1].record.in_force != act.record.in_force
            ):
                self._judge_act(result, act, known[-1])
        return result

    def _judge_act(self, result: RunResult, act: Act, first: Act) -> None:
        """An act after the first one on a version of a later phase."""
        number, after = first.record.in_force, act.at - first.at
        rules = parse_version(self.texts[number]).rules
        for path, text in compatibility.violations(act.record.rules, rules):
            if key_rules.is_switch(path):
                longest = result.longest_violations.get(path, 0.0)
                result.longest_violations[path] = max(longest, after)
                if after <= self.scenario.lease * DRIFT + LATE_SECONDS:
                    continue
            if len(result.faults) < MAX_FAULTS:
                result.faults.append(
                    f"{act.holder_id} {act.record.mode} in phase {act.record.phase}, {after:.3f} s after the "
                    f"first act on version {number}, which is in force: {path} {text}"
                )


def _rollout_over(row: dict[str, Any]) -> bool:
    """Whether the latest version is in force, or withdrawn, by an answer to GET /course."""
    if not row or row[codec.ANNOUNCED]:
        return False
    return row[codec.IN_FORCE] == row["latest"] or str(row["latest"]) in row["withdrawn"]


async def played(seed: int, **options: Any) -> RunResult:
    """One run; options as of `FleetRulesRun`."""
    return await FleetRulesRun(seed, **options).run()
