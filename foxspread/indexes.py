"""Indexes that the decisions keep up to date instead of computing them for each request; none of them decides
anything. The cost of a choice must not grow with the fleet, so each walk over servers runs in C (bisect in
sorted lists, integers as bit sets) or stops at the first server that fits.
"""

import heapq
import math
import zlib
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from typing import Any

from foxspread.model import Attempt, EjectionState, Endpoint, Outcome, Request

LARGE_ZONE = 64  # servers; in smaller zones all servers are walked each time
ENABLE_INTERVAL_S = 0.25  # between two times of enabling all servers of all rings


class Ring:
    """Servers in the order of their names. An integer holds a bit for each, set while the server is enabled,
    that is worth looking at: the next enabled one after a place takes a few operations, however many are
    disabled."""

    __slots__ = ("names", "enabled", "rendezvous")

    def __init__(self, names: list[str] | tuple[str, ...] = ()) -> None:
        self.names = sorted(names)
        self.enabled = (1 << len(self.names)) - 1
        self.rendezvous: RendezvousIndex | None = None  # built for the first key

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return self.place(name) is not None

    def place(self, name: str) -> int | None:
        """Returns the index of a name."""
        at = bisect_left(self.names, name)
        return at if at < len(self.names) and self.names[at] == name else None

    def add(self, name: str) -> None:
        """Adds a name, enabled."""
        at = bisect_left(self.names, name)
        self.names.insert(at, name)
        low = self.enabled & ((1 << at) - 1)
        self.enabled = low | 1 << at | (self.enabled ^ low) << 1
        if self.rendezvous is not None:
            self.rendezvous.add(name)

    def remove(self, name: str) -> None:
        """Removes a name, if it is there."""
        if (at := self.place(name)) is not None:
            del self.names[at]
            low = self.enabled & ((1 << at) - 1)
            self.enabled = low | self.enabled >> (at + 1) << at
            if self.rendezvous is not None:
                self.rendezvous.remove(name)

    def disable(self, name: str) -> None:
        """Passes over a name until it, or all, are enabled again."""
        if (at := self.place(name)) is not None:
            self.enabled &= ~(1 << at)

    def enable(self, name: str) -> None:
        """Ends the passing over a name."""
        if (at := self.place(name)) is not None:
            self.enabled |= 1 << at

    def enable_all(self) -> None:
        """Enables all names."""
        self.enabled = (1 << len(self.names)) - 1

    def is_enabled(self, name: str) -> bool:
        """Returns whether a name is there and enabled."""
        return (at := self.place(name)) is not None and bool(self.enabled >> at & 1)

    def nearest(self, key: str) -> Iterator[str]:
        """Yields all names, enabled or not, the nearest to the key first."""
        if self.rendezvous is None:
            self.rendezvous = RendezvousIndex()
            for name in self.names:
                self.rendezvous.add(name)
        return self.rendezvous.nearest(key)

    def walk(self, start: int, only: list[str] | None = None) -> Iterator[int]:
        """Yields the enabled places once round, from `start` on. `only`: of these names."""
        bits = self.enabled
        if only is not None:
            places = [self.place(name) for name in only]
            bits &= sum(1 << at for at in places if at is not None)
        low = bits & ((1 << start) - 1)
        for part in (bits ^ low, low):
            while part:
                last = part & -part
                yield last.bit_length() - 1
                part ^= last


class RendezvousIndex:
    """Rendezvous hashing: names by the checksum of key and name (`zlib.crc32` of `KEY:NAME`), the least
    first. The checksum is linear: that of the key and as many zeros, xor a code of the name alone. So the
    nearest name is found bit by bit in a sorted list of codes, and no checksum of a name is computed anew for
    each key. There is one list for each length of names."""

    def __init__(self) -> None:
        self.code_of: dict[str, int] = {}
        self.codes_by_length: dict[int, list[CodedName]] = {}

    def add(self, name: str) -> None:
        """Adds a name."""
        data = f"{name}".encode()  # a name may be anything that sorts
        code = self.code_of[name] = zlib.crc32(data) ^ zlib.crc32(bytes(len(data)))
        insort(self.codes_by_length.setdefault(len(data), []), (code, name))

    def remove(self, name: str) -> None:
        """Removes a name, if it is there."""
        if (code := self.code_of.pop(name, None)) is not None:
            length = len(f"{name}".encode())
            codes = self.codes_by_length[length]
            del codes[bisect_left(codes, (code, name))]
            if not codes:
                del self.codes_by_length[length]

    def nearest(self, key: str) -> Iterator[str]:
        """Yields all names, the nearest to the key first."""
        key_checksum = zlib.crc32(f"{key}:".encode())
        by_length = [
            _nearest(codes, zlib.crc32(bytes(length), key_checksum), 0, len(codes), 31)
            for length, codes in self.codes_by_length.items()
        ]
        return (name for _, name in heapq.merge(*by_length))


CodedName = tuple[int, str]


def _nearest(codes: list[CodedName], point: int, low: int, high: int, bit: int) -> Iterator[CodedName]:
    """Yields the codes from `low` up to `high`, which do not differ above that bit, by code xor point."""
    while bit >= 0 and high - low > 1:
        first_with_bit = codes[low][0] >> (bit + 1) << (bit + 1) | 1 << bit
        middle = bisect_left(codes, (first_with_bit, ""), low, high)
        if low < middle < high:
            near = (middle, high) if point >> bit & 1 else (low, middle)
            far = (low, middle) if point >> bit & 1 else (middle, high)
            yield from _nearest(codes, point, *near, bit - 1)
            yield from _nearest(codes, point, *far, bit - 1)
            return
        bit -= 1
    for code, name in codes[low:high]:
        yield code ^ point, name


class WeightCounts:
    """Weights with how often each occurs: their sum and maximum, without a rounding error that grows with
    each change."""

    def __init__(self) -> None:
        self.count: dict[float, int] = {}

    def add(self, weight: float, times: int = 1) -> None:
        """Adds a weight so many times; a negative number removes it."""
        count = self.count.get(weight, 0) + times
        if count:
            self.count[weight] = count
        else:
            self.count.pop(weight, None)

    def sum(self) -> float:
        """Returns the sum of all weights."""
        return sum(weight * count for weight, count in self.count.items())

    def largest(self, default: float) -> float:
        """Returns the largest weight."""
        return max(self.count, default=default)


class RequestTracking:
    """The requests, their attempts in flight and the servers' rings by which these are counted. They are
    updated on each event, so that a choice computes none of it. Decides nothing."""

    def __init__(self) -> None:
        self.rings: dict[str, Ring] = {}  # healthy servers by zone
        self.zone_of: dict[str, str] = {}  # by healthy server
        self.in_flight_by_server: dict[str, int] = {}  # without the attempts that are not counted
        self.in_flight_by_zone: dict[str, int] = {}  # at healthy servers
        self.total_in_flight = self.silent_in_flight = 0  # over all servers, and at the silent ones
        self.silent: set[str] = set()  # servers that do not answer
        self.full_up_to: dict[str, float] = {}  # by zone: the largest part of its capacity that found no room
        self.changed_servers: set[str] = set()  # that may have to be added to a ring or removed
        self.attempts_by_server: dict[str, dict[tuple[str, int], Attempt]] = {}  # in flight, the oldest first
        self.enable_all_at = -math.inf
        self.large_zones: set[str] = set()
        self.due_for_trial: dict[str, list[str]] = {}  # ejected servers by zone
        self.next_trial: dict[str, float] = {}  # by zone: when the first of these is due
        self.requests: dict[str, Request] = {}
        self.pending: dict[str, Request] = {}  # to be decided on
        self.queue: dict[str, Request] = {}  # no server had room for them
        self.timers: list[tuple[float, str]] = []  # a heap of times at which to decide on a request

    def client_left(self, now: float, id: str) -> None:
        """The client has closed its connection: attempts in flight are to be cancelled."""
        if (request := self.requests.get(id)) is not None:
            request.finished, self.pending[id] = True, request

    def _forget_if_ended(self, request: Request) -> None:
        if request.finished and not request.in_flight():
            self.requests.pop(request.id, None)
            self.pending.pop(request.id, None)

    def _body_streams(self, now: float, request: Request, attempt: Attempt, complete: bool) -> None:
        """An unbuffered body begins to be sent, or is sent completely. Meanwhile its attempt is not counted:
        it makes its server neither slow nor full. Afterwards the request has as much time as before."""
        request.not_resendable, request.body_streaming = True, not complete
        took, attempt.overdue_at, attempt.not_counted = now - attempt.sent_at, math.inf, not complete
        self._count(attempt.server, 1 if complete else -1)
        if complete:
            attempt.sent_at = now
            request.expected_at, request.deadline = request.expected_at + took, request.deadline + took

    def _set_timers(self, id: str, *times: float) -> None:
        for at in set(times):
            heapq.heappush(self.timers, (at, id))

    def _due_requests(self, until: float) -> Iterator[Request]:
        """Yields the requests whose timers are due, and makes those that are not finished pending."""
        while self.timers and self.timers[0][0] <= until:
            if (request := self.requests.get(heapq.heappop(self.timers)[1])) is not None:
                if not request.finished:
                    self.pending[request.id] = request
                yield request

    def _next_timer(self) -> float:
        while self.timers and self.timers[0][1] not in self.requests:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else math.inf

    def _track(self, request: Request, attempt: Attempt) -> None:
        """Counts an attempt that is sent."""
        self.attempts_by_server.setdefault(attempt.server, {})[request.id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        self._count(attempt.server, 1)

    def _untrack(self, id: str, number: int, outcome: Outcome) -> Attempt | None:
        """Counts an attempt that has ended; returns None if no such attempt is in flight."""
        request = self.requests.get(id)
        if request is None or number >= len(request.attempts) or request.attempts[number].outcome is not None:
            return None
        attempt = request.attempts[number]
        attempt.outcome, request.body_streaming = outcome, False
        in_flight = self.attempts_by_server[attempt.server]
        del in_flight[id, number]
        if not in_flight:
            del self.attempts_by_server[attempt.server]
        if not attempt.not_counted:
            self._count(attempt.server, -1)
        return attempt

    def _in_flight_at(self, server: str) -> int:
        return self.in_flight_by_server.get(server, 0)

    def _in_flight(self) -> int:
        """Returns the number over all servers but the silent ones, whose attempts take no capacity from
        others."""
        return self.total_in_flight - self.silent_in_flight

    def _skip(self, server: str, disable: bool) -> bool:
        """Returns False: the server does not fit. If `disable`, a large zone passes over it until it is
        enabled."""
        if disable and self.large_zones and server in self.zone_of:
            self.rings[self.zone_of[server]].disable(server)
        return False

    def _count(self, server: str, change: int) -> None:
        """Counts attempts at the server in or out. One fewer enables it: it may have been disabled as
        full."""
        self.total_in_flight += change
        self.in_flight_by_server[server] = self.in_flight_by_server.get(server, 0) + change
        if not self.in_flight_by_server[server]:
            del self.in_flight_by_server[server]
        self.silent_in_flight += change * (server in self.silent)
        if (zone := self.zone_of.get(server)) is not None:
            self.in_flight_by_zone[zone] += change
            if change < 0:
                self.rings[zone].enable(server)
                self.full_up_to.pop(zone, None)

    def _move_to_ring(self, server: str, zone: str | None) -> None:
        """Moves a server to the ring of its zone, or out of all rings."""
        old = self.zone_of.pop(server, None)
        if old is not None and old != zone:
            self.rings[old].remove(server)
            self.in_flight_by_zone[old] -= self._in_flight_at(server)
        if zone is not None:
            self.zone_of[server] = zone
            if old != zone:
                self.rings.setdefault(zone, Ring()).add(server)
                self.in_flight_by_zone[zone] = self.in_flight_by_zone.get(zone, 0) + self._in_flight_at(
                    server
                )

    def _take_changed_servers(self) -> list[str]:
        changed, self.changed_servers = sorted(self.changed_servers), set()
        return changed

    def _set_zones(self, zones: Iterable[str]) -> None:
        """Keeps a ring for each of these zones and for no other, and forgets which of them were full."""
        self.rings = {z: self.rings.get(z) or Ring() for z in zones}
        self.in_flight_by_zone = {z: self.in_flight_by_zone.get(z, 0) for z in zones}
        self.large_zones = {z for z, ring in self.rings.items() if len(ring) > LARGE_ZONE}
        self.silent_in_flight = sum(map(self._in_flight_at, self.silent))
        self.full_up_to.clear()

    def _mean_in_flight(self) -> dict[str, float]:
        return {z: self.in_flight_by_zone[z] / (len(ring.names) or 1) for z, ring in self.rings.items()}

    def _healthy_capacity(self, missing: dict[str, float]) -> dict[str, float]:
        """Returns the number of servers in each ring, less the missing part of those that have not warmed
        up."""
        capacity = {z: float(len(ring)) for z, ring in self.rings.items()}
        for server, part in missing.items():
            capacity[self.zone_of[server]] -= part
        return capacity

    def _zones_with_room(self, zones: list[str], part: float) -> Iterator[str]:
        """Yields the zones that may have room for this part of their capacity; when the next one is asked
        for, the one before had none."""
        for zone in zones:
            if zone not in self.large_zones:
                yield zone
            elif part > self.full_up_to.get(zone, 0.0):
                yield zone
                self.full_up_to[zone] = part

    def _schedule_trials(
        self, ejected: set[str], endpoints: dict[str, Endpoint], states: dict[Any, EjectionState]
    ) -> None:
        self.due_for_trial, self.next_trial = {}, {}
        for server in sorted(ejected):
            zone, state = endpoints[server].zone, states[server]
            self.due_for_trial.setdefault(zone, []).append(server)
            if not state.trial_in_flight:
                self.next_trial[zone] = min(state.ejected_until, self.next_trial.get(zone, math.inf))

    def _enable_all(self, now: float) -> None:
        """Enables all servers every quarter of a second."""
        if now >= self.enable_all_at:
            self.enable_all_at = now + ENABLE_INTERVAL_S
            for ring in self.rings.values():
                ring.enable_all()


class InterleavedOrder:
    """An order of names that is the same for all who know them, in which the kinds alternate in proportion to
    their numbers. It is merged only as far as it is walked, and a change is sorted in: both are cheap in a
    large fleet."""

    def __init__(self) -> None:
        self.kinds: dict[str, list[tuple[int, str]]] = {}

    def add(self, name: str, kind: str) -> None:
        """Adds a name."""
        insort(self.kinds.setdefault(kind, []), (zlib.crc32(name.encode()), name))

    def remove(self, name: str, kind: str) -> None:
        """Removes a name."""
        same_kind = self.kinds[kind]
        del same_kind[bisect_left(same_kind, (zlib.crc32(name.encode()), name))]
        if not same_kind:
            del self.kinds[kind]

    def walk(self, start: float) -> Iterator[str]:
        """Yields all names once round, from that fraction of the order on."""

        def positions(kind: str) -> Iterator[tuple[float, str, str]]:
            same_kind = self.kinds[kind]
            first = math.ceil(start * len(same_kind) - 0.5)
            for at in range(first, first + len(same_kind)):
                yield (at + 0.5) / len(same_kind), kind, same_kind[at % len(same_kind)][1]

        return (name for _, _, name in heapq.merge(*map(positions, self.kinds)))
