"""Virtual time and seeded random numbers of one run.

This is a discrete-event simulation in the manner of FoundationDB's: nothing waits for the wall clock, and all
random numbers come from the seed, so a seed always plays the same run.
"""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from foxspread.statistics import SeededRandom


class Simulation:
    """Queue of calls in the order of their virtual time and, at equal times, in the order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0  # seconds since the start of the run
        self.random = SeededRandom(seed)
        self.event_numbers = count()
        self._events: list[tuple[float, int, Callable[[], object]]] = []

    def draw(self) -> float:
        """Returns the next random number of the seed, at least 0 and below 1."""
        return self.random.draw()

    def uniform(self, low: float, high: float) -> float:
        """Returns a random number between `low` and `high`."""
        return low + (high - low) * self.draw()

    def choose(self, choices: list[Any]) -> Any:
        """Returns a random element of the list, each with the same probability."""
        return choices[int(self.draw() * len(choices))]

    def at(self, when: float, call: Callable[[], object]) -> None:
        """Schedules a call for a time in seconds, or for the present time if that has passed."""
        heapq.heappush(self._events, (max(when, self.now), next(self.event_numbers), call))

    def after(self, seconds: float, call: Callable[[], object]) -> None:
        """Schedules a call in this many seconds."""
        self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        """Makes all calls that are due up to a time, including those that are scheduled meanwhile."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until
