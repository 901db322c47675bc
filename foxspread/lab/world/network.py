"""The network between zones, without I/O: how long a way takes, and what passes. The same for both
engines."""

import random
import zlib

from foxspread.lab.scenario import Network as Told


class Network:
    def __init__(self, told: Told, seed: int) -> None:
        self.told = told
        self.chance = random.Random(zlib.crc32(b"network:%d" % seed))
        self.cut_off: set[str] = set()

    def base(self, one: str, other: str) -> float:
        return self.told.same_zone if one == other else self.told.cross_zone

    def way(self, one: str, other: str) -> float:
        """Seconds, one way, with jitter."""
        return self.base(one, other) * (1 + self.told.jitter * self.chance.random())

    def slowest(self, one: str, other: str) -> float:
        return self.base(one, other) * (1 + self.told.jitter)

    def passes(self, one: str, other: str) -> bool:
        return one == other or not (one in self.cut_off or other in self.cut_off)

    def cut(self, zone: str, cut: bool) -> None:
        (self.cut_off.add if cut else self.cut_off.discard)(zone)
