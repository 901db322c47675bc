"""`foxspread lab processes ...`: tests groups of coordinators under faults, as real processes and in virtual
time."""

import asyncio
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from multiprocessing import get_context

import click

from foxspread.cli import lab_rules
from foxspread.cli.lab_rules import JSON, MAX_SEEDS_SHOWN, parse_seeds
from foxspread.lab.processes import (
    explorer,
    mutants,
    real,
    scenario,
    virtual,
)
from foxspread.lab.processes.scenario import Scenario
from foxspread.lab.processes.simulation_plan import Plan
from foxspread.lab.scenario import ScenarioError, SocketsError

FILE = click.Path(exists=True, dir_okay=False)
MUTANT = click.option(
    "--mutant", type=click.Choice(list(mutants.MUTANTS)), help="Run a deliberately broken variant instead."
)


def load_scenario(path: str) -> Scenario:
    """Returns the scenario in a file. Raises `click.UsageError` if it is invalid."""
    try:
        return scenario.load(path)
    except ScenarioError as error:
        raise click.UsageError(f"{path}: {error}") from None


@click.group()
def processes() -> None:
    """Test groups of coordinators under faults, as real processes or for many seeds in virtual time.

    \b
    foxspread lab processes run scenarios/processes/mixed.toml --seed 3
    foxspread lab processes search scenarios/processes/mixed.toml --seeds 0-1999
    """


@processes.command()
@click.argument("file", type=FILE)
@click.option(
    "--seed",
    "seeds",
    default="1",
    show_default=True,
    callback=parse_seeds,
    metavar="N or A-B",
    help="Seeds to run.",
)
@MUTANT
@JSON
def run(file: str, seeds: range, mutant: str | None, as_json: bool) -> None:
    """Run the scenario with real processes on loopback, once for each seed. Exit code 1 if an invariant is
    violated."""
    named_scenario, broken = load_scenario(file), False
    for seed in seeds:
        try:
            result = asyncio.run(real.run_scenario(named_scenario, seed, mutant or ""))
        except SocketsError as error:
            raise click.ClickException(str(error)) from None
        broken |= bool(result.violations)
        if as_json:
            click.echo(json.dumps(result.as_row()))
            continue
        counts = ", ".join(f"{count} {kind}" for kind, count in sorted(result.operations.items()))
        click.echo(
            f"seed {seed}: {result.versions} versions; {counts}; {len(result.fault_log)} faults injected; "
            f"longest time without a completed put {result.longest_without_put:.2f} s; "
            + ("invariants violated:" if result.violations else "no invariant violated")
        )
        for violation in result.violations:
            click.echo(f"  {violation['rule']}: {violation['text']}")
        if result.violations:
            click.echo("  injected: " + "; ".join(result.fault_log))
    sys.exit(1 if broken else 0)


@dataclass(frozen=True)
class SeedResult:
    """Result of one seed: number of operations, violated invariants (`faults`), and injected faults
    (`befell`). The field names are the keys of the JSON output."""

    seed: int
    operations: int
    faults: list[dict[str, str]]
    befell: list[str]


def simulate_seed(plan: Plan, seed: int, mutant: str) -> SeedResult:
    """Simulates one seed in virtual time. Every third seed has five members instead of three."""
    plan = plan if seed % 3 or plan.members != 3 else replace(plan, members=5)
    if mutant:
        plan = mutants.plan(mutants.MUTANTS[mutant], plan)
    world = virtual.World(plan, seed, mutants.MUTANTS[mutant].broken if mutant else None)
    judge = world.run()
    faults = [{"rule": fault.rule, "text": fault.text} for fault in judge.violations]
    return SeedResult(seed, len(judge.operations), faults, world.fault_log)


@processes.command()
@click.argument("file", type=FILE)
@click.option(
    "--seeds", default="0-199", show_default=True, callback=parse_seeds, metavar="A-B", help="Seeds to run."
)
@click.option(
    "--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Number of worker processes."
)
@MUTANT
@JSON
def search(file: str, seeds: range, jobs: int, mutant: str | None, as_json: bool) -> None:
    """Run the scenario in virtual time, once for each seed. Exit code 1 if an invariant is violated; the same
    seed reproduces it."""
    plan, count, operations, broken = load_scenario(file).plan(), 0, 0, 0
    with ProcessPoolExecutor(min(jobs, len(seeds)), mp_context=get_context("spawn")) as pool:
        tasks = ([plan] * len(seeds), seeds, [mutant or ""] * len(seeds))
        for result in pool.map(simulate_seed, *tasks, chunksize=max(1, min(20, len(seeds) // jobs))):
            count, operations = count + 1, operations + result.operations
            broken += bool(result.faults)
            if as_json:
                click.echo(json.dumps(asdict(result)))
            elif result.faults and broken <= MAX_SEEDS_SHOWN:
                first, injected = result.faults[0], "; ".join(result.befell)
                click.echo(f"seed {result.seed}: {first['rule']}: {first['text']}; injected: {injected}")
    if not as_json:
        click.echo(f"{count} seeds, {operations} operations, {broken} with a violated invariant")
    sys.exit(1 if broken else 0)


@processes.command()
@click.argument("case", type=click.Choice(list(explorer.CASES)))
@click.option(
    "--depth", type=click.IntRange(1, 100), help="Maximum number of steps; by default that of the case."
)
@MUTANT
@JSON
def explore(case: str, depth: int | None, mutant: str | None, as_json: bool) -> None:
    """Explore all states of a small case, with every loss and order of messages. Exit code 1 if an invariant
    is violated."""
    bounds = explorer.CASES[case]
    bounds = replace(bounds, depth=depth or bounds.depth)
    node_class = mutants.MUTANTS[mutant].broken.member if mutant else explorer.RaftNode
    result = explorer.Explorer(bounds, node_class).explore()
    if as_json:
        click.echo(json.dumps(result.as_row()))
    else:
        click.echo(
            f"{case}: {result.states} states to depth {result.depth}"
            f"{' (complete)' if result.complete else ''}, {result.seconds:.1f} s; "
            f"{result.violation or 'no invariant violated'}"
        )
        for step in result.path:
            click.echo(f"  {step}")
    sys.exit(1 if result.violation else 0)


@processes.command("mutants")
@click.option(
    "--seeds", default="0-399", show_default=True, callback=parse_seeds, metavar="A-B", help="Seeds to run."
)
def list_mutants(seeds: range) -> None:
    """Run each deliberately broken coordinator until a seed detects it. Exit code 1 if one is not detected by
    its own invariant."""
    missed = False
    for name, mutant in mutants.MUTANTS.items():
        seed, rule, text = next(mutants.caught(name, seeds), (0, "", "not caught"))
        missed |= rule not in mutant.rules
        where = f"case {mutant.case}" if mutant.case else f"seed {seed}"
        click.echo(f"{name}: {rule or 'missed'} ({where}): {text}")
    sys.exit(1 if missed else 0)


processes.add_command(lab_rules.fleet_rules)
processes.add_command(lab_rules.singleton_roles)
