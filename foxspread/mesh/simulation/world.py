"""Virtual time, and links in it. Nothing here knows what the machines do."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

import orjson

from foxspread.sums import Chance

DELAY_S = (0.0005, 0.004)  # of a message on a link without trouble, from and up to
LATE_S = 0.4  # and up to so much more where messages turn over


class World:
    """Events in the order of their time; those of one time in the order in which they were asked for."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.chance = Chance(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()

    def draw(self) -> float:
        return self.chance.draw()

    def within(self, least: float, most: float) -> float:
        return least + (most - least) * self.draw()

    def pick(self, rows: list[Any]) -> Any:
        return rows[int(self.draw() * len(rows))]

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.numbers), call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until


class Links:
    """Messages between named ends, each packed when it is sent. A message of an earlier life of its sender or
    to an earlier life of its receiver is lost with that life's connection, unless `ghosts`."""

    def __init__(self, world: World, deliver: Callable[[str, str, Any], None]) -> None:
        self.world, self.deliver = world, deliver
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.drops = self.repeats = self.late = 0.0  # shares of messages
        self.slow: dict[tuple[str, str], float] = {}  # seconds more
        self.lives: dict[str, int] = {}
        self.ghosts = False
        self.sent = self.lost = 0

    def send(self, sender: str, to: str, message: Any) -> None:
        world = self.world
        self.sent += 1
        if (sender, to) in self.cut or world.draw() < self.drops:
            self.lost += 1
            return
        packed = orjson.dumps(message)
        for _ in range(2 if world.draw() < self.repeats else 1):
            delay = world.within(*DELAY_S) + self.slow.get((sender, to), 0.0)
            if self.late and world.draw() < self.late:
                delay += world.draw() * LATE_S
            lives = self.lives.get(sender, 0), self.lives.get(to, 0)
            world.after(delay, lambda: self._come(sender, to, lives, packed))

    def _come(self, sender: str, to: str, lives: tuple[int, int], packed: bytes) -> None:
        now = self.lives.get(sender, 0), self.lives.get(to, 0)
        if (sender, to) in self.cut or (lives != now and not self.ghosts):
            self.lost += 1
            return
        self.deliver(sender, to, orjson.loads(packed))
