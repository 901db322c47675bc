"""A disk for an acceptor's writes: what was synced outlives its machine; of what was not, the batch under
way is there whole or not at all, and what came later is not. It may be slow, stall or refuse for a while.
"""

from collections.abc import Callable

import orjson

from foxspread.mesh.replication.stored_state import (
    START_COUNT,
    DeleteRows,
    PutRows,
    RecoveredState,
    SetMeta,
    Write,
)
from foxspread.mesh.simulation.world import World

SYNC_S = 0.005
AGAIN_S = 0.05  # after a write that it refused


class SimDisk:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.meta: dict[str, bytes] = {}
        self.items: dict[tuple[str, str], bytes] = {}
        self.sync_s = SYNC_S
        self.stalled = self.refuses = False
        self.wipes = self.syncs = 0
        self.jobs: list[tuple[list[Write], Callable[[], None]]] = []
        self.under_way: list[tuple[list[Write], Callable[[], None]]] = []
        self.turn = 0  # of the machine that has it open: what an earlier one asked for is never told

    def open(self, members: tuple[str, ...], first: bool) -> RecoveredState:
        if "disk" not in self.meta:
            identity = (0 if first else 1, f"{self.name}.{self.wipes}.{self.turn}")
            self.meta[START_COUNT] = b"1"
            return RecoveredState(identity, members, voting=first, members_confirmed=first, start_count=1)
        self.meta[START_COUNT] = b"%d" % (orjson.loads(self.meta.get(START_COUNT, b"0")) + 1)
        meta = {name: orjson.loads(body) for name, body in self.meta.items()}
        return RecoveredState.from_stored(meta, [orjson.loads(body) for body in self.items.values()])

    def wipe(self) -> None:
        """Its machine must be down."""
        self.meta, self.items = {}, {}
        self.wipes += 1

    def power_lost(self) -> None:
        """Also where the process is killed."""
        if self.under_way and self.world.draw() < 0.5:
            self._keep()
        self.jobs, self.under_way = [], []
        self.turn += 1

    def write(self, writes: list[Write], then: Callable[[], None]) -> None:
        if not writes and not self.jobs and not self.under_way:
            return then()
        self.jobs.append((writes, then))
        if not self.under_way:
            self._begin()

    def _begin(self) -> None:
        self.under_way, self.jobs = self.jobs, []
        turn = self.turn
        self.world.after(self.world.within(0.6, 1.4) * self.sync_s, lambda: self._end(turn))

    def _end(self, turn: int) -> None:
        if turn != self.turn:
            return
        if self.stalled or self.refuses:
            return self.world.after(AGAIN_S, lambda: self._end(turn))
        self.syncs += 1
        self._keep()
        done, self.under_way = self.under_way, []
        if self.jobs:
            self._begin()
        for _, then in done:
            then()

    def _keep(self) -> None:
        for writes, _ in self.under_way:
            for write in writes:
                match write:
                    case SetMeta(name, value):
                        self.meta[name] = orjson.dumps(value)
                    case DeleteRows(keys):
                        for key in keys:
                            self.items.pop(key, None)
                    case PutRows(rows):
                        for row in rows:
                            self.items[row[0], row[1]] = orjson.dumps(row)
