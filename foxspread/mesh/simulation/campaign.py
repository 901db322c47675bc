"""Many seeds in several processes, and what came of them."""

import os
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

from foxspread.mesh.simulation.fleet import minimised, play
from foxspread.mesh.simulation.mutants import CORES
from foxspread.mesh.simulation.invariants import Break
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.schedule import Event, Plan, drawn

MOST_SHOWN = 20  # breaks that are kept with their texts


@dataclass
class Summary:
    seeds: int = 0
    calls: int = 0
    acknowledged: int = 0
    messages: int = 0
    befell: Counter = field(default_factory=Counter)
    broken: Counter = field(default_factory=Counter)  # seeds by rule
    breaks: list[tuple[int, Break]] = field(default_factory=list)

    def lines(self) -> Iterator[str]:
        yield (
            f"seeds={self.seeds} calls={self.calls} acknowledged={self.acknowledged} messages={self.messages}"
        )
        yield "faults " + " ".join(f"{kind}={count}" for kind, count in sorted(self.befell.items()))
        for seed, each in self.breaks:
            yield f"BROKEN seed={seed} at={each.at:.3f} {each.rule}: {each.text}"
        yield f"broken={sum(self.broken.values())}" + "".join(
            f' "{rule}"={count}' for rule, count in self.broken.items()
        )


def one(plan: Plan, broken: str, seed: int) -> tuple:
    played = play(plan, seed, _cores(broken))
    acknowledged = sum(call.outcome is True for call in played.calls)
    return seed, len(played.calls), acknowledged, played.messages, played.befell, played.breaks


def several(plan: Plan, seeds: Iterable[int], jobs: int | None = None, broken: str = "") -> Summary:
    seeds = list(seeds)
    summary = Summary(len(seeds))
    jobs = min(jobs or os.cpu_count() or 1, max(1, len(seeds) // 8))
    told = [(plan, broken, seed) for seed in seeds]
    if jobs == 1:
        rows = (one(*each) for each in told)
        return _summed(summary, rows)
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        return _summed(summary, pool.map(one, *zip(*told), chunksize=4))


def _summed(summary: Summary, rows: Iterable[tuple]) -> Summary:
    for seed, calls, acknowledged, messages, befell, breaks in rows:
        summary.calls += calls
        summary.acknowledged += acknowledged
        summary.messages += messages
        summary.befell.update(befell)
        for each in breaks:
            summary.broken[each.rule] += 1
            if len(summary.breaks) < MOST_SHOWN:
                summary.breaks.append((seed, each))
    return summary


def traced(plan: Plan, seed: int, broken: str = "") -> list[str]:
    """What happened in a seed, a line each; where it breaks a rule, the fewest events that still do."""
    cores, events = _cores(broken), drawn(plan, seed)
    played = play(plan, seed, cores, events, trace=True)
    if played.breaks:
        played = minimised(played, cores)
    rows = [f"broken at {each.at:.4f}: {each.rule}: {each.text}" for each in played.breaks]
    return [*_events(played.events), "", *played.told, "", *(rows or ["nothing is broken"])]


def _events(events: list[Event]) -> list[str]:
    return [f"plan {event}" for event in events]


def _cores(broken: str) -> Cores:
    return CORES[broken] if broken else Cores()
