"""`foxspread lab processes agreed|duties`: tests of fleet rules and singleton roles under faults, in virtual
time and with real processes."""

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context
from typing import Any

import click

from foxspread.lab.processes import (
    end_to_end,
    end_to_end_cases,
    end_to_end_child,
    fleet_rules_mutants,
    fleet_rules_processes,
    fleet_rules_simulation,
    singleton_explorer,
    singleton_mutants,
    singleton_simulation,
)
from foxspread.lab.processes.end_to_end_judge import EndToEndResult
from foxspread.lab.processes.fleet_rules_processes import RunResult
from foxspread.lab.processes.fleet_rules_simulation import FleetRulesPlan
from foxspread.lab.processes.singleton_simulation import SingletonPlan

MAX_SEEDS_SHOWN = 5  # failing seeds printed in detail
JSON = click.option("--json", "as_json", is_flag=True, help="Print one line of JSON for each run.")
JOBS = click.option(
    "--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Number of worker processes."
)


def parse_seeds(_: Any, parameter: click.Parameter, text: str) -> range:
    """Parses the value of `--seeds`, as a callback of click."""
    first, dash, last = text.partition("-")
    if not (first.isdigit() and (last.isdigit() if dash else not last)):
        raise click.BadParameter(f"{text!r} must be N or A-B")
    return range(int(first), int(last or first) + 1)


SEEDS = click.option(
    "--seeds", default="1-40", show_default=True, callback=parse_seeds, metavar="A-B", help="Seeds to run."
)


def run_seeds(call: Callable[..., Any], plan: Any, seeds: range, mutant: str, jobs: int) -> Iterator[Any]:
    """Runs `call` for all seeds in `jobs` processes and yields the results in the order of the seeds."""
    with ProcessPoolExecutor(min(jobs, len(seeds)), mp_context=get_context("spawn")) as pool:
        yield from pool.map(call, [plan] * len(seeds), seeds, [mutant] * len(seeds))


def show_broken(result: Any, broken: int) -> None:
    """Prints the first violation of a seed, for at most `MAX_SEEDS_SHOWN` failing seeds."""
    if result.faults and broken <= MAX_SEEDS_SHOWN:
        first, injected = result.faults[0], "; ".join(result.events)
        click.echo(f"seed {result.seed}: {first.rule}: {first.text}; injected: {injected}")


def percentiles(values: list[float]) -> str:
    """Returns median, 99th percentile and maximum as text."""
    rows = sorted(values)
    quantiles = [rows[int(share * (len(rows) - 1))] for share in (0.5, 0.99, 1.0)]
    return "p50 %.3f, p99 %.3f, longest %.3f s" % tuple(quantiles)


@click.command("agreed")
@SEEDS
@click.option(
    "--real",
    "as_processes",
    is_flag=True,
    help="Use real processes on loopback; the runs of 20 s follow one another.",
)
@click.option(
    "--whole",
    is_flag=True,
    help="Run complete sidecars with servers and clients, and check what these observed.",
)
@click.option("--cases", is_flag=True, help="Run the named special cases, with complete sidecars.")
@click.option(
    "--sidecars", default=12, show_default=True, type=click.IntRange(1, 5000), help="Number of sidecars."
)
@JOBS
@click.option(
    "--mutant",
    type=click.Choice(sorted({*fleet_rules_mutants.MUTANTS, *end_to_end_child.MUTANTS})),
    help="Run a deliberately broken variant; some need --whole, the others must not have it.",
)
@JSON
def fleet_rules(
    seeds: range,
    as_processes: bool,
    whole: bool,
    cases: bool,
    sidecars: int,
    jobs: int,
    mutant: str | None,
    as_json: bool,
) -> None:
    """Test fleet rules on sidecars in virtual time: each action must follow the version in force at that
    moment. Exit code 1 if an invariant is violated."""
    if mutant and mutant not in (end_to_end_child.MUTANTS if whole else fleet_rules_mutants.MUTANTS):
        raise click.UsageError(f"--mutant {mutant} does not exist {'with' if whole else 'without'} --whole")
    options = {"sidecars": sidecars, "mutant": mutant or ""}
    if cases:
        named = {name: {"name": name} for name in end_to_end_cases.CASES}
        return sys.exit(play_end_to_end(named, end_to_end_cases.played, as_json))
    if whole:
        runs = {f"seed {seed}": {"seed": seed, **options} for seed in seeds}
        return sys.exit(play_end_to_end(runs, end_to_end.played, as_json))
    if as_processes:
        return sys.exit(play_processes(seeds, options, as_json))
    plan = replace(FleetRulesPlan(), sidecars=sidecars)
    sys.exit(simulate_fleet_rules(plan, seeds, mutant or "", jobs, as_json))


def simulate_fleet_rules(plan: FleetRulesPlan, seeds: range, mutant: str, jobs: int, as_json: bool) -> int:
    """Runs the seeds in virtual time, prints the results and returns the exit code."""
    played: list[fleet_rules_simulation.Result] = []
    broken = 0
    for result in run_seeds(fleet_rules_mutants.run_seed, plan, seeds, mutant, jobs):
        played.append(result)
        broken += bool(result.faults)
        if as_json:
            click.echo(json.dumps(result.as_row()))
        else:
            show_broken(result, broken)
    if not as_json:
        show_fleet_rules(plan, played, broken)
    return 1 if broken else 0


def show_fleet_rules(plan: FleetRulesPlan, played: list[fleet_rules_simulation.Result], broken: int) -> None:
    """Prints the totals over all seeds."""
    acts: dict[str, int] = {}
    longest: dict[str, float] = {}
    for result in played:
        for mode, count in result.acts.items():
            acts[mode] = acts.get(mode, 0) + count
        for path, seconds in result.longest_violations.items():
            longest[path] = max(longest.get(path, 0.0), seconds)
    by_mode = ", ".join(f"{count} {mode}" for mode, count in acts.items())
    versions, withdrawn = sum(each.versions for each in played), sum(each.withdrawn for each in played)
    click.echo(
        f"{len(played)} seeds, {broken} with a violated invariant; acts: {by_mode}; "
        f"{versions} versions in force, {withdrawn} withdrawn; bound {plan.terms.contradiction_bound():.3f} s"
    )
    if rollout_seconds := [seconds for each in played for seconds in each.rollout_seconds]:
        click.echo(f"from announced to in force: {percentiles(rollout_seconds)}")
    for path, seconds in sorted(longest.items()):
        click.echo(f"longest after the change: {path} {seconds:.3f} s")


def longest_violations_text(result: RunResult) -> str:
    """Returns, for each setting, how long after a change sidecars still acted on the old value."""
    rows = result.longest_violations.items()
    return "".join(f"; longest after the change: {path} {seconds:.3f} s" for path, seconds in rows)


def play_processes(seeds: range, options: dict[str, Any], as_json: bool) -> int:
    """Runs the seeds one after another with a process for each lease holder, prints the results and returns
    the exit code."""
    broken = False
    for seed in seeds:
        result = asyncio.run(fleet_rules_processes.played(seed, **options))
        broken |= bool(result.faults)
        if as_json:
            click.echo(json.dumps(result.as_row()))
            continue
        acts = ", ".join(f"{count} {mode}" for mode, count in result.acts.items())
        faults = f"{len(result.events)} faults injected{longest_violations_text(result)}"
        click.echo(f"seed {seed}: acts: {acts}; {result.versions} versions in force; {faults}")
        for fault in result.faults:
            click.echo(f"  {fault}")
    return 1 if broken else 0


def play_end_to_end(
    runs: dict[str, dict[str, Any]], play: Callable[..., Awaitable[EndToEndResult]], as_json: bool
) -> int:
    """Plays runs with complete sidecars one after another, prints the results and returns the exit code.
    `runs` has the arguments of `play` by the title of the run."""
    broken = False
    for title, options in runs.items():
        result = asyncio.run(play(**options))
        broken |= bool(result.faults)
        if as_json:
            click.echo(json.dumps(result.as_row()))
            continue
        requests = ", ".join(f"{count} {name}" for name, count in sorted(result.lookups.items()))
        click.echo(
            f"{title}: requests: {requests}; {result.hand_offs} attempts, {result.repeats} repeats; "
            f"{result.versions} versions in force; {len(result.events)} faults injected"
            f"{longest_violations_text(result)}; "
            + ("invariants violated:" if result.faults else "no invariant violated")
        )
        for fault in result.faults:
            click.echo(f"  {fault}")
    return 1 if broken else 0


@click.command("duties")
@SEEDS
@click.option(
    "--instances", default=6, show_default=True, type=click.IntRange(1, 5000), help="Number of instances."
)
@JOBS
@click.option(
    "--mutant",
    type=click.Choice(list(singleton_mutants.MUTANTS)),
    help="Run a deliberately broken variant instead.",
)
@click.option(
    "--explore", is_flag=True, help="Explore all states of small cases instead, also of the broken variants."
)
@JSON
def singleton_roles(
    seeds: range, instances: int, jobs: int, mutant: str | None, explore: bool, as_json: bool
) -> None:
    """Test singleton roles (one owner at a time) in virtual time by what the receivers of their actions saw.
    Exit code 1 if an invariant is violated."""
    if explore:
        return sys.exit(explore_singleton(as_json))
    plan = replace(SingletonPlan(), instances=instances)
    played: list[singleton_simulation.Result] = []
    broken = 0
    for result in run_seeds(singleton_mutants.run_seed, plan, seeds, mutant or "", jobs):
        played.append(result)
        broken += bool(result.faults)
        if as_json:
            click.echo(json.dumps(result.as_row()))
        else:
            show_broken(result, broken)
    if not as_json:
        show_singleton(played, broken)
    sys.exit(1 if broken else 0)


def show_singleton(played: list[singleton_simulation.Result], broken: int) -> None:
    """Prints the totals over all seeds."""
    counts: dict[str, int] = {}
    for result in played:
        for what, count in result.counts.items():
            counts[what] = counts.get(what, 0) + count
    handovers = [seconds for result in played for seconds in result.handovers]
    text = ", ".join(f"{count} {what}" for what, count in counts.items())
    click.echo(f"{len(played)} seeds, {broken} with a violated invariant; {text}; {len(handovers)} handovers")
    if handovers:
        click.echo(f"from the last action of an owner to the first of the next: {percentiles(handovers)}")


def explore_singleton(as_json: bool) -> int:
    """Explores all small cases and returns the exit code: 1 if a correct variant violates an invariant or a
    broken one violates none."""
    wrong = False
    correct = [(case, "") for case in singleton_explorer.CASES]
    broken = [(case, name) for name, (case, _) in singleton_explorer.MUTANTS.items()]
    for case, mutant in correct + broken:
        result = singleton_explorer.explored(case, mutant)
        wrong |= bool(result.violation) != bool(mutant)
        if as_json:
            click.echo(json.dumps({"case": case, "mutant": mutant} | result.as_row()))
            continue
        extent = "complete" if result.complete else f"to depth {result.depth}"
        violation = f"; {result.violation}" if result.violation else ""
        click.echo(f"{case} {mutant}: {result.states} states, {extent}{violation}")
        if result.violation and not mutant:
            click.echo("  " + "; ".join(result.path))
    return 1 if wrong else 0
