"""Virtual time: a heap of events in whole microseconds. Whole numbers, so that a last bit of a logarithm that
differs between machines can't swap two events."""

import heapq
from collections.abc import Callable
from typing import Any


class Backwards(Exception):
    """An event was asked for in the past: virtual time never goes back."""


class Clock:
    def __init__(self) -> None:
        self.now = 0
        self.count = 0  # of all events so far; breaks ties in the order of asking
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        if when < self.now:
            raise Backwards(f"{call.__qualname__} at {when}, and it is {self.now}")
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call, args))

    def after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now + max(0, round(seconds * 1e6)), call, *args)

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now = max(self.now, until)
