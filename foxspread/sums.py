"""What is counted over time, and chance: tools of the decisions, none themselves."""

import math
import zlib
from collections.abc import Hashable
from typing import Any


class Decaying:
    """A sum in which what was added `span` ago counts 1/e; brought up to date when read."""

    __slots__ = ("span", "value", "at")

    def __init__(self, span: float, value: float = 0.0) -> None:
        self.span, self.value, self.at = span, value, math.inf  # a first value stands until first read

    def read(self, now: float) -> float:
        if now > self.at:
            self.value *= math.exp((self.at - now) / self.span)
        self.at = now
        return self.value

    def add(self, now: float, amount: float = 1.0) -> None:
        if now > self.at:  # as `read`, without the call
            self.value *= math.exp((self.at - now) / self.span)
        self.at = now
        self.value += amount


class Chance:
    """Numbers from 0 up to 1, the same for the same seed: `zlib.crc32` over seed and counter."""

    def __init__(self, seed: int) -> None:
        self.begun, self.count = zlib.crc32(b"%d:" % seed), 0

    def draw(self) -> float:
        self.count += 1
        return zlib.crc32(b"%d" % self.count, self.begun) / 2**32


class Low:
    """A low quantile of what was added: it follows a fall soon and a rise slowly, so that a while of crowding
    does not pass for the usual state. It moves by parts of itself, larger at first; steps down are larger
    than those up by as much as values above it are more frequent."""

    __slots__ = ("value", "part", "least", "count")

    def __init__(self, value: float, part: float = 0.2, least: float = 0.0125) -> None:
        self.value, self.part, self.least, self.count = value, part, least, 0

    def add(self, value: float) -> None:
        self.count += 1
        step = max(self.least, 1.0 / (self.count + 1))
        self.value *= math.exp(step * (self.part if value >= self.value else self.part - 1))


class Mean:
    """The mean of what was added lately, of `most` values at the most; `usual` where that is little. Total
    and count decay together, in one step: a lookup reads and adds to dozens of these."""

    __slots__ = ("span", "usual", "most", "total", "count", "at")

    def __init__(self, span: float, usual: float = 1.0, most: float = math.inf) -> None:
        self.span, self.usual, self.most = span, usual, most
        self.total = self.count = 0.0
        self.at = math.inf

    def sums(self, now: float) -> tuple[float, float]:
        """Total and count, as of now."""
        if now > self.at:
            left = math.exp((self.at - now) / self.span)
            self.total *= left
            self.count *= left
        self.at = now
        return self.total, self.count

    def add(self, now: float, value: float, times: float = 1.0) -> None:
        if now > self.at:  # as `sums`, without the call
            left = math.exp((self.at - now) / self.span)
            self.total *= left
            self.count *= left
        self.at = now
        self.total += value
        self.count += times
        if self.count > self.most:  # where much comes, what is old yields sooner
            self.total *= self.most / self.count
            self.count = self.most

    def read(self, now: float, usual: float | None = None) -> float:
        if now > self.at:  # as `sums`, without the call
            left = math.exp((self.at - now) / self.span)
            self.total *= left
            self.count *= left
        self.at = now
        return (self.total + (self.usual if usual is None else usual)) / (self.count + 1.0)

    @staticmethod
    def over(now: float, several: list["Mean"], usual: float) -> float:
        """Of several together."""
        sums = [each.sums(now) for each in several]
        return (sum(total for total, _ in sums) + usual) / (sum(count for _, count in sums) + 1.0)

    @staticmethod
    def better_half(now: float, several: list["Mean"]) -> tuple[float, float]:
        """Total and count of those with the lower means, of the ones that hold anything worth the name."""
        sums = sorted(
            (total / count, total, count)
            for total, count in (each.sums(now) for each in several)
            if count >= 0.5
        )
        half = sums[: (len(sums) + 1) // 2]
        return sum(total for _, total, _ in half), sum(count for _, _, count in half)


class Latest(dict):
    """What was put under the latest keys, so many at the most."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most

    def put(self, key: Hashable, value: Any) -> None:
        self.pop(key, None)
        self[key] = value
        if len(self) > self.most:
            del self[next(iter(self))]
