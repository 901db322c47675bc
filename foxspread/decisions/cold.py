"""Who is ready, since when, and how much a server that has just started may be sent."""

from collections import defaultdict
from collections.abc import Iterable

from foxspread.members import Members
from foxspread.model import ListedServer
from foxspread.sums import Chance, Decaying, Mean


class ServerList(Members):
    def __init__(self, cold_from: float, cold_time: float, fall_multiple: float, chance: Chance) -> None:
        super().__init__(cold_from, cold_time)
        self.headroom, self.most, self.chance = min(2.0, 0.6 * fall_multiple), 0.65 * fall_multiple, chance
        self.in_use, self.tokens = {}, {}   # sizes of warm ones, by zone and kind; what cold ones may get
        self.turn, self.slow = {}, defaultdict(lambda: Mean(12.0))   # what a kind does; how slow a server is
        self.least, self.asked = 0.0, Decaying(10.0)   # as how many the warm ones count; lookups taken
        self.awaited, self.soon, self.yielded = {}, 0.25, False   # back by hand: from when it awaits a lookup

    def update(self, now: float, entries: Iterable[ListedServer], whole: bool) -> tuple[list[str], list[str]]:
        fresh, touched = self.take(now, entries, whole)
        self.in_use = self.warm(now, set()) if self.orders is None else self.in_use
        # A first share at random, so that the sidecars do not all send at once.
        self.tokens |= {server: (self.chance.draw() * 0.9, now) for server in fresh}
        return fresh, touched

    def use(self, now: float, used: set[str], new: set[str], size: float) -> None:
        """Which servers it sends to. When one drains all turn to the next at once: a cold one starts anew."""
        self.tokens |= {server: (self.chance.draw() * 0.9, now) for server in sorted(self.cold.keys() & new)}
        self.in_use, self.least = self.warm_of(used), size

    def allowance(self, now: float, server: str) -> float:
        """Hand-offs a second for a cold server: a share of what warm ones do, not of what they are sent."""
        entry = self.known[server]
        warm, groups, turn, some = self.in_use, [(entry.zone, entry.kind)], 1.0, self.orders is not None
        if some or groups[0] not in warm:   # other kinds may be preferred to it by far, and do more
            turn = max(0.0 if some else 0.5, self.turn.get(entry.kind, 1.0))
            groups = [g for g in warm if g[0] == entry.zone] or list(warm)
        usual = sum(self.served[g].read(now) for g in groups) / max(self.least, sum(map(warm.get, groups))) \
            if groups else self.asked.read(now) / self.sizes.sum()   # all have just started
        seen = 1.0 if some else max(0.5, (1.25 / self.slow[server].read(now, 1.25)) ** 2)
        headroom = min(self.most, self.headroom * seen)   # quick: more than the contract says; slow: less
        return headroom * self.warmth(now, server) * usual / 10.0 * entry.size * turn

    def has_budget(self, now: float, server: str) -> bool:
        if self.known[server].started <= 0 or self.warmth(now, server) == 1.0:
            return True
        held, at = self.tokens[server]
        rate = max(self.allowance(now, server), self.soon * (server in self.awaited))   # a first one soon
        held = min(1.0, held + (now - at) * rate)   # no savings: never a burst
        self.tokens[server] = (held, now)
        return held >= 1.0 and not self.yielded   # a successor has the budget

    def spend(self, now: float, server: str) -> None:
        if self.warmth(now, server) < 1.0:
            self.tokens[server] = (self.tokens[server][0] - 1.0, now)
