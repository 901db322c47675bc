"""`foxspread NOUN ...`. Thin: every command calls a function that a test can call.

Exit codes, the same for all commands: 0 fine; 1 rules were broken, or what was asked for failed; 2 the call
or a file is at fault, and the text names where.
"""

import sys
from importlib import import_module

import click

from foxspread.cli.coordinator import coordinator
from foxspread.cli.lab import lab
from foxspread.cli.processes import processes
from foxspread.cli.rules import rules

VERSION = "0.2.0"
LAZY = {"mesh": "foxspread.mesh.cli"}  # loaded when they are called: they may need extras


class Commands(click.Group):
    """Finds a command of `LAZY` as the attribute of the same name in its module."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *LAZY])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in LAZY:
            return getattr(import_module(LAZY[name]), name)
        return super().get_command(context, name)


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(VERSION, prog_name="foxspread")
def foxspread() -> None:
    """A sidecar balancer for service-to-service calls, and the tools round it.

    \b
    foxspread serve                        one sidecar, told by EDGE_CONFIG
    foxspread coordinator run FILE         one of a few that agree on versions of the rules
    foxspread rules put FILE               a new version
    foxspread lab run scenarios/calm.toml  what a scenario does to lookups
    foxspread mesh up                      a whole mesh on this machine
    """


@foxspread.command()
@click.option("--operator", metavar="FILE", help="What the operator adds; see deploy/operator.toml.")
def serve(operator: str | None) -> None:
    """Run one sidecar in the foreground, as `python -m foxspread` does.

    \b
    EDGE_CONFIG=deploy/example.json foxspread serve
    """
    from foxspread.__main__ import main as sidecar

    sys.exit(sidecar(["--operator", operator] if operator else []))


lab.add_command(processes)
for each in (coordinator, rules, lab):
    foxspread.add_command(each)


def main() -> None:
    foxspread()


if __name__ == "__main__":
    main()
