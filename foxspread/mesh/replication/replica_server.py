"""Puts acceptor, proposer, disk and links together on a machine with a disk: `Replica` in an event loop,
each call a future.
"""

import asyncio
from collections.abc import Callable

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.replication.storage import Storage
from foxspread.mesh.replication.acceptor import Message
from foxspread.mesh.replication.quorum_contact import Report
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.replica import PATIENCE_S, Replica

ITEM_S = 0.0005  # more for each item of a call: a large one takes its time at each step
CUT_OFF_S = 0.3  # for a call on a keeper without contact to a majority: its caller is to go elsewhere soon


class ReplicaServer(Replica):
    def __init__(
        self,
        clock: Callable[[], float],
        incarnation: str,
        draw: Callable[[], float],
        disk: Storage,
        send: Callable[[str, Message], bool],
        committed: Callable[[list[Item]], None],
    ) -> None:
        super().__init__(clock, incarnation, draw, disk.put, send, self._soon, committed)
        self.disk = disk
        self.patience: Callable[[], float] = lambda: PATIENCE_S  # for a call that comes now, seconds

    @property
    def members(self) -> MemberSet:
        """The agreed members, as settled here."""
        return self.acceptor.members

    def own_report(self, zone: str, leaving: bool, hears: tuple[str, ...]) -> Report:
        acceptor = self.acceptor
        return Report(
            acceptor.me,
            acceptor.known and acceptor.voting,
            self.members.epoch,
            acceptor.learner.committed_number,
            max(acceptor.accepted, acceptor.learner.committed_number),
            zone,
            leaving,
            hears,
            acceptor.disk,
        )

    def submit(self, items: list[Item]) -> asyncio.Future:
        """True, or a failure; without items a read."""
        future = asyncio.get_running_loop().create_future()
        patience = self.patience() + ITEM_S * len(items)
        self.ask(items, lambda told: None if future.done() else future.set_result(told), patience)
        return future

    def _soon(self, call: Callable[..., None], *told: object) -> None:
        asyncio.get_running_loop().call_soon(call, *told)
