"""The endpoint list and what follows from it: ready servers by zone and cell, weights, servers in slow start.
Decides nothing. The cost of an update depends on what it changes, not on the size of the fleet.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import replace
from itertools import islice

from foxspread.indexes import InterleavedOrder, WeightCounts
from foxspread.model import Endpoint, Readiness
from foxspread.statistics import BoundedDict, DecayingSum

MAX_DISABLED = 1000  # servers disabled at a time; as many are remembered as enabled again
TAKEOVER_FACTOR = 1.25  # the load of a server rises by at most this factor at once when others leave
MAX_REMOVED_CHECKED = 300  # removed servers looked at in one go, since a whole fleet may be removed at once

Group = tuple[str, str]  # zone and kind of server


class EndpointTable:
    """The servers of the service. A server that has warmed up has its full capacity; until then it is in slow
    start, with a fraction of it."""

    def __init__(self, initial_fraction: float, slow_start_time: float) -> None:
        self.initial_fraction, self.slow_start_time = initial_fraction, slow_start_time
        self.endpoints: dict[str, Endpoint] = {}
        self.zones: dict[str, list[str]] = {}  # ready servers by zone
        self.cells: dict[tuple[str, int], list[str]] = {}  # ready servers by cell
        self.ready: set[str] = set()
        self.slow_starting: dict[str, None] = {}  # ready servers that had not warmed up when last checked
        self.weights = WeightCounts()  # of the ready servers
        # Weights of those that have warmed up, and their completed requests.
        self.warm_weights: dict[Group, WeightCounts] = {}
        self.completions: dict[Group, DecayingSum] = defaultdict(lambda: DecayingSum(10.0))
        self.largest_weight = 1.0
        self.removed: dict[str, float] = {}  # time of their removal
        self.disabled: dict[str, None] = {}  # by the operator, whether listed or not
        self.enabled_at: BoundedDict = BoundedDict(MAX_DISABLED)
        self.disabled_by_rules: frozenset[str] = frozenset()  # for the whole fleet
        self.allowed_by_rules: frozenset[str] | None = None  # None: all
        # Of the ready servers by zone; None if no subset is used.
        self.orders: dict[str, InterleavedOrder] | None = None

    def capacity_fraction(self, now: float, server: str) -> float:
        """Returns the server's guaranteed share of its full capacity."""
        entry = self.endpoints[server]
        if entry.started <= 0:
            return 1.0
        return entry.capacity_fraction(now, self.initial_fraction, self.slow_start_time)

    def finish_slow_starts(self, now: float) -> None:
        """Ends the slow start of the servers that have warmed up."""
        for server in [each for each in self.slow_starting if self.capacity_fraction(now, each) == 1.0]:
            self._set_slow_starting(server, False)

    def healthy_group_weights(self, now: float, unhealthy: set[str]) -> dict[Group, float]:
        """Returns the weights of the groups in which any server that has warmed up is healthy."""
        self.finish_slow_starts(now)
        weights = {group: each.sum() for group, each in self.warm_weights.items()}
        healthy = dict(weights)
        for server in unhealthy & self.ready - self.slow_starting.keys():
            entry = self.endpoints[server]
            healthy[entry.zone, entry.kind] -= entry.weight
        return {group: weight for group, weight in weights.items() if healthy[group] > 1e-9}

    def group_weights(self, servers: Iterable[str]) -> dict[Group, float]:
        """Returns the weights by group of those servers that have warmed up."""
        weights = dict.fromkeys(self.warm_weights, 0.0)
        for entry in (self.endpoints[server] for server in servers if server not in self.slow_starting):
            weights[entry.zone, entry.kind] += entry.weight
        return weights

    def in_same_scope(self, scope: str, one: str, other: str) -> bool:
        """Returns whether the scope ("all", "zone" or "cell") of one server contains the other."""
        a, b = self.endpoints.get(one), self.endpoints.get(other)
        same_zone = None not in (a, b) and a.zone == b.zone
        return scope == "all" or same_zone and (scope == "zone" or a.cell == b.cell)

    def cell_servers(self, server: str) -> list[str] | None:
        """Returns the ready servers of a server's cell; None if the server is unknown."""
        entry = self.endpoints.get(server)
        return None if entry is None else self.cells.get((entry.zone, entry.cell), [])

    def missing_capacity(self, now: float, servers: Container[str]) -> dict[str, float]:
        """Returns, for those of the servers in slow start, the share of capacity that they lack."""
        return {s: 1.0 - self.capacity_fraction(now, s) for s in sorted(self.slow_starting) if s in servers}

    def _count_warm(self, entry: Endpoint, times: int) -> None:
        """Counts a server that has warmed up in or out. When it leaves, its share of the completions leaves
        with it, but for the load that the others take over at once: otherwise the last few servers of a group
        would seem to complete the requests of all."""
        weights = self.warm_weights[entry.zone, entry.kind]
        old = weights.sum()
        weights.add(entry.weight, times)
        if times < 0 and (new := weights.sum()) > 0:
            self.completions[entry.zone, entry.kind].value *= min(1.0, TAKEOVER_FACTOR * new / old)

    def listed(self, servers: Iterable[str]) -> set[str]:
        """Returns those of the servers that are in the list."""
        return {s for s in servers if s in self.endpoints and s not in self.removed}

    def set_disabled(self, now: float, server: str, disabled: bool) -> list[Endpoint] | None:
        """Disables or enables a server by order of the operator. Returns the entries to apply again; None if
        no server has that id or too many are disabled."""
        entry = self.endpoints.get(server)
        if (server in self.disabled) == disabled:
            return [] if disabled or entry is not None else None
        if disabled and (entry is None or len(self.disabled) >= MAX_DISABLED):
            return None
        if disabled:
            self.disabled[server] = None
        else:
            del self.disabled[server]
            self.enabled_at.put(server, now)
        return [entry] if entry is not None else []

    def _is_usable(self, entry: Endpoint) -> bool:
        server = entry.server
        return entry.readiness is Readiness.READY and server not in self.disabled and self.rules_allow(server)

    def rules_allow(self, server: str) -> bool:
        """Returns whether the fleet rules allow requests to the server."""
        allowed = self.allowed_by_rules
        return server not in self.disabled_by_rules and (allowed is None or server in allowed)

    def apply_update(
        self, now: float, entries: Iterable[Endpoint], full: bool
    ) -> tuple[list[str], list[str]]:
        """Applies a change of the list, or a full list, which removes all servers that it does not name.
        Returns the servers that are new or have restarted, and all that have changed, in the order of the
        update."""
        started, changed = [], []
        self.finish_slow_starts(now)
        if full:
            entries = list(entries)
            named = {entry.server for entry in entries}
            entries += [
                replace(entry, readiness=Readiness.REMOVED)
                for server, entry in self.endpoints.items()
                if server not in named and entry.readiness is not Readiness.REMOVED
            ]
        for entry in entries:
            # A server is restarted while it is disabled, but the list may tell so late, or never: its slow
            # start begins when it is enabled.
            if self.enabled_at.get(entry.server, 0.0) > entry.started:
                entry = replace(entry, started=self.enabled_at[entry.server])
            old = self.endpoints.get(entry.server)
            if old == entry and self._is_usable(entry) == (entry.server in self.ready):
                continue
            if old is None or entry.started > old.started:
                started.append(entry.server)
            changed.append(entry.server)
            self._replace(now, entry)
        # Zones are ordered by their first servers, since random numbers are drawn zone by zone.
        self.zones = dict(sorted(self.zones.items(), key=lambda each: each[1][0]))
        self.largest_weight = self.weights.largest(1.0)
        return started, changed

    def _replace(self, now: float, entry: Endpoint) -> None:
        server = entry.server
        if server in self.ready:
            self._remove_ready(server)
        self.endpoints[server] = entry
        self.warm_weights.setdefault((entry.zone, entry.kind), WeightCounts())
        if self._is_usable(entry):
            self._add_ready(now, entry)
        if entry.readiness is Readiness.REMOVED:
            self.removed.setdefault(server, now)
        else:
            self.removed.pop(server, None)

    def _add_ready(self, now: float, entry: Endpoint) -> None:
        server = entry.server
        self.ready.add(server)
        for groups, key in ((self.zones, entry.zone), (self.cells, (entry.zone, entry.cell))):
            insort(groups.setdefault(key, []), server)
        if self.orders is not None:
            self.orders.setdefault(entry.zone, InterleavedOrder()).add(server, entry.kind)
        self.weights.add(entry.weight)
        self._count_warm(entry, 1)
        if self.capacity_fraction(now, server) < 1.0:
            self._set_slow_starting(server, True)

    def _remove_ready(self, server: str) -> None:
        entry = self.endpoints[server]
        if server in self.slow_starting:
            self._set_slow_starting(server, False)
        self.ready.discard(server)
        if self.orders is not None:
            self.orders[entry.zone].remove(server, entry.kind)
        self.weights.add(entry.weight, -1)
        self._count_warm(entry, -1)
        for groups, key in ((self.zones, entry.zone), (self.cells, (entry.zone, entry.cell))):
            del groups[key][bisect_left(groups[key], server)]
            if not groups[key]:
                del groups[key]

    def _set_slow_starting(self, server: str, slow_starting: bool) -> None:
        entry = self.endpoints[server]
        if slow_starting:
            self.slow_starting[server] = None
        else:
            del self.slow_starting[server]
        self._count_warm(entry, -1 if slow_starting else 1)

    def removed_before(self, before: float, in_flight: Container[str]) -> list[str]:
        """Returns some of the servers that were removed before that time and have no attempt in flight."""
        removed = islice(self.removed.items(), MAX_REMOVED_CHECKED)
        return [s for s, since in removed if s not in in_flight and since < before]

    def forget(self, server: str) -> None:
        """Deletes what is kept of a removed server."""
        self.removed.pop(server, None)
        self.endpoints.pop(server, None)
