"""Keeps references to the tasks that a part of the process starts, and reports their failures.

The event loop itself holds only weak references to tasks.
"""

import asyncio
from collections.abc import Coroutine


class OwnedTasks:
    """Tasks of one owner: referenced while they run, cancelled together, their failures reported at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs the coroutine in a task of the loop."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancels all tasks that are still running."""
        for task in self.tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.loop.call_exception_handler({"message": "a task failed", "exception": error, "task": task})
