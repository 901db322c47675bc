"""The servers that it sends to where lookups share connections: hundreds of sidecars would fill tables. All
know one order, kinds alternating; each takes from its place on what its traffic keeps in view."""

import math

from foxspread.decisions.cold import ServerList


class Portion:
    def __init__(self, now: float, position: int, each: float = 0.5, least: int = 4) -> None:
        self.since, self.each, self.least, self.size = now, each, least, float(least)
        self.start = position * 0.618034 % 1.0   # multiples of the golden section are spread evenly

    def of(self, now: float, servers: ServerList, unsound: set[str]) -> set[str]:
        rate = (servers.asked.read(now) + 1) / (10.2 - 10.0 * math.exp((self.since - now) / 10.0))
        self.size, found = float(max(self.least, math.ceil(rate * self.each))), set()
        for order in servers.orders.values():
            had = 0.0
            for server in order.walk(self.start):
                if server not in unsound:
                    found.add(server)
                    had += servers.warmth(now, server)
                if had >= self.size:
                    break
        return found
