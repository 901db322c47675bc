"""What the times of hand-offs say: how many there is room for, who is slow, and what is overdue."""

import math

from foxspread.model import Category, HandOff, ListedServer, Outcome
from foxspread.sums import Decaying, Low, Mean


class Measures:
    def __init__(self, now: float, categories: list[Category], span: float = 8.0, few: int = 3,
                 fair_time: float = 0.35, waste_price: float = 0.1) -> None:
        self.span, self.few, self.fair_time, self.waste_price = span, few, fair_time, waste_price
        self.expected = sum(c.expected_time for c in categories) / max(1, len(categories))
        self.times = {c.name: (Mean(20.0, c.expected_time / 4), Mean(20.0, c.expected_time ** 2 / 12))
                      for c in categories}             # of a hand-off, and of its square
        self.done = {"": (Decaying(span), now)}   # by server, "" for all; and since when
        self.slow = {"": Mean(3.0, 0.2)}          # by server and zone; "": for all, by the expected time
        self.brisk = Low(0.2)                     # by the expected time: what an idle server takes
        # By server: when the latest that was answered was sent; by kind: part of a turn, and answers.
        self.passed, self.turn, self.heard = {}, {}, {}

    def met(self, now: float, server: str, zone: str) -> None:
        self.done[server], self.slow[server] = (Decaying(self.span), now), Mean(12.0, most=12.0)
        self.slow.setdefault(zone, Mean(8.0))

    def ended(self, now: float, hand_off: HandOff, category: Category) -> None:
        server, kind, outcome, took = hand_off.server, hand_off.kind, hand_off.outcome, now - hand_off.sent
        mean, expected = self.usual(now, category), category.expected_time
        if outcome.done:
            self.done[server][0].add(now)
            self.done[""][0].add(now)
        elif outcome is Outcome.FULL:
            self.slow[server].add(now, 8.0)   # it answers at once, looks idle, and would draw all lookups
            if kind is not None:
                self._learn(kind, 2.0)
        # What was cut off counts with the time it had, else slow times look ever shorter; not a lost answer.
        cut = outcome.cut_off and took > mean and not self.overtaken(hand_off)
        if outcome.answered:   # a hung server can still say that it is full
            self.passed[server] = max(hand_off.sent, self.passed.get(server, hand_off.sent))
        if outcome.done or cut:
            self.slow[server].add(now, took / mean)
            if kind is not None:   # that a cold server is slow says nothing of the rest
                self._learn(kind, min(4.0, took / mean))
                self.slow[hand_off.zone].add(now, took / mean)
                self.slow[""].add(now, min(1.7 * self.fair(), took / expected))
                if outcome.done:
                    self.brisk.add(took / expected)
            times, squares = self.times[category.name]
            times.add(now, min(took, expected))
            squares.add(now, min(took, expected) ** 2)

    def overtaken(self, hand_off: HandOff) -> bool:
        return hand_off.sent < self.passed.get(hand_off.server, -math.inf)

    def _learn(self, kind: str, ratio: float) -> None:
        """A kind is known long before each machine: turns move until the times of all kinds are alike."""
        heard = self.heard[kind] = self.heard.get(kind, 0) + 1
        step = max(0.03, 0.6 / (3 + heard))   # soon at first: servers crowded then stay slow
        self.turn[kind] = max(0.05, self.turn.get(kind, 1.0) * math.exp(-step * (ratio - 1)))
        if (top := max(self.turn.values())) != 1.0:
            self.turn.update({each: turn / top for each, turn in self.turn.items()})

    def room(self, now: float, name: str = "", times: float = 0.18) -> float:
        """How many may be in flight: the rate (over all time, lest all overrun) x so many expected times."""
        done, since = self.done[name]
        rate = (done.read(now) + 1) / (self.span * (1.05 - math.exp((since - now) / self.span)))
        return rate * times * self.expected

    def room_in_all(self, now: float, part: float, spare: float, draw: float, used: int = 0) -> float:
        """The same over all; where that is but a few, a share by chance, the smaller the longer they take."""
        fair, floor = part * self.fair(), 5 * spare   # so many at each crowd none
        usual = self.room(now, times=fair)
        # Twice the deviation of what comes by chance: 3 in flight are no overload where 2 are usual.
        room = spare + (2 * self.room(now) * part if used else usual + 2 * math.sqrt(usual))
        let_in = draw < (fair / self.slow[""].read(now)) ** (6 if used else 2)
        few = max(self.few, floor, used)   # one at each of its portion, however low rates have fallen
        return max(room, floor, used * let_in) if room >= self.few else few * let_in

    def fair(self) -> float:
        """The part of the expected time that answers may take: some times what they take on idle servers."""
        return max(self.fair_time, 4 * self.brisk.value)

    def part_of_turn(self, now: float, entry: ListedServer, largest: float) -> float:
        single = min(1.5, 1 / self.slow[entry.server].read(now) ** 3)
        return max(0.05, single * self.turn.get(entry.kind, 1.0)) * entry.size / largest

    def slowness(self, now: float, zones: list[str], own: str) -> dict[str, float]:
        """How slow each zone is; what is untried counts as if answered in a fifth of the expected time."""
        untried = min(1.0, 0.2 / self.slow[""].read(now))
        elsewhere = Mean.over(now, [self.slow[z] for z in zones if z != own], untried)
        return {z: self.slow[z].read(now, elsewhere if z != own else 1.0) for z in zones}

    def usual(self, now: float, category: Category) -> float:
        return self.times[category.name][0].read(now)

    def overdue(self, now: float, category: Category) -> float:
        """When a hand-off is out well beyond what is usual: the dearer waste is, the surer we must be."""
        mean, square = (each.read(now) for each in self.times[category.name])
        deviation = math.sqrt(max(0.0, square - mean * mean))
        caution = 2 + 10 * self.waste_price if category.late_benefit > 0 else 3
        return min(category.expected_time, mean + caution * max(deviation, 2 / 3 * mean))
