"""The network of a simulated run: delays, losses, repeated messages and blocked links in virtual time.

All draws come from the run's own source of chance, so that a seed replays.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any

from foxspread.lab.world.clock import Clock

Link = tuple[str, str]  # sender and recipient

MIN_DELAY_S, MAX_DELAY_S = 0.0003, 0.004
MIN_HELD_S, MAX_HELD_S = 0.2, 2.5  # further delay of a message that is held up
MESSAGE_FAULTS = ("loss", "held", "repeat")


class SimulatedNetwork:
    """Links between coordinators and their clients. `fault_rates` has, by the name of a fault, the share of
    messages that it strikes."""

    def __init__(self, clock: Clock, chance: random.Random, ids: list[str]) -> None:
        self.clock, self.chance, self.ids = clock, chance, ids
        self.fault_rates = dict.fromkeys(MESSAGE_FAULTS, 0.0)
        self.blocks: dict[Link, int] = {}  # how many faults block a link
        self.fault_free = False

    def delay(self) -> float:
        """The seconds that the next message takes."""
        is_delayed = self.chance.random() < self.fault_rates["held"]
        further_s = self.chance.uniform(MIN_HELD_S, MAX_HELD_S) if is_delayed else 0.0
        return self.chance.uniform(MIN_DELAY_S, MAX_DELAY_S) + further_s

    def loses(self) -> bool:
        """Draws whether the next message is lost."""
        return self.chance.random() < self.fault_rates["loss"]

    def is_blocked(self, sender: str, recipient: str) -> bool:
        """Whether a link carries nothing now."""
        return not self.fault_free and bool(self.blocks.get((sender, recipient)))

    def send(self, sender: str, recipient: str, arrive: Callable[..., None], *arguments: Any) -> None:
        """Calls `arrive` later, once or twice, unless the message is lost."""
        for _ in range(2 if self.chance.random() < self.fault_rates["repeat"] else 1):
            if not self.is_blocked(sender, recipient) and not self.loses():
                self.clock.after(self.delay(), arrive, *arguments)

    def links_of(self, node: str, inbound: bool = True, outbound: bool = True) -> list[Link]:
        """The links between a coordinator and the others."""
        others = [each for each in self.ids if each != node]
        into = [(each, node) for each in others if inbound]
        return into + [(node, each) for each in others if outbound]

    def block(self, links: Iterable[Link], lasts: float) -> None:
        """Blocks links for some seconds."""
        blocked = list(links)
        for link in blocked:
            self.blocks[link] = self.blocks.get(link, 0) + 1
        self.clock.after(lasts, self._unblock, blocked)

    def _unblock(self, links: list[Link]) -> None:
        for link in links:
            self.blocks[link] -= 1

    def set_fault_rate(self, kind: str, rate: float) -> None:
        """Changes the share of messages that a fault strikes."""
        self.fault_rates[kind] = rate

    def end_all_faults(self) -> None:
        """From here on no link is blocked; later blocks have no effect."""
        self.fault_free = True
        self.fault_rates = dict.fromkeys(MESSAGE_FAULTS, 0.0)
