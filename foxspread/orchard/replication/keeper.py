"""Puts acceptor, proposer, disk and links together on a machine with a disk: `Replica` in an event loop,
each call a future.
"""

import asyncio
from collections.abc import Callable

from foxspread.orchard.configuration.items import Item
from foxspread.orchard.replication.disk import Disk
from foxspread.orchard.replication.acceptor import Message
from foxspread.orchard.replication.replica import Replica


class Keeper(Replica):
    def __init__(
        self,
        clock: Callable[[], float],
        life: str,
        draw: Callable[[], float],
        disk: Disk,
        send: Callable[[str, Message], bool],
        settled: Callable[[list[Item]], None],
    ) -> None:
        super().__init__(clock, life, draw, disk.put, send, self._soon, settled)
        self.disk = disk

    def submit(self, items: list[Item]) -> asyncio.Future:
        """True, or a failure; without items a read."""
        future = asyncio.get_running_loop().create_future()
        self.ask(items, lambda outcome: None if future.done() else future.set_result(outcome))
        return future

    def _soon(self, call: Callable[..., None], *told: object) -> None:
        asyncio.get_running_loop().call_soon(call, *told)
