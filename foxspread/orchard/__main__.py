"""`python -m foxspread.orchard node`: one process of the mesh, by its settings file alone."""

import asyncio
import os
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
    from foxspread.orchard.settings import FILE_VARIABLE, read

    if path is not None:
        os.environ[FILE_VARIABLE] = path  # it is read again while the process runs
    told = read()
    start(told.node if told else "unknown")
    if isinstance(told, Failure):
        say("settings_refused", why=told.reason)
        sys.exit(2)

    async def run() -> None:
        await Node(told, asyncio.get_running_loop()).run()

    uvloop.install()
    asyncio.run(run())


if __name__ == "__main__":
    main()
