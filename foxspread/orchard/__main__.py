"""`python -m foxspread.orchard node`: one process of the mesh, by its settings file alone.
`python -m foxspread.orchard sim`: the cores of a whole fleet in virtual time.
"""

import asyncio
import sys

import click

from foxspread.orchard.log import say, start
from foxspread.orchard.outcome import Failure


@click.group()
def main() -> None:
    """The mesh."""


@main.command()
@click.option("--settings", "path", help="The settings file; else FOXSPREAD_NODE_FILE names it.")
def node(path: str | None) -> None:
    """Run one process: what it does follows from its settings."""
    import uvloop

    from foxspread.orchard.node import Node
    from foxspread.orchard.settings import read

    told = read(path)
    start(told.node if told else "unknown")
    if isinstance(told, Failure):
        say("settings_refused", why=told.reason)
        sys.exit(2)

    async def run() -> None:
        await Node(told, asyncio.get_running_loop()).run()

    uvloop.install()
    asyncio.run(run())


def _seeds(context: click.Context, option: click.Option, text: str) -> range:
    try:
        first, _, last = text.partition("-")
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text}: wants A-B") from error


@main.command()
@click.option("--seeds", default="1-1000", show_default=True, callback=_seeds, metavar="A-B")
@click.option("--machines", default=3, show_default=True, type=click.IntRange(3, 21), help="With a disk.")
@click.option("--faults", default="", metavar="A,B,...", help="Only these; 'none' for none.")
@click.option("--trace", type=int, metavar="SEED", help="One seed, told; the fewest events where it breaks.")
@click.option("--broken", default="", help="Plays a broken core of sim/broken.py.")
@click.option("--jobs", type=click.IntRange(1, 256), help="Processes; as many as there are processors.")
def sim(seeds: range, machines: int, faults: str, trace: int | None, broken: str, jobs: int | None) -> None:
    """Plays a fleet that agrees in virtual time, one run a seed. Exit code 1 where a rule is broken."""
    from foxspread.orchard.sim.agreement import FAULTS, Plan
    from foxspread.orchard.sim.broken import CORES
    from foxspread.orchard.sim.runs import several, traced

    kinds = FAULTS if not faults else tuple(each for each in faults.split(",") if each != "none")
    if unknown := [each for each in kinds if each not in FAULTS]:
        raise click.BadParameter(f"{', '.join(unknown)}: of {', '.join(FAULTS)}", param_hint="--faults")
    if broken and broken not in CORES:
        raise click.BadParameter(f"{broken}: one of {', '.join(CORES)}", param_hint="--broken")
    plan = Plan(machines=machines, faults=kinds)
    if trace is not None:
        return click.echo("\n".join(traced(plan, trace, broken)))
    summary = several(plan, seeds, jobs, broken)
    click.echo("\n".join(summary.lines()))
    sys.exit(1 if summary.broken else 0)


if __name__ == "__main__":
    main()
