"""Handles uncaught exceptions of the event loop: logs them, and exits if an invariant is broken."""

import asyncio
import logging
import os
import traceback
from typing import Any

from foxspread.mesh.errors import InvariantViolation
from foxspread.mesh.log import log_event

EXIT_INVARIANT_VIOLATION = 70  # EX_SOFTWARE of sysexits.h


def handle_uncaught_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Logs an uncaught exception of the event loop; exits at once if it is an `InvariantViolation`."""
    error = context.get("exception")
    log_event(
        "fault",
        logging.ERROR,
        what=context.get("message", ""),
        error=repr(error),
        where=innermost_frame(error),
    )
    if isinstance(error, InvariantViolation):
        os._exit(EXIT_INVARIANT_VIOLATION)


def innermost_frame(error: BaseException | None) -> str:
    """Returns FILE:LINE of the error's innermost frame in the mesh's code, or "" if there is none."""
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    mesh_frames = [frame for frame in frames if "mesh" in frame.filename]
    if not mesh_frames:
        return ""
    return f"{os.path.basename(mesh_frames[-1].filename)}:{mesh_frames[-1].lineno}"
