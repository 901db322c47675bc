"""Network between zones, without I/O: one-way delays and partitions, for both engines."""

import random
import zlib

from foxspread.lab.scenario import Network as NetworkSettings


class Network:
    def __init__(self, settings: NetworkSettings, seed: int) -> None:
        self.settings = settings
        self.chance = random.Random(zlib.crc32(b"network:%d" % seed))
        self.partitioned_zones: set[str] = set()

    def base_delay(self, one: str, other: str) -> float:
        return self.settings.same_zone if one == other else self.settings.cross_zone

    def delay(self, one: str, other: str) -> float:
        """Returns a one-way delay in seconds, with jitter."""
        return self.base_delay(one, other) * (1 + self.settings.jitter * self.chance.random())

    def max_delay(self, one: str, other: str) -> float:
        return self.base_delay(one, other) * (1 + self.settings.jitter)

    def is_reachable(self, one: str, other: str) -> bool:
        return one == other or not (one in self.partitioned_zones or other in self.partitioned_zones)

    def set_partitioned(self, zone: str, partitioned: bool) -> None:
        (self.partitioned_zones.add if partitioned else self.partitioned_zones.discard)(zone)
