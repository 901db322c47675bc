"""Virtual time: a heap of events in whole microseconds. Integers keep rounding differences between machines
from swapping two events."""

import heapq
from collections.abc import Callable
from typing import Any


class Backwards(Exception):
    """Raised when an event is scheduled in the past."""


class Clock:
    def __init__(self) -> None:
        self.now = 0
        self.count = 0  # events scheduled so far; orders events of the same time
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        if when < self.now:
            raise Backwards(f"{call.__qualname__} scheduled at {when} us, but virtual time is {self.now} us")
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call, args))

    def after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now + max(0, round(seconds * 1e6)), call, *args)

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now = max(self.now, until)
