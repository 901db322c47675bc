"""`python -m foxspread.mesh.process`: one process of the mesh as the platform starts it, without what the
command line loads. `python -m foxspread.mesh node` is the same for people.
"""

import asyncio
import os
import sys

import uvloop

from foxspread.mesh.log import log_event, configure_logging
from foxspread.mesh.node import Node
from foxspread.mesh.errors import Failure
from foxspread.mesh.settings import FILE_VARIABLE, read_settings


def serve(path: str | None = None) -> int:
    """Until its end; returns the exit code. `path`: the settings file, else FOXSPREAD_NODE_FILE names it."""
    if path is not None:
        os.environ[FILE_VARIABLE] = path  # it is read again while the process runs
    told = read_settings()
    configure_logging(told.node if told else "unknown")
    if isinstance(told, Failure):
        log_event("settings_refused", why=told.reason)
        return 2

    async def run() -> None:
        await Node(told, asyncio.get_running_loop()).run()

    uvloop.run(run())
    return 0


if __name__ == "__main__":
    sys.exit(serve())
