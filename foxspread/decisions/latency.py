"""Statistics of how long attempts take: limits on requests in flight, slow servers, and overdue attempts."""

import math

from foxspread.attempt_times import AttemptTimes
from foxspread.model import Attempt, Category, Endpoint, Outcome
from foxspread.statistics import DecayingMean


class LatencyStatistics(AttemptTimes):
    """Derives limits and shares of turns from the measured times."""

    def __init__(self, now: float, categories: list[Category], rate_window: float = 8.0, min_limit: int = 3,
                 min_acceptable_fraction: float = 0.35, waste_price: float = 0.1) -> None:
        super().__init__(now, categories, rate_window)
        self.min_limit, self.waste_price = min_limit, waste_price
        self.min_acceptable_fraction = min_acceptable_fraction

    def record_attempt(self, now: float, attempt: Attempt, category: Category) -> None:
        server, kind, outcome, took = attempt.server, attempt.kind, attempt.outcome, now - attempt.sent_at
        mean, expected = self.mean_time(now, category), category.expected_time
        if outcome.succeeded:
            self.completions[server][0].add(now)
            self.completions[""][0].add(now)
        elif outcome is Outcome.OVERLOADED:
            self.slowness[server].add(now, 8.0)   # as its quick refusals would attract requests
            if kind is not None:
                self._learn_kind(kind, 2.0)
        # Interrupted ones count with the time they had, or means would fall ever lower; lost answers do not.
        interrupted = outcome.interrupted and took > mean and not self.is_overtaken(attempt)
        if outcome.answered:   # not by a refusal: a hung server can still say that it is overloaded
            latest = self.latest_answered_sent_at
            latest[server] = max(attempt.sent_at, latest.get(server, attempt.sent_at))
        if outcome.succeeded or interrupted:
            self.slowness[server].add(now, took / mean)
            if kind is not None:   # a server in slow start says nothing about the others
                self._learn_kind(kind, min(4.0, took / mean))
                self.slowness[attempt.zone].add(now, took / mean)
                self.slowness[""].add(now, min(1.7 * self.acceptable_fraction(), took / expected))
                if outcome.succeeded:
                    self.idle_time_quantile.add(took / expected)
            times, squares = self.time_moments[category.name]
            times.add(now, min(took, expected))
            squares.add(now, min(took, expected) ** 2)

    def _learn_kind(self, kind: str, ratio: float) -> None:
        """Balances the kinds until all take equally long: a kind is known long before each of its servers."""
        count = self.answer_counts[kind] = self.answer_counts.get(kind, 0) + 1
        step = max(0.03, 0.6 / (3 + count))   # larger at first: servers that are overloaded then stay slow
        shares = self.kind_turn_share
        shares[kind] = max(0.05, shares.get(kind, 1.0) * math.exp(-step * (ratio - 1)))
        if (largest := max(shares.values())) != 1.0:
            shares.update({each: share / largest for each, share in shares.items()})

    def in_flight_limit(self, now: float, server: str = "", fraction: float = 0.18) -> float:
        """Returns the completion rate times a fraction of the expected time. The rate is over idle time as
        well, or all servers would be overrun."""
        completions, since = self.completions[server]
        window = self.rate_window
        rate = (completions.read(now) + 1) / (window * (1.05 - math.exp((since - now) / window)))
        return rate * fraction * self.mean_expected_time

    def total_in_flight_limit(self, now: float, part: float, spare: float, draw: float,
                              used: int = 0) -> float:
        """Returns the limit over all servers. If it is small, a random share is admitted instead, which falls
        as answers take longer. `spare`: servers per sidecar; `used`: size of the subset, if there is one."""
        acceptable, floor = part * self.acceptable_fraction(), 5 * spare   # 5 per server overload nobody
        usual = self.in_flight_limit(now, fraction=acceptable)
        # Plus twice the deviation of random arrivals: 3 in flight are no overload where 2 are usual.
        limit = spare + (2 * self.in_flight_limit(now) * part if used else usual + 2 * math.sqrt(usual))
        admitted = draw < (acceptable / self.slowness[""].read(now)) ** (6 if used else 2)
        few = max(self.min_limit, floor, used)   # one per server of the subset, however low rates have fallen
        return max(limit, floor, used * admitted) if limit >= self.min_limit else few * admitted

    def acceptable_fraction(self) -> float:
        """Returns the fraction of the expected time that answers may take: several times an idle server's."""
        return max(self.min_acceptable_fraction, 4 * self.idle_time_quantile.value)

    def turn_share(self, now: float, entry: Endpoint, largest: float) -> float:
        """Returns the part of a turn that a server gets in a round. `largest`: the largest weight."""
        own = min(1.5, 1 / self.slowness[entry.server].read(now) ** 3)
        return max(0.05, own * self.kind_turn_share.get(entry.kind, 1.0)) * entry.weight / largest

    def zone_slowness(self, now: float, zones: list[str], own: str) -> dict[str, float]:
        """Returns each zone's; an untried one counts as if it answered in a fifth of the expected time."""
        untried = min(1.0, 0.2 / self.slowness[""].read(now))
        elsewhere = DecayingMean.combined(now, [self.slowness[z] for z in zones if z != own], untried)
        return {z: self.slowness[z].read(now, elsewhere if z != own else 1.0) for z in zones}

    def overdue_after(self, now: float, category: Category) -> float:
        """Returns the mean plus some deviations: more where wasted work is expensive."""
        mean, square = (each.read(now) for each in self.time_moments[category.name])
        deviation = math.sqrt(max(0.0, square - mean * mean))
        deviations = 2 + 10 * self.waste_price if category.late_benefit > 0 else 3
        return min(category.expected_time, mean + deviations * max(deviation, 2 / 3 * mean))
