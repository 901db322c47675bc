"""The subset of servers that a sidecar sends to where requests share connections: those of hundreds of
sidecars would fill the servers' connection tables. All sidecars know one order of the servers, in which kinds
alternate; each takes from its own position on as many as its traffic keeps in view."""

import math

from foxspread.decisions.slow_start import SlowStart


class Subset:
    """`position`: the sidecar's number in the fleet; `servers_per_rate`: servers per request a second."""

    def __init__(self, now: float, position: int, servers_per_rate: float = 0.5, min_size: int = 4) -> None:
        self.since, self.servers_per_rate = now, servers_per_rate
        self.min_size, self.size = min_size, float(min_size)
        self.start = position * 0.618034 % 1.0   # multiples of the golden ratio are spread evenly

    def choose(self, now: float, servers: SlowStart, unhealthy: set[str]) -> set[str]:
        """Returns the servers to use; in each zone as many that together have the capacity of `size`."""
        rate = (servers.request_count.read(now) + 1) / (10.2 - 10.0 * math.exp((self.since - now) / 10.0))
        self.size, found = float(max(self.min_size, math.ceil(rate * self.servers_per_rate))), set()
        for order in servers.orders.values():
            capacity = 0.0
            for server in order.walk(self.start):
                if server not in unhealthy:
                    found.add(server)
                    capacity += servers.capacity_fraction(now, server)
                if capacity >= self.size:
                    break
        return found
