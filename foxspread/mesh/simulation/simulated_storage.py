"""Storage of one simulated machine, which a power loss or a failing disk may affect.

Synced writes survive. After a power loss, the batch that was being synced is stored completely or not at all,
and writes queued behind it are lost.
"""

from collections.abc import Callable
from typing import TypeAlias

import orjson

from foxspread.mesh.replication.stored_state import (
    START_COUNT,
    DeleteRows,
    PutRows,
    RecoveredState,
    SetMeta,
    Write,
)
from foxspread.mesh.simulation.virtual_time import Simulation

SYNC_S = 0.005  # mean duration of a sync without a fault; it varies by 40 %
SYNC_RETRY_S = 0.05  # delay after a sync that stalled or failed

# Writes, and the call to make once they are synced.
QueuedWrites: TypeAlias = tuple[list[Write], Callable[[], None]]


class SimulatedStorage:
    """Storage of a machine, which may be slow, stall or fail, and may be wiped while the machine is down."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.meta: dict[str, bytes] = {}
        self.items: dict[tuple[str, str], bytes] = {}
        self.sync_s = SYNC_S
        self.stalled = self.failing = False
        self.wipe_count = self.sync_count = 0
        self._queued: list[QueuedWrites] = []
        self._in_flight: list[QueuedWrites] = []
        self._generation = 0  # number of power losses; callbacks from before one are dropped

    def open(self, members: tuple[str, ...], first: bool) -> RecoveredState:
        """Returns the state that a start finds; on the mesh's `first` start, empty storage may vote."""
        if "disk" not in self.meta:
            identity = (0 if first else 1, f"{self.name}.{self.wipe_count}.{self._generation}")
            self.meta[START_COUNT] = b"1"
            return RecoveredState(identity, members, voting=first, members_confirmed=first, start_count=1)
        self.meta[START_COUNT] = b"%d" % (orjson.loads(self.meta.get(START_COUNT, b"0")) + 1)
        meta = {name: orjson.loads(body) for name, body in self.meta.items()}
        return RecoveredState.from_stored(meta, [orjson.loads(body) for body in self.items.values()])

    def wipe(self) -> None:
        """Erases everything. The machine must be down."""
        self.meta, self.items = {}, {}
        self.wipe_count += 1

    def lose_power(self) -> None:
        """Loses writes that are not synced; called for a killed process too."""
        if self._in_flight and self.simulation.draw() < 0.5:
            self._apply_in_flight()
        self._queued, self._in_flight = [], []
        self._generation += 1

    def write(self, writes: list[Write], on_synced: Callable[[], None]) -> None:
        """Queues writes; `on_synced` is called once they would survive a power loss."""
        if not writes and not self._queued and not self._in_flight:
            return on_synced()
        self._queued.append((writes, on_synced))
        if not self._in_flight:
            self._start_sync()

    def _start_sync(self) -> None:
        self._in_flight, self._queued = self._queued, []
        generation = self._generation
        seconds = self.simulation.uniform(0.6, 1.4) * self.sync_s
        self.simulation.after(seconds, lambda: self._finish_sync(generation))

    def _finish_sync(self, generation: int) -> None:
        if generation != self._generation:
            return
        if self.stalled or self.failing:
            return self.simulation.after(SYNC_RETRY_S, lambda: self._finish_sync(generation))
        self.sync_count += 1
        self._apply_in_flight()
        finished, self._in_flight = self._in_flight, []
        if self._queued:
            self._start_sync()
        for _, on_synced in finished:
            on_synced()

    def _apply_in_flight(self) -> None:
        for writes, _ in self._in_flight:
            for write in writes:
                self._apply(write)

    def _apply(self, write: Write) -> None:
        match write:
            case SetMeta(name, value):
                self.meta[name] = orjson.dumps(value)
            case DeleteRows(keys):
                for key in keys:
                    self.items.pop(key, None)
            case PutRows(rows):
                for row in rows:
                    self.items[row[0], row[1]] = orjson.dumps(row)
