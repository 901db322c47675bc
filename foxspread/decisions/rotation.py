"""Which zone group a lookup goes to, and whose turn it is there. Servers and zones may be anything hashable
that sorts, as a `Ring` does its names."""

import math
from collections.abc import Callable, Hashable, Iterable

from foxspread.rings import Ring
from foxspread.sums import Chance


class Rotation:
    def __init__(self, zone: Hashable, chance: Chance, spill: float = 1.4, well_over: float = 1.5,
                 skip: float = 1.25, few: int = 2, kept: float = 4.0, nearer: float = 0.4) -> None:
        self.zone, self.chance, self.few, self.kept, self.nearer = zone, chance, few, kept, nearer
        self.spill, self.well_over, self.skip = spill, well_over, skip
        self.share, self.weight = 1.0, {}   # of the own zone; by zone, in what it does not take
        self.cursor, self.turns = {}, {}   # by zone: where its walk stands; by server: parts of a turn
        self.given, self.saved = {}, {}   # with keys, by zone: rounds; by server: turns kept, as of how many

    def weigh(self, groups: dict, healthy: dict[Hashable, float], slowness: dict[Hashable, float]) -> None:
        """The own zone's part: 1.4 x its healthy fraction, less while slower than those drawn instead."""
        self.weight = {z: max(0.01, healthy[z]) / slowness[z] ** 2 for z in groups}
        if self.zone in groups:
            drawn = {z: weight for z, weight in self.weight.items() if z != self.zone}
            times = sum(weight * slowness[z] for z, weight in drawn.items())
            ratio = times / sum(drawn.values()) / slowness[self.zone] if drawn else 1.0
            self.share = self.spill * min(healthy[self.zone] / len(groups[self.zone]), ratio ** 3)

    def zones(self, groups: Iterable, mean: dict[Hashable, float], draw: Callable[[Hashable], float]) -> list:
        """Zone groups, best first: the own up to its share, and not while it holds well over the others."""
        others = sorted((z for z in groups if z != self.zone), key=lambda z: -draw(z) ** (1 / self.weight[z]))
        own = [self.zone] if self.zone in groups else []
        least = min((mean[z] for z in others), default=math.inf)
        crowded = mean.get(self.zone, 0.0) > max(self.few, self.well_over * least)
        return others + own if crowded or draw("") >= self.share else own + others

    def pick(self, zone: Hashable, ring: Ring, held: Callable[[Hashable], int], mean: float,
             part: Callable[[Hashable], float], fits: Callable[[Hashable], bool], key: str = "",
             only: list | None = None) -> Hashable | None:
        """The next in turn that fits and does not hold well over the group's mean; else the least laden. Slow
        ones get a part of a turn a round."""
        most = max(self.few, self.skip * mean)
        if key:
            near = filter(fits, filter(ring.is_open, ring.nearest(key) if only is None else only))
            return self._near(zone, near, held, most, part)
        spare, soon, turns, size = None, {}, self.turns, len(ring.names)
        at = self.cursor[zone] if zone in self.cursor else int(self.chance.draw() * size)
        start = at % max(1, size)
        for place in ring.walk(start, only):
            server, self.cursor[zone] = ring.names[place], (place + 1) % size
            if not fits(server):
                continue
            turn, more = turns.get(server) or self.chance.draw(), part(server)
            turn = turns[server] = min(1.5, turn + more)
            if (holds := held(server)) < most:
                if turn >= 1.0:
                    turns[server] = turn - 1.0
                    return server
                soon[server] = ((1.0 - turn) / more, more)
            elif spare is None or (holds, -turn) < (held(spare), -turns[spare]):
                spare = server
        self.cursor[zone] = start if size else at   # an empty group keeps its place
        if soon:   # as many rounds more as it takes until one has a whole turn
            spare = min(soon, key=soon.__getitem__)
            for server, (_, more) in soon.items():
                turns[server] += soon[spare][0] * more
            turns[spare] = 1e-9
        return spare

    def _near(self, zone: Hashable, near: Iterable, held: Callable, most: float, part: Callable) -> Hashable:
        """Who has kept most turns, less some for each that is nearer to the key. All sidecars so come to the
        same few, but popular keys must not overrun these: each has its share."""
        best, spare, given = (-math.inf, None, 0.0, 1.0), None, self.given.get(zone, 0.0)
        for place, server in enumerate(near):
            if best[0] >= self.kept - self.nearer * place:
                break   # none further off can have more
            (turn, at), more = self.saved.get(server) or (self.kept - self.chance.draw(), given), part(server)
            self.saved[server] = turn, _ = min(self.kept, turn + (given - at) * more), given
            if (holds := held(server)) < most:
                best = max(best, (turn - self.nearer * place, server, turn, more))
            elif spare is None or holds < held(spare):
                spare = server
        if best[1] is not None:
            _, spare, turn, more = best   # rounds go on until it has a whole turn
            self.given[zone] = given + min(self.kept, max(0.0, 1.0 - turn) / more)
            self.saved[spare] = (max(turn, 1.0) - 1.0, self.given[zone])
        return spare
