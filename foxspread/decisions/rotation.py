"""The choice of a zone, and of the server within it whose turn it is. Servers and zones may be anything
hashable that sorts, as the names of a `Ring` do."""

import math
from collections.abc import Callable, Hashable, Iterable

from foxspread.indexes import Ring
from foxspread.statistics import SeededRandom


class Rotation:
    """Weighted round robin: a server's turn credit grows by its share of a turn in each round.
    `overload_floor`: the number of attempts in flight at a server up to which it is never overloaded."""

    def __init__(self, zone: Hashable, chance: SeededRandom, spill_factor: float = 1.4,
                 zone_overload_ratio: float = 1.5, server_overload_ratio: float = 1.25,
                 overload_floor: int = 2, max_saved_turns: float = 4.0,
                 distance_penalty: float = 0.4) -> None:
        self.zone, self.chance, self.spill_factor = zone, chance, spill_factor
        self.overload_floor, self.zone_overload_ratio = overload_floor, zone_overload_ratio
        self.server_overload_ratio, self.max_saved_turns = server_overload_ratio, max_saved_turns
        self.distance_penalty = distance_penalty
        self.own_share, self.zone_weights = 1.0, {}   # the own zone's share; weights that divide the rest
        self.cursor, self.turn_credits = {}, {}   # by zone: the next place in its ring; by server
        self.rounds, self.keyed_credits = {}, {}   # by zone; by server: its credit, and as of which round

    def update_zone_weights(self, groups: dict, healthy: dict[Hashable, float],
                            slowness: dict[Hashable, float]) -> None:
        """Sets the own zone's share: 1.4 x its healthy fraction, less while it is slower than the others."""
        self.zone_weights = {z: max(0.01, healthy[z]) / slowness[z] ** 2 for z in groups}
        if self.zone in groups:
            others = {z: weight for z, weight in self.zone_weights.items() if z != self.zone}
            times = sum(weight * slowness[z] for z, weight in others.items())
            ratio = times / sum(others.values()) / slowness[self.zone] if others else 1.0
            self.own_share = self.spill_factor * min(healthy[self.zone] / len(groups[self.zone]), ratio ** 3)

    def zone_order(self, groups: Iterable, mean: dict[Hashable, float],
                   draw: Callable[[Hashable], float]) -> list:
        """Returns the zones, the best first: the own one up to its share, unless it is overloaded."""
        weights = self.zone_weights
        others = sorted((z for z in groups if z != self.zone), key=lambda z: -draw(z) ** (1 / weights[z]))
        own = [self.zone] if self.zone in groups else []
        least = min((mean[z] for z in others), default=math.inf)
        overloaded = mean.get(self.zone, 0.0) > max(self.overload_floor, self.zone_overload_ratio * least)
        return others + own if overloaded or draw("") >= self.own_share else own + others

    def pick(self, zone: Hashable, ring: Ring, in_flight: Callable[[Hashable], int], mean: float,
             turn_share: Callable[[Hashable], float], fits: Callable[[Hashable], bool], key: str = "",
             only: list | None = None) -> Hashable | None:
        """Returns the next server in turn that fits and has not far more in flight than the mean; if there
        is none, the least loaded one. Slow servers get a part of a turn in each round."""
        limit = max(self.overload_floor, self.server_overload_ratio * mean)
        if key:
            nearest = filter(fits, filter(ring.is_enabled, ring.nearest(key) if only is None else only))
            return self._pick_by_key(zone, nearest, in_flight, limit, turn_share)
        found, waiting, credits, size = None, {}, self.turn_credits, len(ring.names)
        cursor = self.cursor[zone] if zone in self.cursor else int(self.chance.draw() * size)
        start = cursor % max(1, size)
        for place in ring.walk(start, only):
            server, self.cursor[zone] = ring.names[place], (place + 1) % size
            if not fits(server):
                continue
            credit, share = credits.get(server) or self.chance.draw(), turn_share(server)
            credit = credits[server] = min(1.5, credit + share)
            if (load := in_flight(server)) < limit:
                if credit >= 1.0:
                    credits[server] = credit - 1.0
                    return server
                waiting[server] = ((1.0 - credit) / share, share)
            elif found is None or (load, -credit) < (in_flight(found), -credits[found]):
                found = server
        self.cursor[zone] = start if size else cursor   # an empty zone keeps its place
        if waiting:   # as many more rounds as it takes until one of them has a whole turn
            found = min(waiting, key=waiting.__getitem__)
            for server, (_, share) in waiting.items():
                credits[server] += waiting[found][0] * share
            credits[found] = 1e-9
        return found

    def _pick_by_key(self, zone: Hashable, nearest: Iterable, in_flight: Callable, limit: float,
                     turn_share: Callable) -> Hashable | None:
        """Returns the server with the largest credit, less a penalty for each that is nearer to the key. So
        all sidecars choose the same few servers, but as each has its share, a popular key cannot overload
        them."""
        best, found, rounds = (-math.inf, None, 0.0, 1.0), None, self.rounds.get(zone, 0.0)
        for place, server in enumerate(nearest):
            if best[0] >= self.max_saved_turns - self.distance_penalty * place:
                break   # none further away can have more
            saved = self.keyed_credits.get(server) or (self.max_saved_turns - self.chance.draw(), rounds)
            (credit, at), share = saved, turn_share(server)
            credit = min(self.max_saved_turns, credit + (rounds - at) * share)
            self.keyed_credits[server] = credit, rounds
            if (load := in_flight(server)) < limit:
                best = max(best, (credit - self.distance_penalty * place, server, credit, share))
            elif found is None or load < in_flight(found):
                found = server
        if best[1] is not None:
            _, found, credit, share = best   # as many rounds pass as it takes until it has a whole turn
            self.rounds[zone] = rounds + min(self.max_saved_turns, max(0.0, 1.0 - credit) / share)
            self.keyed_credits[found] = (max(credit, 1.0) - 1.0, self.rounds[zone])
        return found
