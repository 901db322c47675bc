"""Structures that the decisions keep up to date instead of working them out for each lookup; none decides
anything. They are shaped by one need: what a choice costs must not grow with the fleet, so every walk over
servers is in C (bisect in sorted lists, whole numbers as sets of bits) or stops at the first that serves.
"""

import heapq
import math
import zlib
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from typing import Any

from foxspread.model import HandOff, ListedServer, Lookup, Mark, Outcome


class Ring:
    """Servers in the order of their names; a bit for each says whether it is worth looking at. A whole number
    holds the bits: the next open one after any place is found in a few operations however many are closed
    before it."""

    __slots__ = ("names", "open", "near")

    def __init__(self, names: list[str] | tuple[str, ...] = ()) -> None:
        self.names = sorted(names)
        self.open = (1 << len(self.names)) - 1
        self.near: Nearest | None = None  # from the first key on

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return self.place(name) is not None

    def place(self, name: str) -> int | None:
        at = bisect_left(self.names, name)
        return at if at < len(self.names) and self.names[at] == name else None

    def add(self, name: str) -> None:
        at = bisect_left(self.names, name)
        self.names.insert(at, name)
        low = self.open & ((1 << at) - 1)
        self.open = low | 1 << at | (self.open ^ low) << 1
        if self.near is not None:
            self.near.add(name)

    def drop(self, name: str) -> None:
        if (at := self.place(name)) is not None:
            del self.names[at]
            low = self.open & ((1 << at) - 1)
            self.open = low | self.open >> (at + 1) << at
            if self.near is not None:
                self.near.remove(name)

    def park(self, name: str) -> None:
        """Not worth looking at until it is opened again: by name, or all at once."""
        if (at := self.place(name)) is not None:
            self.open &= ~(1 << at)

    def unpark(self, name: str) -> None:
        if (at := self.place(name)) is not None:
            self.open |= 1 << at

    def is_open(self, name: str) -> bool:
        return (at := self.place(name)) is not None and bool(self.open >> at & 1)

    def nearest(self, key: str) -> Iterator[str]:
        """All names, open or not, the nearest to the key first."""
        if self.near is None:
            self.near = Nearest()
            for name in self.names:
                self.near.add(name)
        return self.near.nearest(key)

    def open_all(self) -> None:
        self.open = (1 << len(self.names)) - 1

    def walk(self, start: int, only: list[str] | None = None) -> Iterator[int]:
        """The open places from `start` on, once round; of `only` these names where some are given."""
        bits = self.open
        if only is not None:
            places = [self.place(name) for name in only]
            bits &= sum(1 << at for at in places if at is not None)
        low = bits & ((1 << start) - 1)
        for part in (bits ^ low, low):
            while part:
                last = part & -part
                yield last.bit_length() - 1
                part ^= last


class Nearest:
    """Names by how near they are to a key: by the checksum of key and name together (`zlib.crc32` of
    `KEY:NAME`, the least first). That checksum is linear: it is the one of the key and as many zeros, xor a
    code of the name alone; so the nearest is found digit by digit in a sorted list of codes, and no name's
    checksum is worked out anew for each key. One list for each length of names."""

    def __init__(self) -> None:
        self.code: dict[str, int] = {}
        self.codes: dict[int, list[tuple[int, str]]] = {}

    def add(self, name: str) -> None:
        data = f"{name}".encode()  # a name may be anything that sorts
        code = self.code[name] = zlib.crc32(data) ^ zlib.crc32(bytes(len(data)))
        insort(self.codes.setdefault(len(data), []), (code, name))

    def remove(self, name: str) -> None:
        if (code := self.code.pop(name, None)) is not None:
            size = len(f"{name}".encode())
            codes = self.codes[size]
            del codes[bisect_left(codes, (code, name))]
            if not codes:
                del self.codes[size]

    def nearest(self, key: str) -> Iterator[str]:
        """All names, the nearest to the key first."""
        begun = zlib.crc32(f"{key}:".encode())
        several = [
            _near(codes, zlib.crc32(bytes(size), begun), 0, len(codes), 31)
            for size, codes in self.codes.items()
        ]
        return (name for _, name in heapq.merge(*several))


Coded = tuple[int, str]


def _near(codes: list[Coded], point: int, low: int, high: int, bit: int) -> Iterator[Coded]:
    """Those from `low` up to `high`, which are alike above that bit, by code xor point."""
    while bit >= 0 and high - low > 1:
        first = codes[low][0] >> (bit + 1) << (bit + 1) | 1 << bit
        middle = bisect_left(codes, (first, ""), low, high)
        if low < middle < high:
            ones = (middle, high) if point >> bit & 1 else (low, middle)
            zeros = (low, middle) if point >> bit & 1 else (middle, high)
            yield from _near(codes, point, *ones, bit - 1)
            yield from _near(codes, point, *zeros, bit - 1)
            return
        bit -= 1
    for code, name in codes[low:high]:
        yield code ^ point, name


class Sizes:
    """Sizes with how often each occurs: sum and largest without rounding that grows from change to change."""

    def __init__(self) -> None:
        self.count: dict[float, int] = {}

    def add(self, size: float, times: int = 1) -> None:
        count = self.count.get(size, 0) + times
        if count:
            self.count[size] = count
        else:
            self.count.pop(size, None)

    def sum(self) -> float:
        return sum(size * count for size, count in self.count.items())

    def largest(self, usual: float) -> float:
        return max(self.count, default=usual)


class Flight:
    """What is in flight, and the rings of servers that it is counted by: kept up to date on each event, so
    that a choice works out none of it. Bookkeeping of the decisions without a decision in it."""

    def __init__(self) -> None:
        self.sound: dict[str, Ring] = {}  # those that count as sound, by zone
        self.ring_of: dict[str, str] = {}  # in which of these each is
        self.held: dict[str, int] = {}  # in flight by server, where not given up
        self.held_in: dict[str, int] = {}  # by ring
        self.flying = self.hushed_hold = 0  # over all, and at the silent ones
        self.hushed: set[str] = set()
        self.full_for: dict[str, float] = {}  # parts of the room that found none, by zone
        self.touched: set[str] = set()  # whose ring may be another by now
        self.out: dict[str, dict[tuple[str, int], HandOff]] = {}  # by server with any, the oldest first
        self.open_at = -math.inf  # from when on the parked ones are opened
        self.large: set[str] = set()  # the zones whose rings are; small ones are walked each time
        self.due: dict[str, list[str]] = {}  # the marked ones by zone, for trials
        self.next_trial: dict[str, float] = {}  # by zone: from when on the first of these may get one
        self.lookups: dict[str, Lookup] = {}
        self.waiting: dict[str, Lookup] = {}  # to be looked at
        self.queue: dict[str, Lookup] = {}  # without room so far
        self.alarms: list[tuple[float, str]] = []  # when to look at which; a heap

    def client_left(self, now: float, id: str) -> None:
        if (lookup := self.lookups.get(id)) is not None:
            lookup.over, self.waiting[id] = True, lookup  # to call off what is still out

    def _settle(self, lookup: Lookup) -> None:
        """Of one that is over, with nothing out, nothing stays."""
        if lookup.over and not lookup.out():
            self.lookups.pop(lookup.id, None)
            self.waiting.pop(lookup.id, None)

    def _passes(self, now: float, lookup: Lookup, hand_off: HandOff, gone: bool) -> None:
        """A body begins to go out, or has gone: under way, it makes its server neither slow nor full."""
        lookup.spent, lookup.coming = True, not gone
        took, hand_off.overdue, hand_off.late = now - hand_off.sent, math.inf, not gone
        self._count(hand_off.server, 1 if gone else -1)
        if gone:
            hand_off.sent = now
            lookup.expected_at, lookup.abandon_at = lookup.expected_at + took, lookup.abandon_at + took

    def _wake(self, id: str, *times: float) -> None:
        for at in set(times):
            heapq.heappush(self.alarms, (at, id))

    def _alarmed(self, until: float) -> Iterator[Lookup]:
        """Whose alarms are due: each is to be looked at, but for those that are over."""
        while self.alarms and self.alarms[0][0] <= until:
            if (lookup := self.lookups.get(heapq.heappop(self.alarms)[1])) is not None:
                if not lookup.over:
                    self.waiting[lookup.id] = lookup
                yield lookup

    def _next_alarm(self) -> float:
        while self.alarms and self.alarms[0][1] not in self.lookups:  # what is over need not wake anybody
            heapq.heappop(self.alarms)
        return self.alarms[0][0] if self.alarms else math.inf

    def _sent(self, lookup: Lookup, hand_off: HandOff) -> None:
        self.out.setdefault(hand_off.server, {})[lookup.id, len(lookup.sent)] = hand_off
        lookup.sent.append(hand_off)
        self._count(hand_off.server, 1)

    def _back(self, id: str, number: int, outcome: Outcome) -> HandOff | None:
        """None where no such one is out."""
        lookup = self.lookups.get(id)
        if lookup is None or number >= len(lookup.sent) or lookup.sent[number].outcome is not None:
            return None
        hand_off = lookup.sent[number]
        hand_off.outcome, lookup.coming = outcome, False
        out = self.out[hand_off.server]
        del out[id, number]
        if not out:
            del self.out[hand_off.server]
        if not hand_off.late:
            self._count(hand_off.server, -1)
        return hand_off

    def _held(self, server: str) -> int:
        return self.held.get(server, 0)

    def _in_flight(self) -> int:
        """Over all servers; what hangs at silent ones takes no room from the rest."""
        return self.flying - self.hushed_hold

    def _park(self, server: str, worth: bool) -> bool:
        """Passes over it, until it is opened again, where it would be walked past time and again; False."""
        if worth and self.large and server in self.ring_of:
            self.sound[self.ring_of[server]].park(server)
        return False

    def _count(self, server: str, change: int) -> None:
        """A hand-off more or less at that server: what it held may have parked it, so it is opened again."""
        self.flying += change
        self.held[server] = self.held.get(server, 0) + change
        if not self.held[server]:
            del self.held[server]
        self.hushed_hold += change * (server in self.hushed)
        if (zone := self.ring_of.get(server)) is not None:
            self.held_in[zone] += change
            if change < 0:
                self.sound[zone].unpark(server)
                self.full_for.pop(zone, None)

    def _place(self, server: str, zone: str | None) -> None:
        """Into that ring, or into none."""
        old = self.ring_of.pop(server, None)
        if old is not None and old != zone:
            self.sound[old].drop(server)
            self.held_in[old] -= self._held(server)
        if zone is not None:
            self.ring_of[server] = zone
            if old != zone:
                self.sound.setdefault(zone, Ring()).add(server)
                self.held_in[zone] = self.held_in.get(zone, 0) + self._held(server)

    def _all_touched(self) -> list[str]:
        touched, self.touched = sorted(self.touched), set()
        return touched

    def _regroup(self, zones: Iterable[str]) -> None:
        """A ring for each of these zones and for no other; what was found full counts as unknown."""
        self.sound = {z: self.sound.get(z) or Ring() for z in zones}
        self.held_in = {z: self.held_in.get(z, 0) for z in zones}
        self.large = {z for z, ring in self.sound.items() if len(ring) > 64}
        self.hushed_hold = sum(map(self._held, self.hushed))
        self.full_for.clear()

    def _mean_held(self) -> dict[str, float]:
        return {z: self.held_in[z] / (len(ring.names) or 1) for z, ring in self.sound.items()}

    def _sizes(self, lacking: dict[str, float]) -> dict[str, float]:
        """How many are in each ring, less what these are short of one."""
        sizes = {z: float(len(ring)) for z, ring in self.sound.items()}
        for server, lack in lacking.items():
            sizes[self.ring_of[server]] -= lack
        return sizes

    def _not_full(self, zones: list[str], part: float) -> Iterator[str]:
        """Those of the zones that may have room for this part; one that is gone on from had none."""
        for zone in zones:
            if zone not in self.large:
                yield zone
            elif part > self.full_for.get(zone, 0.0):
                yield zone
                self.full_for[zone] = part

    def _sort_trials(self, marked: set[str], known: dict[str, ListedServer], marks: dict[Any, Mark]) -> None:
        self.due, self.next_trial = {}, {}
        for server in sorted(marked):
            zone, mark = known[server].zone, marks[server]
            self.due.setdefault(zone, []).append(server)
            if not mark.trial_out:
                self.next_trial[zone] = min(mark.until, self.next_trial.get(zone, math.inf))

    def _open_all(self, now: float) -> None:
        """What is parked, four times a second."""
        if now >= self.open_at:
            self.open_at = now + 0.25
            for ring in self.sound.values():
                ring.open_all()


class Alternating:
    """One order of names that all who know them come to, in which the kinds alternate by their shares. It is
    merged only as far as it is walked, and a change is sorted in: both cost little in a large fleet."""

    def __init__(self) -> None:
        self.kinds: dict[str, list[tuple[int, str]]] = {}

    def add(self, name: str, kind: str) -> None:
        insort(self.kinds.setdefault(kind, []), (zlib.crc32(name.encode()), name))

    def drop(self, name: str, kind: str) -> None:
        alike = self.kinds[kind]
        del alike[bisect_left(alike, (zlib.crc32(name.encode()), name))]
        if not alike:
            del self.kinds[kind]

    def walk(self, start: float) -> Iterator[str]:
        """Once round, from that part of the order on."""

        def of(kind: str) -> Iterator[tuple[float, str, str]]:
            alike = self.kinds[kind]
            first = math.ceil(start * len(alike) - 0.5)
            for at in range(first, first + len(alike)):
                yield (at + 0.5) / len(alike), kind, alike[at % len(alike)][1]

        return (name for _, _, name in heapq.merge(*map(of, self.kinds)))
