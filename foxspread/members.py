"""Who is listed, and how: the servers by zone and cell, sizes, who is cold. Bookkeeping of the decisions
without a decision in it: a change of the list costs what it changes, whatever the size of the fleet.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import replace
from itertools import islice

from foxspread.model import ListedServer, Readiness
from foxspread.rings import Alternating, Sizes
from foxspread.sums import Decaying, Latest

BY_HAND_MOST = 1000  # out at a time, and remembered as called back
TAKEN_OVER = 1.25  # times what each did: so much more the rest does at once when some go


class Members:
    def __init__(self, cold_from: float, cold_time: float) -> None:
        self.cold_from, self.cold_time = cold_from, cold_time
        self.known: dict[str, ListedServer] = {}
        self.zones: dict[str, list[str]] = {}  # the ready servers by zone
        self.cells: dict[tuple[str, int], list[str]] = {}  # the same by cell
        self.ready: set[str] = set()
        self.cold: dict[str, None] = {}  # ready, and not warm when last listed
        self.sizes = Sizes()  # of the ready ones
        # By zone and kind: sizes of those that are not cold, and what these have done of late.
        self.warm_sizes: dict[tuple[str, str], Sizes] = {}
        self.served: dict[tuple[str, str], Decaying] = defaultdict(lambda: Decaying(10.0))
        self.largest = 1.0
        self.gone: dict[str, float] = {}  # since when
        self.by_hand: dict[str, None] = {}  # out until called back, listed or not
        self.back: Latest = Latest(BY_HAND_MOST)  # when they were called back
        self.taken_out: frozenset[str] = frozenset()  # for the whole fleet, by agreed rules
        self.only: frozenset[str] | None = None  # by these rules no others; None: all
        self.orders: dict[str, Alternating] | None = None  # of the ready ones by zone, if asked for

    def warmth(self, now: float, server: str) -> float:
        entry = self.known[server]
        return 1.0 if entry.started <= 0 else entry.warmth(now, self.cold_from, self.cold_time)

    def warmed(self, now: float) -> None:
        for server in [each for each in self.cold if self.warmth(now, each) == 1.0]:
            self._set_cold(server, False)

    def warm(self, now: float, unsound: set[str]) -> dict[tuple[str, str], float]:
        """Sizes of the warm ones by zone and kind, where any of them is sound."""
        self.warmed(now)
        sizes = {group: each.sum() for group, each in self.warm_sizes.items()}
        left = dict(sizes)
        for server in unsound & self.ready - self.cold.keys():
            entry = self.known[server]
            left[entry.zone, entry.kind] -= entry.size
        return {group: size for group, size in sizes.items() if left[group] > 1e-9}

    def warm_of(self, servers: Iterable[str]) -> dict[tuple[str, str], float]:
        """Sizes of the warm ones among these, by zone and kind."""
        sizes = dict.fromkeys(self.warm_sizes, 0.0)
        for entry in (self.known[server] for server in servers if server not in self.cold):
            sizes[entry.zone, entry.kind] += entry.size
        return sizes

    def together(self, scope: str, one: str, other: str) -> bool:
        """Whether both are of one such group: all, a zone or a cell."""
        a, b = self.known.get(one), self.known.get(other)
        near = None not in (a, b) and a.zone == b.zone
        return scope == "all" or near and (scope == "zone" or a.cell == b.cell)

    def cell_of(self, server: str) -> list[str] | None:
        """The ready servers of its cell; None where nobody knows it."""
        entry = self.known.get(server)
        return None if entry is None else self.cells.get((entry.zone, entry.cell), [])

    def lacking(self, now: float, servers: Container[str]) -> dict[str, float]:
        """Of these, the cold ones: which part each is short of a warm one."""
        return {s: 1.0 - self.warmth(now, s) for s in sorted(self.cold) if s in servers}

    def _size(self, entry: ListedServer, times: int) -> None:
        """One more or less that is warm. What a server has done goes with it, but for a part that the rest
        takes over at once: else the last of a few would seem to do the work of all for a while."""
        sizes = self.warm_sizes[entry.zone, entry.kind]
        old = sizes.sum()
        sizes.add(entry.size, times)
        if times < 0 and (new := sizes.sum()) > 0:
            self.served[entry.zone, entry.kind].value *= min(1.0, TAKEN_OVER * new / old)

    def listed_of(self, servers: Iterable[str]) -> set[str]:
        return {s for s in servers if s in self.known and s not in self.gone}

    def turn_by_hand(self, now: float, server: str, out: bool) -> list[ListedServer] | None:
        """Out, listed or not, until it is called back. Returns whose entry is to be taken again; None where
        nobody has that id, or as many are out as may be."""
        entry = self.known.get(server)
        if (server in self.by_hand) == out:
            return [] if out or entry is not None else None
        if out and (entry is None or len(self.by_hand) >= BY_HAND_MOST):
            return None
        if out:
            self.by_hand[server] = None
        else:
            del self.by_hand[server]
            self.back.put(server, now)
        return [entry] if entry is not None else []

    def _usable(self, entry: ListedServer) -> bool:
        server = entry.server
        return entry.readiness is Readiness.READY and server not in self.by_hand and self.let(server)

    def let(self, server: str) -> bool:
        """Whether agreed rules let anything go there."""
        return server not in self.taken_out and (self.only is None or server in self.only)

    def take(self, now: float, entries: Iterable[ListedServer], whole: bool) -> tuple[list[str], list[str]]:
        """A list, what it leaves out being gone, or changes. Returns who is new or has started anew, and all
        whose entry is another, in the order told."""
        fresh, touched = [], []
        self.warmed(now)
        if whole:
            entries = list(entries)
            named = {entry.server for entry in entries}
            entries += [
                replace(entry, readiness=Readiness.GONE)
                for server, entry in self.known.items()
                if server not in named and entry.readiness is not Readiness.GONE
            ]
        for entry in entries:
            # Restarted while it was out by hand, whenever the list tells that: cold from the call back on.
            if self.back.get(entry.server, 0.0) > entry.started:
                entry = replace(entry, started=self.back[entry.server])
            old = self.known.get(entry.server)
            if old == entry and self._usable(entry) == (entry.server in self.ready):
                continue
            if old is None or entry.started > old.started:
                fresh.append(entry.server)
            touched.append(entry.server)
            self._change(now, entry)
        # The order of zones is that of their first servers: whoever draws chance by zone draws in it.
        self.zones = dict(sorted(self.zones.items(), key=lambda each: each[1][0]))
        self.largest = self.sizes.largest(1.0)
        return fresh, touched

    def _change(self, now: float, entry: ListedServer) -> None:
        server = entry.server
        if server in self.ready:
            self._take_out(server)
        self.known[server] = entry
        self.warm_sizes.setdefault((entry.zone, entry.kind), Sizes())
        if self._usable(entry):
            self._put_in(now, entry)
        if entry.readiness is Readiness.GONE:
            self.gone.setdefault(server, now)
        else:
            self.gone.pop(server, None)

    def _put_in(self, now: float, entry: ListedServer) -> None:
        server = entry.server
        self.ready.add(server)
        for groups, key in ((self.zones, entry.zone), (self.cells, (entry.zone, entry.cell))):
            insort(groups.setdefault(key, []), server)
        if self.orders is not None:
            self.orders.setdefault(entry.zone, Alternating()).add(server, entry.kind)
        self.sizes.add(entry.size)
        self._size(entry, 1)
        if self.warmth(now, server) < 1.0:
            self._set_cold(server, True)

    def _take_out(self, server: str) -> None:
        entry = self.known[server]
        if server in self.cold:
            self._set_cold(server, False)
        self.ready.discard(server)
        if self.orders is not None:
            self.orders[entry.zone].drop(server, entry.kind)
        self.sizes.add(entry.size, -1)
        self._size(entry, -1)
        for groups, key in ((self.zones, entry.zone), (self.cells, (entry.zone, entry.cell))):
            del groups[key][bisect_left(groups[key], server)]
            if not groups[key]:
                del groups[key]

    def _set_cold(self, server: str, cold: bool) -> None:
        entry = self.known[server]
        if cold:
            self.cold[server] = None
        else:
            del self.cold[server]
        self._size(entry, -1 if cold else 1)

    def over(self, before: float, out: Container[str]) -> list[str]:
        """Those gone since before then, with nothing out; of some only, for a whole fleet may go at once."""
        return [s for s, since in islice(self.gone.items(), 300) if s not in out and since < before]

    def forget(self, server: str) -> None:
        """Of one that is gone nothing stays."""
        self.gone.pop(server, None)
        self.known.pop(server, None)
