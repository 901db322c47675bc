"""The command `foxspread mesh soak`: declares and checks its options."""

import asyncio
import pathlib
import sys
import tempfile

import click

from foxspread.mesh.options import parse_seeds


@click.command()
@click.option("--seeds", default="1-1", callback=parse_seeds, metavar="A-B", help="Range of seeds.")
@click.option(
    "--seconds", default=60.0, show_default=True, type=click.FloatRange(10, 7200), help="Load of one."
)
@click.option(
    "--max-machines",
    default=24,
    show_default=True,
    type=click.IntRange(3, 150),
    help="Replicas and sidecars at most; each sidecar has a server's process beside it.",
)
@click.option(
    "--plan", "plan_file", type=click.Path(path_type=pathlib.Path), help="Plays the plan in this file."
)
@click.option("--folder", metavar="DIR", help="Folder for plans, reports and logs; by default a new one.")
@click.option("--mutant", metavar="NAME", help="Runs a faulty process of the mesh, to test the soak itself.")
@click.option("--shrink", is_flag=True, help="Plays a failing plan again with fewer disruptions.")
def soak(
    seeds: range,
    seconds: float,
    max_machines: int,
    plan_file: pathlib.Path | None,
    folder: str | None,
    mutant: str | None,
    shrink: bool,
) -> None:
    """Run real processes under load, signals and changes drawn from seeds; judge what was seen.

    The exit code is 1 if a rule was broken. Each seed's plan and report are kept in a folder of its own.
    """
    import uvloop

    from foxspread.mesh.local_cluster.layout import LocalClusterError
    from foxspread.mesh.local_cluster.supervisor import NODE_COMMAND
    from foxspread.mesh.soak.command import play_all, read_plan
    from foxspread.mesh.soak.mutants import MODULE, MUTANTS
    from foxspread.mesh.soak.plan import draw_plan

    if mutant is not None and mutant not in MUTANTS:
        raise click.UsageError(f"--mutant {mutant}: expected one of {', '.join(MUTANTS)}")
    command = (MODULE, mutant) if mutant is not None else NODE_COMMAND
    place = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    click.echo(f"plans, reports and logs: {place}")
    try:
        plans = [read_plan(plan_file)] if plan_file else (draw_plan(n, seconds, max_machines) for n in seeds)
        passed = play_all(plans, place, click.echo, uvloop.run, command, shrink)
    except (OSError, ValueError) as error:
        raise click.UsageError(str(error)) from None
    except (LocalClusterError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None
    except asyncio.CancelledError:
        raise click.ClickException("ended by a signal, and all processes with it") from None
    sys.exit(0 if passed else 1)
