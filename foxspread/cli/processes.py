"""`foxspread lab processes ...`: several coordinators under faults, as real processes and in virtual time."""

import asyncio
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from multiprocessing import get_context

import click

from foxspread.cli import lab_rules
from foxspread.cli.lab_rules import JSON, MAX_SEEDS_SHOWN, seeds_of
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
MUTANT = click.option("--mutant", type=click.Choice(list(mutants.MUTANTS)), help="A broken one in its place.")


def loaded(path: str) -> Scenario:
    """The scenario of a file. Raises `click.UsageError` where it is at fault."""
    try:
        return scenario.load(path)
    except ScenarioError as error:
        raise click.UsageError(f"{path}: {error}") from None


@click.group()
def processes() -> None:
    """Several coordinators under faults between them: real processes, and thousands of seeds in virtual time.

    \b
    foxspread lab processes run scenarios/processes/mixed.toml --seed 3
    foxspread lab processes search scenarios/processes/mixed.toml --seeds 0-1999
    """


@processes.command()
@click.argument("file", type=FILE)
@click.option("--seed", "seeds", default="1", show_default=True, callback=seeds_of, metavar="N or A-B")
@MUTANT
@JSON
def run(file: str, seeds: range, mutant: str | None, as_json: bool) -> None:
    """Real processes on loopback, one run a seed. Exit code 1 where a rule is broken."""
    named_scenario, broken = loaded(file), False
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
            f"seed {seed}: {result.versions} versions; {counts}; {len(result.fault_log)} faults befell; "
            f"longest without a put {result.longest_without_put:.2f} s; "
            + ("rules broken:" if result.violations else "no rule broken")
        )
        for each in result.violations:
            click.echo(f"  {each['rule']}: {each['text']}")
        if result.violations:
            click.echo("  befell: " + "; ".join(result.fault_log))
    sys.exit(1 if broken else 0)


@dataclass(frozen=True)
class SeedResult:
    """What a seed gave: how many operations, what the judge found, and the faults that struck."""

    seed: int
    operations: int
    faults: list[dict[str, str]]
    befell: list[str]


def searched(plan: Plan, seed: int, mutant: str) -> SeedResult:
    """Plays a seed in virtual time. Every third seed has five members."""
    plan = plan if seed % 3 or plan.members != 3 else replace(plan, members=5)
    if mutant:
        plan = mutants.plan(mutants.MUTANTS[mutant], plan)
    world = virtual.World(plan, seed, mutants.MUTANTS[mutant].broken if mutant else None)
    judge = world.run()
    faults = [{"rule": fault.rule, "text": fault.text} for fault in judge.violations]
    return SeedResult(seed, len(judge.operations), faults, world.fault_log)


@processes.command()
@click.argument("file", type=FILE)
@click.option("--seeds", default="0-199", show_default=True, callback=seeds_of, metavar="A-B")
@click.option(
    "--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Processes that search."
)
@MUTANT
@JSON
def search(file: str, seeds: range, jobs: int, mutant: str | None, as_json: bool) -> None:
    """The same coordinators in virtual time, one run a seed. Exit code 1 where a rule is broken; the seed
    replays it."""
    plan, count, operations, broken = loaded(file).plan(), 0, 0, 0
    with ProcessPoolExecutor(min(jobs, len(seeds)), mp_context=get_context("spawn")) as pool:
        tasks = ([plan] * len(seeds), seeds, [mutant or ""] * len(seeds))
        for result in pool.map(searched, *tasks, chunksize=max(1, min(20, len(seeds) // jobs))):
            count, operations = count + 1, operations + result.operations
            broken += bool(result.faults)
            if as_json:
                click.echo(json.dumps(asdict(result)))
            elif result.faults and broken <= MAX_SEEDS_SHOWN:
                first, struck = result.faults[0], "; ".join(result.befell)
                click.echo(f"seed {result.seed}: {first['rule']}: {first['text']}; befell: {struck}")
    if not as_json:
        click.echo(f"{count} seeds, {operations} operations, {broken} with a rule broken")
    sys.exit(1 if broken else 0)


@processes.command()
@click.argument("case", type=click.Choice(list(explorer.CASES)))
@click.option(
    "--depth", type=click.IntRange(1, 100), help="Steps from the beginning; the case's own by default."
)
@MUTANT
@JSON
def explore(case: str, depth: int | None, mutant: str | None, as_json: bool) -> None:
    """All states of a small case, whatever is lost and in whatever order. Exit code 1 where a rule is
    broken."""
    bounds = explorer.CASES[case]
    bounds = replace(bounds, depth=depth or bounds.depth)
    kind = mutants.MUTANTS[mutant].broken.member if mutant else explorer.RaftNode
    result = explorer.Explorer(bounds, kind).explore()
    if as_json:
        click.echo(json.dumps(result.as_row()))
    else:
        click.echo(
            f"{case}: {result.states} states to depth {result.depth}"
            f"{', which are all there are' if result.complete else ''}, {result.seconds:.1f} s; "
            f"{result.violation or 'no rule broken'}"
        )
        for step in result.path:
            click.echo(f"  {step}")
    sys.exit(1 if result.violation else 0)


@processes.command("mutants")
@click.option("--seeds", default="0-399", show_default=True, callback=seeds_of, metavar="A-B")
def caught(seeds: range) -> None:
    """Each broken coordinator, and the first seed that catches it. Exit code 1 where one is not caught by its
    rule."""
    missed = False
    for name, mutant in mutants.MUTANTS.items():
        seed, rule, text = next(mutants.caught(name, seeds), (0, "", "not caught"))
        missed |= rule not in mutant.rules
        where = f"case {mutant.case}" if mutant.case else f"seed {seed}"
        click.echo(f"{name}: {rule or 'missed'} ({where}): {text}")
    sys.exit(1 if missed else 0)


processes.add_command(lab_rules.fleet_rules)
processes.add_command(lab_rules.singleton_roles)
