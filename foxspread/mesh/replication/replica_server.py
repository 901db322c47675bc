"""A replica in an event loop, on a real storage: each call is a future."""

import asyncio
from collections.abc import Callable

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import Fields
from foxspread.mesh.replication.proposer import Outcome
from foxspread.mesh.replication.replica import CALL_TIMEOUT_S, Replica
from foxspread.mesh.replication.storage import Storage

TIMEOUT_PER_ITEM_S = 0.0005  # added for each item of a call: a large one takes its time at each step
NO_QUORUM_TIMEOUT_S = 0.3  # for a call on a replica without a quorum: its caller is to go elsewhere soon


class ReplicaServer(Replica):
    """The replica of a process with storage."""

    def __init__(
        self,
        clock: Callable[[], float],
        incarnation: str,
        draw: Callable[[], float],
        storage: Storage,
        send: Callable[[str, Fields], bool],
        on_committed: Callable[[list[Item]], None],
    ) -> None:
        super().__init__(clock, incarnation, draw, storage.write, send, self._call_in_loop, on_committed)
        self.storage = storage
        self.call_timeout_s: Callable[[], float] = lambda: CALL_TIMEOUT_S  # of a call that comes now

    @property
    def members(self) -> MemberSet:
        """The members, as committed here."""
        return self.acceptor.members

    def submit(self, items: list[Item]) -> "asyncio.Future[Outcome]":
        """Resolves to True, or to a `Failure`; without items it is a read."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        timeout_s = self.call_timeout_s() + TIMEOUT_PER_ITEM_S * len(items)
        self.call(items, lambda outcome: None if future.done() else future.set_result(outcome), timeout_s)
        return future

    def _call_in_loop(self, call: Callable[..., None], *arguments: object) -> None:
        asyncio.get_running_loop().call_soon(call, *arguments)
