"""`foxspread lab processes ...`: several coordinators under faults, as real processes and in virtual time."""

import asyncio
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, replace
from multiprocessing import get_context
from typing import Any

import click

from foxspread.lab.processes import (
    end_to_end,
    end_to_end_child,
    explorer,
    fleet_rules_mutants,
    fleet_rules_processes,
    fleet_rules_simulation,
    mutants,
    real,
    scenario,
    singleton_explorer,
    singleton_simulation,
    virtual,
)
from foxspread.lab.processes.scenario import Scenario
from foxspread.lab.scenario import ScenarioError, SocketsError

FILE = click.Path(exists=True, dir_okay=False)
JSON = click.option("--json", "as_json", is_flag=True, help="A line of JSON for each run.")
MUTANT = click.option("--mutant", type=click.Choice(list(mutants.MUTANTS)), help="A broken one in its place.")


def loaded(path: str) -> Scenario:
    try:
        return scenario.load(path)
    except ScenarioError as error:
        raise click.UsageError(f"{path}: {error}") from None


def seeds_of(_: Any, parameter: click.Parameter, text: str) -> range:
    first, dash, last = text.partition("-")
    if not (first.isdigit() and (last.isdigit() if dash else not last)):
        raise click.BadParameter(f"{text!r} must be N or A-B")
    return range(int(first), int(last or first) + 1)


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
    told, broken = loaded(file), False
    for seed in seeds:
        try:
            played = asyncio.run(real.played(told, seed, mutant or ""))
        except SocketsError as error:
            raise click.ClickException(str(error)) from None
        broken |= bool(played.faults)
        if as_json:
            click.echo(json.dumps(asdict(played)))
            continue
        counts = ", ".join(f"{count} {kind}" for kind, count in sorted(played.operations.items()))
        click.echo(
            f"seed {seed}: {played.versions} versions; {counts}; {len(played.befell)} faults befell; "
            f"longest without a put {played.worst:.2f} s; "
            + ("rules broken:" if played.faults else "no rule broken")
        )
        for each in played.faults:
            click.echo(f"  {each['rule']}: {each['text']}")
        if played.faults:
            click.echo("  befell: " + "; ".join(played.befell))
    sys.exit(1 if broken else 0)


def searched(plan: virtual.Plan, seed: int, mutant: str) -> tuple[int, int, list[dict[str, str]], list[str]]:
    """A seed: operations, what the judge found, what befell. Every third seed has five members."""
    plan = plan if seed % 3 or plan.members != 3 else replace(plan, members=5)
    if mutant:
        plan = mutants.plan(mutants.MUTANTS[mutant], plan)
    world = virtual.World(plan, seed, mutants.MUTANTS[mutant].broken if mutant else None)
    judge = world.play()
    return seed, len(judge.ops), [{"rule": each.rule, "text": each.text} for each in judge.faults], world.told


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
        for seed, ops, faults, told in pool.map(
            searched, *tasks, chunksize=max(1, min(20, len(seeds) // jobs))
        ):
            count, operations, broken = count + 1, operations + ops, broken + bool(faults)
            if as_json:
                click.echo(json.dumps({"seed": seed, "operations": ops, "faults": faults, "befell": told}))
            elif faults and broken <= 5:
                click.echo(
                    f"seed {seed}: {faults[0]['rule']}: {faults[0]['text']}; befell: {'; '.join(told)}"
                )
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
    told = explorer.CASES[case]
    told = replace(told, depth=depth or told.depth)
    kind = mutants.MUTANTS[mutant].broken.member if mutant else explorer.Member
    found = explorer.Explorer(told, kind).explore()
    if as_json:
        click.echo(json.dumps(asdict(found)))
    else:
        click.echo(
            f"{case}: {found.states} states to depth {found.depth}"
            f"{', which are all there are' if found.whole else ''}, {found.seconds:.1f} s; "
            f"{found.fault or 'no rule broken'}"
        )
        for step in found.path:
            click.echo(f"  {step}")
    sys.exit(1 if found.fault else 0)


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


def acted(plan: fleet_rules_simulation.AgreedPlan, seed: int, mutant: str) -> fleet_rules_simulation.Result:
    """A seed of sidecars that act on agreed rules."""
    if not mutant:
        return fleet_rules_simulation.played(plan, seed)
    broken = fleet_rules_mutants.MUTANTS[mutant]
    fleet_rules_mutants.LEASES.clear()
    return fleet_rules_simulation.played(replace(plan, **broken.plan), seed, broken.broken)


@processes.command("agreed")
@click.option("--seeds", default="1-40", show_default=True, callback=seeds_of, metavar="A-B")
@click.option(
    "--real", "as_processes", is_flag=True, help="Real processes on loopback, one run of 20 s after another."
)
@click.option(
    "--whole", is_flag=True, help="Whole sidecars with servers and clients, judged by what these saw."
)
@click.option("--cases", is_flag=True, help="The hard cases by name, with whole sidecars.")
@click.option("--sidecars", default=12, show_default=True, type=click.IntRange(1, 5000))
@click.option(
    "--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Processes that search."
)
@click.option(
    "--mutant",
    type=click.Choice(sorted({*fleet_rules_mutants.MUTANTS, *end_to_end_child.MUTANTS})),
    help="A broken one in its place; with --whole those of whole sidecars.",
)
@JSON
def agreed_(
    seeds: range,
    as_processes: bool,
    whole: bool,
    cases: bool,
    sidecars: int,
    jobs: int,
    mutant: str | None,
    as_json: bool,
) -> None:
    """Sidecars that act on agreed rules, in virtual time: each act is judged by the version in force at its
    moment. Exit code 1 where a rule is broken."""
    if mutant and mutant not in (end_to_end_child.MUTANTS if whole else fleet_rules_mutants.MUTANTS):
        raise click.UsageError(f"--mutant {mutant} is not there {'with' if whole else 'without'} --whole")
    if cases:
        return sys.exit(wholly({name: {"name": name} for name in end_to_end.CASES}, end_to_end.case, as_json))
    if whole:
        runs = {f"seed {seed}": {"seed": seed, "cars": sidecars, "mutant": mutant or ""} for seed in seeds}
        return sys.exit(wholly(runs, end_to_end.played, as_json))
    if as_processes:
        return sys.exit(really(seeds, sidecars, mutant or "", as_json))
    plan, broken = replace(fleet_rules_simulation.AgreedPlan(), cars=sidecars), 0
    acts: dict[str, int] = {}
    worst: dict[str, float] = {}
    settling: list[float] = []
    versions = withdrawn = 0
    with ProcessPoolExecutor(min(jobs, len(seeds)), mp_context=get_context("spawn")) as pool:
        for result in pool.map(acted, [plan] * len(seeds), seeds, [mutant or ""] * len(seeds)):
            broken += bool(result.faults)
            versions, withdrawn = versions + result.versions, withdrawn + result.withdrawn
            settling += result.settling
            for mode, count in result.acts.items():
                acts[mode] = acts.get(mode, 0) + count
            for path, seconds in result.worst.items():
                worst[path] = max(worst.get(path, 0.0), seconds)
            if as_json:
                click.echo(json.dumps(asdict(result)))
            elif result.faults and broken <= 5:
                first = result.faults[0]
                click.echo(
                    f"seed {result.seed}: {first.rule}: {first.text}; befell: {'; '.join(result.told)}"
                )
    if not as_json:
        settling.sort()
        told = ", ".join(f"{count} {mode}" for mode, count in acts.items())
        click.echo(
            f"{len(seeds)} seeds, {broken} with a rule broken; acts: {told}; {versions} versions in force, "
            f"{withdrawn} withdrawn; bound {plan.terms.bound():.3f} s"
        )
        if settling:
            at = [settling[int(share * (len(settling) - 1))] for share in (0.5, 0.99, 1.0)]
            click.echo("from announced to in force: p50 %.3f, p99 %.3f, longest %.3f s" % tuple(at))
        for path, seconds in sorted(worst.items()):
            click.echo(f"longest after the change: {path} {seconds:.3f} s")
    sys.exit(1 if broken else 0)


def really(seeds: range, sidecars: int, mutant: str, as_json: bool) -> int:
    broken = False
    for seed in seeds:
        found = asyncio.run(fleet_rules_processes.played(seed, cars=sidecars, mutant=mutant))
        broken |= bool(found.faults)
        if as_json:
            click.echo(json.dumps(asdict(found)))
            continue
        acts = ", ".join(f"{count} {mode}" for mode, count in found.acts.items())
        worst = "".join(f"; longest after the change: {each} {at:.3f} s" for each, at in found.worst.items())
        told = f"{found.versions} versions in force; {len(found.befell)} faults befell{worst}"
        click.echo(f"seed {seed}: acts: {acts}; {told}")
        for each in found.faults:
            click.echo(f"  {each}")
    return 1 if broken else 0


def wholly(runs: dict[str, dict[str, Any]], play: Any, as_json: bool) -> int:
    broken = False
    for run, told in runs.items():
        found = asyncio.run(play(**told))
        broken |= bool(found.faults)
        if as_json:
            click.echo(json.dumps(asdict(found)))
            continue
        lookups = ", ".join(f"{count} {word}" for word, count in sorted(found.lookups.items()))
        worst = "".join(f"; longest after the change: {each} {at:.3f} s" for each, at in found.worst.items())
        click.echo(
            f"{run}: lookups: {lookups}; {found.hand_offs} hand-offs, {found.repeats} repeats; "
            f"{found.versions} versions in force; {len(found.befell)} faults befell{worst}; "
            + ("rules broken:" if found.faults else "no rule broken")
        )
        for each in found.faults:
            click.echo(f"  {each}")
    return 1 if broken else 0


def dutiful(plan: singleton_simulation.DutyPlan, seed: int, mutant: str) -> singleton_simulation.Result:
    if not mutant:
        return singleton_simulation.played(plan, seed)
    broken = singleton_simulation.MUTANTS[mutant]
    return singleton_simulation.played(replace(plan, **broken.plan), seed, broken.broken)


@processes.command("duties")
@click.option("--seeds", default="1-40", show_default=True, callback=seeds_of, metavar="A-B")
@click.option("--instances", default=6, show_default=True, type=click.IntRange(1, 5000))
@click.option(
    "--jobs", default=os.cpu_count() or 1, type=click.IntRange(1, 256), help="Processes that search."
)
@click.option(
    "--mutant", type=click.Choice(list(singleton_simulation.MUTANTS)), help="A broken one in its place."
)
@click.option("--explore", is_flag=True, help="All states of small cases instead, broken ones among them.")
@JSON
def duties_(
    seeds: range, instances: int, jobs: int, mutant: str | None, explore: bool, as_json: bool
) -> None:
    """Duties with one owner at a time, in virtual time, judged by what receivers saw. Exit code 1 where a
    rule is broken."""
    if explore:
        return sys.exit(duties_explored(as_json))
    plan, broken, moves = replace(singleton_simulation.DutyPlan(), cars=instances), 0, []
    counts: dict[str, int] = {}
    with ProcessPoolExecutor(min(jobs, len(seeds)), mp_context=get_context("spawn")) as pool:
        for result in pool.map(dutiful, [plan] * len(seeds), seeds, [mutant or ""] * len(seeds)):
            broken += bool(result.faults)
            moves += result.moves
            for what, count in result.counts.items():
                counts[what] = counts.get(what, 0) + count
            if as_json:
                click.echo(json.dumps(asdict(result)))
            elif result.faults and broken <= 5:
                first, told = result.faults[0], "; ".join(result.told)
                click.echo(f"seed {result.seed}: {first.rule}: {first.text}; befell: {told}")
    if not as_json:
        told = ", ".join(f"{count} {what}" for what, count in counts.items())
        click.echo(f"{len(seeds)} seeds, {broken} with a rule broken; {told}; {len(moves)} moves")
        if moves:
            moves.sort()
            at = [moves[int(share * (len(moves) - 1))] for share in (0.5, 0.99, 1.0)]
            click.echo(
                "from the last act of an owner to the next one's first: p50 %.3f, p99 %.3f, longest %.3f s"
                % tuple(at)
            )
    sys.exit(1 if broken else 0)


def duties_explored(as_json: bool) -> int:
    """Exit code 1 where a sound one breaks an invariant, or a broken one none."""
    wrong = False
    for case, mutant in [(case, "") for case in singleton_explorer.CASES] + [
        (case, name) for name, (case, _) in singleton_explorer.MUTANTS.items()
    ]:
        found = singleton_explorer.explored(case, mutant)
        wrong |= bool(found.fault) != bool(mutant)
        if as_json:
            click.echo(json.dumps({"case": case, "mutant": mutant} | asdict(found)))
            continue
        told = f"{found.states} states, " + ("whole" if found.whole else f"to depth {found.depth}")
        click.echo(f"{case} {mutant}: {told}" + (f"; {found.fault}" if found.fault else ""))
        if found.fault and not mutant:
            click.echo("  " + "; ".join(found.path))
    return 1 if wrong else 0
