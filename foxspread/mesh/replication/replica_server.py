"""A replica that runs in an event loop with a `Storage`; calls return futures."""

import asyncio
from collections.abc import Callable

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import Fields
from foxspread.mesh.replication.proposer import Outcome
from foxspread.mesh.replication.replica import CALL_TIMEOUT_S, Replica
from foxspread.mesh.replication.storage import Storage

TIMEOUT_PER_ITEM_S = 0.0005  # added to the timeout for each item, since large calls take longer at each step
NO_QUORUM_TIMEOUT_S = 0.3  # timeout of calls on a replica without a quorum, so that callers soon try another


class ReplicaServer(Replica):
    """The replica of a process that has storage."""

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
        self.call_timeout_s: Callable[[], float] = lambda: CALL_TIMEOUT_S  # timeout of a call made now

    @property
    def members(self) -> MemberSet:
        """The newest member set in the committed set of this replica."""
        return self.acceptor.members

    def submit(self, items: list[Item]) -> "asyncio.Future[Outcome]":
        """Returns a future of the outcome, True or a `Failure`; a call without items is a read."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        timeout_s = self.call_timeout_s() + TIMEOUT_PER_ITEM_S * len(items)
        self.call(items, lambda outcome: None if future.done() else future.set_result(outcome), timeout_s)
        return future

    def _call_in_loop(self, call: Callable[..., None], *arguments: object) -> None:
        asyncio.get_running_loop().call_soon(call, *arguments)
