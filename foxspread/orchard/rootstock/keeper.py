"""Puts stock, writer, disk and links together on a machine with a disk: `Tending` in an event loop, each call
a future.
"""

import asyncio
from collections.abc import Callable

from foxspread.orchard.graft.items import Item
from foxspread.orchard.rootstock.disk import Disk
from foxspread.orchard.rootstock.stock import Message
from foxspread.orchard.rootstock.tending import Tending


class Keeper(Tending):
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
