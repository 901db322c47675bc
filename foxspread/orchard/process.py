"""`python -m foxspread.orchard.process`: one process of the mesh as the platform starts it, without what the
command line loads. `python -m foxspread.orchard node` is the same for people.
"""

import asyncio
import os
import sys

import uvloop

from foxspread.orchard.log import say, start
from foxspread.orchard.node import Node
from foxspread.orchard.outcome import Failure
from foxspread.orchard.settings import FILE_VARIABLE, read


def serve(path: str | None = None) -> int:
    """Until its end; returns the exit code. `path`: the settings file, else FOXSPREAD_NODE_FILE names it."""
    if path is not None:
        os.environ[FILE_VARIABLE] = path  # it is read again while the process runs
    told = read()
    start(told.node if told else "unknown")
    if isinstance(told, Failure):
        say("settings_refused", why=told.reason)
        return 2

    async def run() -> None:
        await Node(told, asyncio.get_running_loop()).run()

    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(serve())
