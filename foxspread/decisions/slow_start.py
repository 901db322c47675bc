"""The list of servers, and how much a server that has just started may be sent."""

from collections import defaultdict
from collections.abc import Iterable

from foxspread.endpoints import EndpointTable
from foxspread.model import Endpoint
from foxspread.statistics import DecayingMean, DecayingSum, SeededRandom


class SlowStart(EndpointTable):
    """The endpoint table with a token bucket for each server in slow start. `overload_factor`: the multiple
    of its contractual load at which such a server breaks down."""

    def __init__(self, initial_fraction: float, slow_start_time: float, overload_factor: float,
                 chance: SeededRandom) -> None:
        super().__init__(initial_fraction, slow_start_time)
        self.headroom, self.max_headroom = min(2.0, 0.6 * overload_factor), 0.65 * overload_factor
        self.chance, self.weights_in_use = chance, {}   # by group, of the servers that have warmed up
        self.tokens = {}   # by server in slow start: tokens, and the time of their last update
        self.kind_turn_share, self.slowness = {}, defaultdict(lambda: DecayingMean(12.0))
        # At least the subset's size: the latest completions may be by more servers than are in use now.
        self.min_weight_in_use, self.request_count = 0.0, DecayingSum(10.0)
        # By server that the operator has enabled: when it may get its first request; and the rate until then.
        self.first_request_at, self.first_request_rate, self.budget_yielded = {}, 0.25, False

    def update(self, now: float, entries: Iterable[Endpoint], full: bool) -> tuple[list[str], list[str]]:
        started, changed = self.apply_update(now, entries, full)
        if self.orders is None:
            self.weights_in_use = self.healthy_group_weights(now, set())
        # The first token is partly filled at random, so that the sidecars do not all send at once.
        self.tokens |= {server: (self.chance.draw() * 0.9, now) for server in started}
        return started, changed

    def use_subset(self, now: float, used: set[str], new: set[str], size: float) -> None:
        """Sets the subset. Resets the tokens of new servers, as all sidecars turn to the same one at once."""
        new_starting = sorted(self.slow_starting.keys() & new)
        self.tokens |= {server: (self.chance.draw() * 0.9, now) for server in new_starting}
        self.weights_in_use, self.min_weight_in_use = self.group_weights(used), size

    def allowed_rate(self, now: float, server: str) -> float:
        """Returns attempts a second: a share of what other servers complete, not of what they are sent."""
        entry, subset = self.endpoints[server], self.orders is not None
        weights, groups, turn_share = self.weights_in_use, [(entry.zone, entry.kind)], 1.0
        if subset or groups[0] not in weights:   # other kinds may get far more turns, and complete more
            turn_share = max(0.0 if subset else 0.5, self.kind_turn_share.get(entry.kind, 1.0))
            groups = [g for g in weights if g[0] == entry.zone] or list(weights)
        if groups:
            weight = max(self.min_weight_in_use, sum(map(weights.get, groups)))
            usual = sum(self.completions[g].read(now) for g in groups) / weight
        else:   # all have just started
            usual = self.request_count.read(now) / self.weights.sum()
        speed = 1.0 if subset else max(0.5, (1.25 / self.slowness[server].read(now, 1.25)) ** 2)
        headroom = min(self.max_headroom, self.headroom * speed)   # quick: more than its contract; slow: less
        return headroom * self.capacity_fraction(now, server) * usual / 10.0 * entry.weight * turn_share

    def has_budget(self, now: float, server: str) -> bool:
        """Returns whether the server has warmed up, or has a token for an attempt."""
        if self.endpoints[server].started <= 0 or self.capacity_fraction(now, server) == 1.0:
            return True
        tokens, updated_at = self.tokens[server]
        first_rate = self.first_request_rate * (server in self.first_request_at)
        rate = max(self.allowed_rate(now, server), first_rate)
        tokens = min(1.0, tokens + (now - updated_at) * rate)   # at most one, so that there is never a burst
        self.tokens[server] = (tokens, now)
        return tokens >= 1.0 and not self.budget_yielded   # a successor process spends the budget

    def spend(self, now: float, server: str) -> None:
        """Takes the token for an attempt."""
        if self.capacity_fraction(now, server) < 1.0:
            self.tokens[server] = (self.tokens[server][0] - 1.0, now)
