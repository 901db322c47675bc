"""Reads the settings and runs a node until it has shut down.

This module does not import the command line's libraries, which saves memory in each sidecar.
"""

import asyncio
import os

import uvloop

from foxspread.mesh.errors import Failure
from foxspread.mesh.log import configure_logging, log_event
from foxspread.mesh.node import Node
from foxspread.mesh.settings import FILE_VARIABLE, read_settings

EXIT_OK, EXIT_SETTINGS_REFUSED = 0, 2


def serve(path: str | None = None) -> int:
    """Runs a node until it has shut down; returns the exit code.

    `path` is the settings file; if it is None, the environment variable FOXSPREAD_NODE_FILE names the file.
    """
    if path is not None:
        os.environ[FILE_VARIABLE] = path  # the running process rereads the file
    settings = read_settings()
    configure_logging(settings.node if settings else "unknown")
    if isinstance(settings, Failure):
        log_event("settings_refused", why=settings.reason)
        return EXIT_SETTINGS_REFUSED

    async def run() -> None:
        await Node(settings, asyncio.get_running_loop()).run()

    uvloop.run(run())
    return EXIT_OK
