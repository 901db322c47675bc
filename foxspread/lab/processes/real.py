"""Runs a scenario against real coordinators, as processes on loopback.

Writers put, compare-and-set and get through relays while faults strike links, processes and disks. Then
nothing fails, all histories are read, and the judge checks what writers and relays saw.
"""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from foxspread.consensus.raft import RaftSettings
from foxspread.consensus.versions import Version
from foxspread.lab.processes.fleet import Fleet
from foxspread.lab.processes.fleet_operator import ERRORS, FleetOperator
from foxspread.lab.processes.judge import Judge
from foxspread.lab.processes.process_faults import ProcessFaults
from foxspread.lab.processes.process_writer import Writer
from foxspread.lab.processes.scenario import Scenario

CONVERGENCE_POLL_S = 0.05


@dataclass
class ProcessRunResult:
    """What one seed gave. `longest_without_put`: seconds, while faults struck."""

    seed: int
    violations: list[dict[str, str]]
    fault_log: list[str]
    operations: dict[str, int] = field(default_factory=dict)
    versions: int = 0
    seconds: float = 0.0
    longest_without_put: float = 0.0

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints, by its first spelling."""
        return {
            "seed": self.seed,
            "faults": self.violations,
            "befell": self.fault_log,
            "operations": self.operations,
            "versions": self.versions,
            "seconds": self.seconds,
            "worst": self.longest_without_put,
        }


class ProcessRun:
    """One run of a scenario. `over`: no more operations begin. `put_times`: when puts were answered."""

    def __init__(self, scenario: Scenario, seed: int, mutant: str = "") -> None:
        self.scenario, self.seed = scenario, seed
        self.judge = Judge(RaftSettings(scenario.beat, scenario.election))
        self.fleet = Fleet(scenario, seed, self.judge.on_link, mutant)
        self.chance = self.fleet.rng("faults")
        self.operator = FleetOperator(self.fleet, self.chance)
        self.over, self.started_at = False, time.monotonic()
        self.operation_counts: dict[str, int] = {}
        self.put_times: list[float] = []
        self.faults = ProcessFaults(self)

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.started_at

    def count_operation(self, kind: str) -> None:
        """Counts an operation by how it ended."""
        self.operation_counts[kind] = self.operation_counts.get(kind, 0) + 1

    async def run(self) -> ProcessRunResult:
        """The whole run, from the start of the processes to the judgment."""
        async with self.fleet:
            self.started_at = time.monotonic()
            names = [f"w{number}" for number in range(self.scenario.writers.count)]
            writers = [asyncio.create_task(Writer(self, name).run()) for name in names]
            try:
                await asyncio.gather(self.faults.inject_drawn(), self.faults.inject_scripted())
                await asyncio.sleep(max(0.0, self.scenario.seconds - self.now()))
                self.over = True
                await asyncio.gather(*writers)
            finally:
                for writer in writers:
                    writer.cancel()
            versions = await self.check_end()
        return self._result(versions)

    def _result(self, versions: int) -> ProcessRunResult:
        times = [0.0, *self.put_times, self.scenario.seconds]
        return ProcessRunResult(
            self.seed,
            [{"rule": each.rule, "text": each.text} for each in self.judge.violations],
            self.faults.log,
            self.operation_counts,
            versions,
            round(self.now(), 2),
            round(max(later - earlier for earlier, later in zip(times, times[1:])), 3),
        )

    async def check_end(self) -> int:
        """All must be well in time, with one history on all members; returns how many versions it has."""
        await self._check_convergence()
        return await self._check_histories()

    async def _check_convergence(self) -> None:
        end = time.monotonic() + self.scenario.settle
        while not _converged(rows := await self.operator.statuses()):
            if time.monotonic() > end:
                seen = {
                    name: (row.get("role"), row.get("version"), row.get("why")) for name, row in rows.items()
                }
                text = f"after {self.scenario.settle:g} s: {seen}"
                self.judge.record_violation("well", text)
                return
            await asyncio.sleep(CONVERGENCE_POLL_S)

    async def _check_histories(self) -> int:
        first: list[Version] = []
        for number, (name, child) in enumerate(self.fleet.children.items()):
            try:
                history = await self.operator.history(child)
            except ERRORS as error:
                self.judge.record_violation("well", f"{name} gives no history: {error}")
                continue
            if not number:
                first = history
                self.judge.check_history(history)
            elif [_identity(each) for each in history] != [_identity(each) for each in first]:
                text = f"{name} has another history than {self.fleet.names[0]}"
                self.judge.record_violation("same_state", text)
        return len(first)


def _converged(rows: dict[str, dict[str, Any]]) -> bool:
    """Whether one leads, and all have applied the same."""
    leaders = [row for row in rows.values() if row.get("role") == "leader"]
    one_version = len({row.get("version") for row in rows.values()}) == 1
    applied = all(row.get("committed") == row.get("applied") for row in rows.values())
    return len(leaders) == 1 and one_version and applied


def _identity(version: Version) -> tuple[int, str, str]:
    return version.number, version.digest, version.request_id


async def run_scenario(scenario: Scenario, seed: int, mutant: str = "") -> ProcessRunResult:
    """Runs one seed."""
    return await ProcessRun(scenario, seed, mutant).run()
