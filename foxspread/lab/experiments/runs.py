"""Experiments over scenarios: runs of many seeds, comparisons with baseline policies or earlier commits,
sweeps over the values of a field, and the search for the worst case. All comparisons are paired by seed: both
sides have the same demand and the same faults.
"""

import contextlib
import json
import math
import os
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import zlib
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from typing import Any

import msgspec

from foxspread.lab import scenario as scenario_files
from foxspread.lab.engines import virtual
from foxspread.lab.experiments import figures, policies
from foxspread.lab.experiments.mutants import MUTANTS
from foxspread.lab.judge import rules
from foxspread.lab.scenario import Scenario

PACKAGE = pathlib.Path(__file__).resolve().parent.parent
Progress = Callable[[int, int, str], None]


class ExperimentError(Exception):
    """An experiment can't be run; the message says why."""


class ReportedViolation(msgspec.Struct):
    """Violation of an invariant in one run. `story` is the timeline of events that led to it."""

    rule: str
    at: float
    lookup: str
    text: str
    story: str = ""


class RunSummary(msgspec.Struct):
    """Result of one run. The field names are the keys of the JSON output."""

    scenario: str
    seed: int
    policy: str
    engine: str
    numbers: dict[str, float]
    by_second: dict[str, list[float]]
    by_tenant: dict[str, float]
    by_category: dict[str, float]
    in_flight: dict[str, list[float]]
    faults: list[tuple[float, float, str]]
    samples: list[dict[str, float]]
    violations: list[ReportedViolation]
    broken: int  # number of all violations; `violations` has only the first ones
    digest: str
    took: float  # seconds of real time
    notes: list[str] = []


def play(
    scenario: Scenario,
    seed: int,
    policy: str = "foxspread",
    engine: str = "virtual",
    ledger: str | None = None,
) -> RunSummary:
    """Plays one run of a policy, or of a mutant as `mutant:NAME`. `ledger` is the file that keeps its event
    records."""
    if engine == "virtual":
        if policy.startswith("mutant:"):
            mutant = MUTANTS[policy.removeprefix("mutant:")]
            result = virtual.run(scenario, seed, mutant.make_engine, mutant.sidecar_class)
        else:
            result = virtual.run(scenario, seed, policies.engine_factory(policy))
    elif engine == "sockets":
        from foxspread.lab.engines import sockets

        result = sockets.run(scenario, seed, policy)
    else:
        raise ExperimentError(f"unknown engine {engine!r}: must be 'virtual' or 'sockets'")
    return summarize(result, policy, ledger)


def summarize(
    result: virtual.Result, policy: str, ledger: str | None = None, max_reported: int = 5
) -> RunSummary:
    """Computes the figures of a run and checks its invariants. `max_reported` limits the violations that are
    described in full."""
    rows, scenario = result.ledger.rows, result.scenario
    computed, broken = figures.compute_figures(rows, scenario), rules.check(rows, scenario)
    computed.numbers["rules_broken"] = float(len(broken))
    if result.decision_time:
        # Virtual time: CPU time of the decisions alone. Sockets: CPU time of the sidecars' processes, with
        # their start.
        key = "decision_us" if result.engine == "virtual" else "sidecar_us"
        computed.numbers[key] = 1e6 * result.decision_time / max(1.0, computed.numbers["lookups"])
    if ledger is not None:
        with open(ledger, "wb") as file:
            result.ledger.save(file)
    first = [
        ReportedViolation(v.rule, v.at, v.lookup, v.text, rules.request_timeline(rows, v))
        for v in broken[:max_reported]
    ]
    return RunSummary(
        scenario.name,
        result.seed,
        policy,
        result.engine,
        computed.numbers,
        computed.by_second,
        computed.by_tenant,
        computed.by_category,
        computed.in_flight,
        computed.faults,
        result.samples,
        first,
        len(broken),
        result.ledger.digest(),
        result.took,
        result.notes,
    )


# Runs of many seeds.

Task = tuple[Scenario, int, str, str, str | None]


def _task(data: bytes, seed: int, policy: str, engine: str, ledger: str | None) -> bytes:
    return msgspec.json.encode(play(scenario_files.decoded(data), seed, policy, engine, ledger))


def play_all(tasks: Sequence[Task], jobs: int = 0, progress: Progress | None = None) -> list[RunSummary]:
    """Plays all tasks, several in parallel, and returns the results in the order of the tasks. `jobs` is the
    number of processes; by default, runs on sockets are played one at a time because each needs several
    cores."""
    sockets = any(task[3] == "sockets" for task in tasks)
    jobs = jobs or (1 if sockets else max(1, (os.cpu_count() or 2) - 1))
    if jobs == 1 or len(tasks) == 1:
        finished = []
        for task in tasks:
            finished.append(play(*task))
            if progress is not None:
                progress(len(finished), len(tasks), f"{task[2]} seed {task[1]}")
        return finished
    results: dict[int, RunSummary] = {}
    with ProcessPoolExecutor(min(jobs, len(tasks)), mp_context=get_context("spawn")) as pool:
        waiting = {
            pool.submit(_task, scenario_files.encoded(task[0]), *task[1:]): number
            for number, task in enumerate(tasks)
        }
        for done in as_completed(waiting):
            number = waiting[done]
            results[number] = msgspec.json.decode(done.result(), type=RunSummary)
            if progress is not None:
                progress(len(results), len(tasks), f"{tasks[number][2]} seed {tasks[number][1]}")
    return [results[number] for number in range(len(tasks))]


def run(
    scenario: Scenario,
    seeds: Sequence[int],
    policy: str = "foxspread",
    engine: str = "virtual",
    jobs: int = 0,
    progress: Progress | None = None,
    ledgers: str | None = None,
) -> list[RunSummary]:
    """Plays a scenario with several seeds. `ledgers` is the folder for the event records of the runs."""

    def ledger_path(seed: int) -> str | None:
        return (
            os.path.join(ledgers, f"{scenario.name}-{policy}-{seed}.jsonl".replace(":", "-"))
            if ledgers
            else None
        )

    return play_all([(scenario, seed, policy, engine, ledger_path(seed)) for seed in seeds], jobs, progress)


def compare(
    scenario: Scenario,
    seeds: Sequence[int],
    against: Sequence[str],
    policy: str = "foxspread",
    jobs: int = 0,
    progress: Progress | None = None,
) -> dict[str, list[RunSummary]]:
    """Plays the seeds with `policy` and with each name in `against`: a baseline policy, or else a revision of
    this repository. Returns the runs by name."""
    names = [policy, *(each for each in against if each != policy)]
    policy_names = [name for name in names if name in policies.POLICIES]
    played = play_all(
        [(scenario, seed, name, "virtual", None) for name in policy_names for seed in seeds], jobs, progress
    )
    runs_by_policy = {
        name: played[at * len(seeds) : (at + 1) * len(seeds)] for at, name in enumerate(policy_names)
    }
    for name in names:
        if name not in runs_by_policy:
            runs_by_policy[name] = at_revision(scenario, seeds, name)
    return {name: runs_by_policy[name] for name in names}


class Difference(msgspec.Struct):
    """Difference of one figure between two policies, paired by seed."""

    key: str
    ours: float
    theirs: float
    difference: float  # ours minus theirs, mean over seeds
    low: float  # bounds of its 95% confidence interval
    high: float


def differences(
    ours: Sequence[RunSummary],
    theirs: Sequence[RunSummary],
    keys: Sequence[str] = ("benefit", "done_share", "worst_10s", "p99", "hand_offs"),
) -> list[Difference]:
    by_seed = {each.seed: each for each in theirs}
    pairs = [(each, by_seed[each.seed]) for each in ours if each.seed in by_seed]
    result = []
    for key in keys:
        values = [(a.numbers.get(key, math.nan), b.numbers.get(key, math.nan)) for a, b in pairs]
        mean, low, high = figures.confidence_interval([a - b for a, b in values])
        result.append(
            Difference(
                key,
                figures.confidence_interval([a for a, _ in values])[0],
                figures.confidence_interval([b for _, b in values])[0],
                mean,
                low,
                high,
            )
        )
    return result


def sweep(
    scenario: Scenario,
    field: str,
    values: Sequence[Any],
    seeds: Sequence[int],
    policy: str = "foxspread",
    jobs: int = 0,
    progress: Progress | None = None,
) -> dict[str, list[RunSummary]]:
    """Plays the same seeds for each value of the field with this path. Returns the runs by value."""
    plain = json.loads(scenario_files.encoded(scenario))
    variants = []
    for value in values:
        scenario_files.put(plain, field, value)
        variants.append(scenario_files.parse(plain))
    played = play_all(
        [(each, seed, policy, "virtual", None) for each in variants for seed in seeds], jobs, progress
    )
    return {str(value): played[at * len(seeds) : (at + 1) * len(seeds)] for at, value in enumerate(values)}


# Comparisons with earlier commits.


@contextlib.contextmanager
def worktree(revision: str) -> Iterator[pathlib.Path]:
    """Checks out a revision of the repository to a temporary folder, which the end of the block removes."""
    top = PACKAGE.parent
    folder = tempfile.mkdtemp(prefix="foxspread-revision-")
    try:
        done = subprocess.run(
            ["git", "-C", str(top), "worktree", "add", "--detach", "-q", folder, revision],
            capture_output=True,
            text=True,
        )
        if done.returncode:
            raise ExperimentError(
                f"{revision!r} is no baseline ({', '.join(policies.POLICIES)}) and no revision: "
                f"{done.stderr.strip()[:200]}"
            )
        yield pathlib.Path(folder)
    finally:
        subprocess.run(["git", "-C", str(top), "worktree", "remove", "--force", folder], capture_output=True)
        shutil.rmtree(folder, ignore_errors=True)


def at_revision(scenario: Scenario, seeds: Sequence[int], revision: str) -> list[RunSummary]:
    """Plays the seeds with the decisions of an earlier commit and the current lab, in a separate process."""
    with worktree(revision) as folder:
        request = json.dumps({"scenario": scenario_files.encoded(scenario).decode(), "seeds": list(seeds)})
        done = subprocess.run(
            [sys.executable, "-m", "foxspread.lab.at_revision", str(folder)],
            input=request,
            capture_output=True,
            text=True,
            cwd=PACKAGE.parent,
        )
    if done.returncode:
        raise ExperimentError(
            f"the run with the decisions of {revision!r} failed: {done.stderr.strip()[-300:]}"
        )
    runs = msgspec.json.decode(done.stdout, type=list[RunSummary])
    for each in runs:
        each.policy = revision
    return runs


# Search for the seed and fault times with the greatest loss.


class SearchResult(msgspec.Struct):
    """Worst case that a search found, with as few faults as needed."""

    scenario: Scenario
    seed: int
    loss: float  # benefit lost compared with the same seed without faults, plus 1 for a violation
    rule: str  # name of the violated invariant, "" for none
    tried: int  # number of runs
    before: int  # number of faults before the reduction


def benefit_loss(benefit_without_faults: dict[int, float], played: RunSummary) -> float:
    """Returns the benefit lost by the faults, plus 1 if an invariant was violated."""
    lost = benefit_without_faults.get(played.seed, 1.0) - played.numbers["benefit"]
    return lost + (1.0 if played.broken else 0.0)


def vary_faults(scenario: Scenario, number: int) -> Scenario:
    """Returns the scenario with the faults at other times and with other durations. Number 0 is the scenario
    itself."""
    if number == 0 or not scenario.faults:
        return scenario
    generator = random.Random(zlib.crc32(b"moved:%d" % number))
    plain = json.loads(scenario_files.encoded(scenario))
    for fault in plain["faults"]:
        fault["lasts"] = round(fault["lasts"] * (0.5 + generator.random()), 3)
        fault["at"] = round(generator.random() * max(0.0, scenario.seconds - fault["lasts"]), 3)
        fault["every"] = max(fault["every"], fault["lasts"]) if fault["times"] > 1 else fault["every"]
        if 0 < fault["part"] < 1:
            fault["part"] = round(min(1.0, fault["part"] * (0.7 + 0.6 * generator.random())), 4)
    return scenario_files.parse(plain)


def search(
    scenario: Scenario,
    seeds: Sequence[int],
    timings: int = 8,
    policy: str = "foxspread",
    jobs: int = 0,
    progress: Progress | None = None,
    keep: float = 0.8,
) -> SearchResult:
    """Plays all seeds with `timings` variants of the fault times and takes the run with the greatest loss.
    Then removes the faults that are not needed for the same violation, or for the fraction `keep` of the
    loss."""
    without_faults = msgspec.structs.replace(scenario, faults=[])
    benefit_without_faults = {
        each.seed: each.numbers["benefit"] for each in run(without_faults, seeds, policy, jobs=jobs)
    }
    variants = [vary_faults(scenario, number) for number in range(timings)]
    played = play_all(
        [(each, seed, policy, "virtual", None) for each in variants for seed in seeds], jobs, progress
    )
    tried = len(played)
    at = max(range(len(played)), key=lambda number: benefit_loss(benefit_without_faults, played[number]))
    worst, worst_run = variants[at // len(seeds)], played[at]
    rule = worst_run.violations[0].rule if worst_run.broken else ""

    def fails(candidate: Scenario) -> bool:
        nonlocal tried
        tried += 1
        again = play(candidate, worst_run.seed, policy)
        if rule:
            return any(each.rule == rule for each in again.violations)
        return benefit_loss(benefit_without_faults, again) >= keep * benefit_loss(
            benefit_without_faults, worst_run
        )

    smallest = shrink(worst, fails)
    return SearchResult(
        smallest,
        worst_run.seed,
        benefit_loss(benefit_without_faults, worst_run),
        rule,
        tried,
        len(worst.faults),
    )


def shrink(scenario: Scenario, fails: Callable[[Scenario], bool], rounds: int = 3) -> Scenario:
    """Removes faults one by one, then halves the durations of the others, as long as the scenario still
    fails."""
    at = 0
    while at < len(scenario.faults):
        fewer = msgspec.structs.replace(scenario, faults=scenario.faults[:at] + scenario.faults[at + 1 :])
        if fails(fewer):
            scenario = fewer
        else:
            at += 1
    for number in range(len(scenario.faults)):
        for _ in range(rounds):
            faults = list(scenario.faults)
            faults[number] = msgspec.structs.replace(faults[number], lasts=round(faults[number].lasts / 2, 3))
            shorter = msgspec.structs.replace(scenario, faults=faults)
            if faults[number].lasts < 0.1 or not fails(shorter):
                break
            scenario = shorter
    return scenario


# Comparison of the two engines.


class EngineAgreement(msgspec.Struct):
    """Comparison of the same runs in virtual time and on sockets."""

    scenario: str
    seeds: list[int]
    virtual: float  # share done in time, mean over seeds
    sockets: float
    agree: bool  # the difference is at most `tolerance`
    differs: dict[str, tuple[float, float]]  # further figures, (virtual, sockets)
    broken: int  # number of violations in all runs
    notes: list[str]


def compare_engines(
    scenario: Scenario, seeds: Sequence[int], progress: Progress | None = None, tolerance: float = 0.03
) -> EngineAgreement:
    """Plays the same seeds on both engines and compares the shares of operations done in time."""
    real = run(scenario, seeds, engine="sockets", jobs=1, progress=progress)
    simulated = run(scenario, seeds, jobs=1)
    return engine_agreement(scenario, simulated, real, tolerance)


def engine_agreement(
    scenario: Scenario, simulated: Sequence[RunSummary], real: Sequence[RunSummary], tolerance: float
) -> EngineAgreement:
    def mean(played: Sequence[RunSummary], key: str) -> float:
        return figures.confidence_interval([each.numbers.get(key, math.nan) for each in played])[0]

    keys = (
        "dismissed",
        "scrapped",
        "left",
        "hand_offs",
        "turned_away",
        "p50",
        "p99",
        "tries",
        "repeats_dropped",
    )
    pairs = {key: (mean(simulated, key), mean(real, key)) for key in keys}
    virtual_share, sockets_share = mean(simulated, "done_share"), mean(real, "done_share")
    return EngineAgreement(
        scenario.name,
        [each.seed for each in real],
        virtual_share,
        sockets_share,
        abs(virtual_share - sockets_share) <= tolerance,
        pairs,
        sum(each.broken for each in [*simulated, *real]),
        [f"seed {each.seed}: {note}" for each in real for note in each.notes],
    )
