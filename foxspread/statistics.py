"""Statistics that decay over time, and seeded random numbers, for the decisions."""

import math
import zlib
from collections.abc import Hashable
from typing import Any


class DecayingSum:
    """A sum with exponential decay: what was added a time constant ago counts 1/e. It is brought up to date
    on each access."""

    __slots__ = ("time_constant", "value", "updated_at")

    def __init__(self, time_constant: float, value: float = 0.0) -> None:
        self.time_constant, self.value = time_constant, value
        self.updated_at = math.inf  # an initial value does not decay before the first access

    def read(self, now: float) -> float:
        """Returns the sum as of now."""
        if now > self.updated_at:
            self.value *= math.exp((self.updated_at - now) / self.time_constant)
        self.updated_at = now
        return self.value

    def add(self, now: float, amount: float = 1.0) -> None:
        """Adds an amount."""
        if now > self.updated_at:  # inlined `read`: saves a call
            self.value *= math.exp((self.updated_at - now) / self.time_constant)
        self.updated_at = now
        self.value += amount


class SeededRandom:
    """Random numbers from 0 up to 1, the same for the same seed: `zlib.crc32` over seed and counter."""

    def __init__(self, seed: int) -> None:
        self.seed_checksum, self.count = zlib.crc32(b"%d:" % seed), 0

    def draw(self) -> float:
        """Returns the next number."""
        self.count += 1
        return zlib.crc32(b"%d" % self.count, self.seed_checksum) / 2**32


class LowQuantile:
    """An estimate of a low quantile, which follows a fall soon and a rise slowly, so that a period of
    overload does not count as normal. Each value moves the estimate by a fraction of itself, at first by a
    larger one; steps down are larger than steps up, in the ratio in which values above the quantile are more
    frequent."""

    __slots__ = ("value", "quantile", "min_step", "count")

    def __init__(self, value: float, quantile: float = 0.2, min_step: float = 0.0125) -> None:
        self.value, self.quantile, self.min_step, self.count = value, quantile, min_step, 0

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count += 1
        step = max(self.min_step, 1.0 / (self.count + 1))
        self.value *= math.exp(step * (self.quantile if value >= self.value else self.quantile - 1))


class DecayingMean:
    """The mean of recent values, with exponential decay; it tends to `prior` while there are few values.
    Total and count decay together in one step, as each request reads and updates dozens of these. `max_count`
    bounds the count, so that older values yield sooner where there are many."""

    __slots__ = ("time_constant", "prior", "max_count", "total", "count", "updated_at")

    def __init__(self, time_constant: float, prior: float = 1.0, max_count: float = math.inf) -> None:
        self.time_constant, self.prior, self.max_count = time_constant, prior, max_count
        self.total = self.count = 0.0
        self.updated_at = math.inf

    def totals(self, now: float) -> tuple[float, float]:
        """Returns total and count as of now."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.time_constant)
            self.total *= decay
            self.count *= decay
        self.updated_at = now
        return self.total, self.count

    def add(self, now: float, value: float, times: float = 1.0) -> None:
        """Adds `times` values, the sum of which is `value`."""
        if now > self.updated_at:  # inlined `totals`: saves a call
            decay = math.exp((self.updated_at - now) / self.time_constant)
            self.total *= decay
            self.count *= decay
        self.updated_at = now
        self.total += value
        self.count += times
        if self.count > self.max_count:
            self.total *= self.max_count / self.count
            self.count = self.max_count

    def read(self, now: float, prior: float | None = None) -> float:
        """Returns the mean as of now, the prior being counted as one more value."""
        if now > self.updated_at:  # inlined `totals`: saves a call
            decay = math.exp((self.updated_at - now) / self.time_constant)
            self.total *= decay
            self.count *= decay
        self.updated_at = now
        return (self.total + (self.prior if prior is None else prior)) / (self.count + 1.0)

    @staticmethod
    def combined(now: float, several: list["DecayingMean"], prior: float) -> float:
        """Returns the mean over the values of several of these."""
        totals = [each.totals(now) for each in several]
        return (sum(total for total, _ in totals) + prior) / (sum(count for _, count in totals) + 1.0)

    @staticmethod
    def better_half(now: float, several: list["DecayingMean"]) -> tuple[float, float]:
        """Returns the total and count of those with the lower means; those with almost no values are left
        out."""
        ranked = sorted(
            (total / count, total, count)
            for total, count in (each.totals(now) for each in several)
            if count >= 0.5
        )
        half = ranked[: (len(ranked) + 1) // 2]
        return sum(total for _, total, _ in half), sum(count for _, _, count in half)


class BoundedDict(dict):
    """A dictionary of at most `max_size` keys that drops the one which was put longest ago."""

    def __init__(self, max_size: int) -> None:
        super().__init__()
        self.max_size = max_size

    def put(self, key: Hashable, value: Any) -> None:
        """Sets a value and makes its key the newest."""
        self.pop(key, None)
        self[key] = value
        if len(self) > self.max_size:
            del self[next(iter(self))]
