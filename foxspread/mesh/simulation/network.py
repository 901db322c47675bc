"""Network of one run, in which messages between processes may be delayed, duplicated, reordered or lost."""

from collections.abc import Callable
from typing import Any

import orjson

from foxspread.mesh.simulation.virtual_time import Simulation

DELAY_RANGE_S = (0.0005, 0.004)  # delay of a message without a fault, as within one site
REORDER_DELAY_S = 0.4  # upper bound of the extra delay of a reordered message


class Network:
    """Delivers messages, each serialised when it is sent, so that processes share no objects.

    A message from or to an incarnation that has ended is lost with its connection.
    """

    def __init__(self, simulation: Simulation, deliver: Callable[[str, str, Any], None]) -> None:
        self.simulation, self.deliver = simulation, deliver
        self.partitioned: set[tuple[str, str]] = set()  # pairs of sender and receiver that can't communicate
        self.drop_rate = self.duplicate_rate = self.reorder_rate = 0.0  # shares of messages
        self.extra_delay_s: dict[tuple[str, str], float] = {}
        self.incarnations: dict[str, int] = {}
        self.sent_count = self.lost_count = 0

    def send(self, sender: str, to: str, message: Any) -> None:
        """Sends a message, which may be lost without notice to the sender."""
        simulation = self.simulation
        self.sent_count += 1
        if (sender, to) in self.partitioned or simulation.draw() < self.drop_rate:
            self.lost_count += 1
            return
        packed = orjson.dumps(message)
        for _ in range(2 if simulation.draw() < self.duplicate_rate else 1):
            delay = simulation.uniform(*DELAY_RANGE_S) + self.extra_delay_s.get((sender, to), 0.0)
            if self.reorder_rate and simulation.draw() < self.reorder_rate:
                delay += simulation.draw() * REORDER_DELAY_S
            incarnations = self._incarnations_of(sender, to)
            simulation.after(delay, lambda: self._arrive(sender, to, incarnations, packed))

    def _arrive(self, sender: str, to: str, incarnations: tuple[int, int], packed: bytes) -> None:
        if (sender, to) in self.partitioned or incarnations != self._incarnations_of(sender, to):
            self.lost_count += 1
            return
        self.deliver(sender, to, orjson.loads(packed))

    def _incarnations_of(self, sender: str, to: str) -> tuple[int, int]:
        return self.incarnations.get(sender, 0), self.incarnations.get(to, 0)
