"""Campaigns, which play many seeds in several processes and summarise the results."""

import os
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

from foxspread.mesh.simulation.events import Event
from foxspread.mesh.simulation.fleet import minimise, play
from foxspread.mesh.simulation.machines import ProtocolClasses
from foxspread.mesh.simulation.mutants import MUTANTS
from foxspread.mesh.simulation.observations import Violation
from foxspread.mesh.simulation.schedule import Plan, draw_schedule

MAX_LISTED_VIOLATIONS = 20  # violations that a summary lists in full
MIN_SEEDS_PER_PROCESS = 8  # a process takes about as long to start as to play these
SEEDS_PER_CHUNK = 4  # seeds that a process receives at a time


@dataclass(frozen=True)
class SeedResult:
    """Figures of one run that a campaign keeps."""

    seed: int
    calls: int
    acknowledged: int
    messages: int
    fault_counts: dict[str, int]
    violations: list[Violation]


@dataclass
class Summary:
    """Totals over all seeds of a campaign."""

    seeds: int = 0
    calls: int = 0
    acknowledged: int = 0
    messages: int = 0
    fault_counts: Counter[str] = field(default_factory=Counter)
    violation_counts: Counter[str] = field(default_factory=Counter)  # number of seeds by rule
    violations: list[tuple[int, Violation]] = field(default_factory=list)  # with their seeds

    def add(self, result: SeedResult) -> None:
        """Adds the figures of one run."""
        self.calls += result.calls
        self.acknowledged += result.acknowledged
        self.messages += result.messages
        self.fault_counts.update(result.fault_counts)
        for violation in result.violations:
            self.violation_counts[violation.rule] += 1
            if len(self.violations) < MAX_LISTED_VIOLATIONS:
                self.violations.append((result.seed, violation))

    def lines(self) -> Iterator[str]:
        """Yields the summary in lines, as it is printed."""
        yield (
            f"seeds={self.seeds} calls={self.calls} acknowledged={self.acknowledged} messages={self.messages}"
        )
        yield "faults " + " ".join(f"{kind}={count}" for kind, count in sorted(self.fault_counts.items()))
        for seed, violation in self.violations:
            yield f"BROKEN seed={seed} at={violation.at:.3f} {violation.rule}: {violation.text}"
        yield f"broken={sum(self.violation_counts.values())}" + "".join(
            f' "{rule}"={count}' for rule, count in self.violation_counts.items()
        )


def run_seed(plan: Plan, mutant: str, seed: int) -> SeedResult:
    """Plays one seed with the correct protocol classes or, if named, with a mutant of `MUTANTS`."""
    result = play(plan, seed, _classes_of(mutant))
    acknowledged = sum(call.outcome is True for call in result.calls)
    return SeedResult(
        seed, len(result.calls), acknowledged, result.message_count, result.fault_counts, result.violations
    )


def run_campaign(plan: Plan, seeds: Iterable[int], jobs: int | None = None, mutant: str = "") -> Summary:
    """Plays seeds in `jobs` processes, by default one for each processor."""
    seeds = list(seeds)
    summary = Summary(len(seeds))
    jobs = min(jobs or os.cpu_count() or 1, max(1, len(seeds) // MIN_SEEDS_PER_PROCESS))
    if jobs == 1:
        for seed in seeds:
            summary.add(run_seed(plan, mutant, seed))
        return summary
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        plans, mutants = [plan] * len(seeds), [mutant] * len(seeds)
        for result in pool.map(run_seed, plans, mutants, seeds, chunksize=SEEDS_PER_CHUNK):
            summary.add(result)
    return summary


def trace_seed(plan: Plan, seed: int, mutant: str = "") -> list[str]:
    """Returns a seed's events and trace in lines; if the seed violates a rule, those of a minimised run."""
    classes, events = _classes_of(mutant), draw_schedule(plan, seed)
    result = play(plan, seed, classes, events, trace=True)
    if result.violations:
        result = minimise(result, classes)
    violations = [f"broken at {each.at:.4f}: {each.rule}: {each.text}" for each in result.violations]
    return [*_describe(result.events), "", *result.trace, "", *(violations or ["nothing is broken"])]


def _describe(events: list[Event]) -> list[str]:
    return [f"plan {event}" for event in events]


def _classes_of(mutant: str) -> ProtocolClasses:
    return MUTANTS[mutant] if mutant else ProtocolClasses()
