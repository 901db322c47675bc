"""The `foxspread` command: parses arguments and calls functions that tests can call as well.

Exit codes of all commands: 0 success; 1 an invariant was violated or the operation failed; 2 the command line
or a file is invalid, and the message names the place.
"""

import sys
from importlib import import_module

import click

from foxspread.cli.coordinator import coordinator
from foxspread.cli.lab import lab
from foxspread.cli.processes import processes
from foxspread.cli.rules import rules

VERSION = "0.2.0"
LAZY_COMMANDS = {"mesh": "foxspread.mesh.cli"}  # imported on use: they may need optional dependencies


class LazyGroup(click.Group):
    """Group that imports the module of a command in `LAZY_COMMANDS` on first use and takes its attribute of
    the same name."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *LAZY_COMMANDS])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in LAZY_COMMANDS:
            return getattr(import_module(LAZY_COMMANDS[name]), name)
        return super().get_command(context, name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION, prog_name="foxspread")
def foxspread() -> None:
    """Run and operate the foxspread sidecar load balancer, and test it in simulations.

    \b
    foxspread serve                        run one sidecar, configured by the file in EDGE_CONFIG
    foxspread coordinator run FILE         run one of the coordinators that store the fleet rules
    foxspread rules put FILE               write a new version of the fleet rules
    foxspread lab run scenarios/calm.toml  simulate a scenario and print its results
    foxspread mesh up                      start a local cluster on this machine
    """


@foxspread.command()
@click.option(
    "--operator", metavar="FILE", help="Further settings by the operator, as in deploy/operator.toml."
)
def serve(operator: str | None) -> None:
    """Run one sidecar in the foreground (same as `python -m foxspread`).

    \b
    EDGE_CONFIG=deploy/example.json foxspread serve
    """
    from foxspread.__main__ import main as run_sidecar

    sys.exit(run_sidecar(["--operator", operator] if operator else []))


lab.add_command(processes)
for command in (coordinator, rules, lab):
    foxspread.add_command(command)


def main() -> None:
    foxspread()


if __name__ == "__main__":
    main()
