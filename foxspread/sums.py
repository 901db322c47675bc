"""What is counted over time, and chance: tools of the decisions, none themselves."""

import math
import zlib


class Decaying:
    """A sum in which what was added `span` ago counts 1/e; brought up to date when read."""

    def __init__(self, span: float, value: float = 0.0) -> None:
        self.span, self.value, self.at = span, value, math.inf   # a first value stands until first read

    def read(self, now: float) -> float:
        if now > self.at:
            self.value *= math.exp((self.at - now) / self.span)
        self.at = now
        return self.value

    def add(self, now: float, amount: float = 1.0) -> None:
        self.value = self.read(now) + amount


class Chance:
    """Numbers from 0 up to 1, the same for the same seed."""

    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def draw(self) -> float:
        self.count += 1
        return zlib.crc32(b"%d:%d" % (self.seed, self.count)) / 2**32


class Mean:
    """The mean of what was added lately, of `most` values at the most; `usual` where that is little."""

    def __init__(self, span: float, usual: float = 1.0, most: float = math.inf) -> None:
        self.total, self.count, self.usual, self.most = Decaying(span), Decaying(span), usual, most

    def add(self, now: float, value: float) -> None:
        self.total.add(now, value)
        self.count.add(now)
        if self.count.value > self.most:   # where much comes, what is old yields sooner
            self.total.value *= self.most / self.count.value
            self.count.value = self.most

    def read(self, now: float, usual: float | None = None) -> float:
        usual = self.usual if usual is None else usual
        return (self.total.read(now) + usual) / (self.count.read(now) + 1.0)

    @staticmethod
    def over(now: float, several: list["Mean"], usual: float) -> float:
        """Of several together."""
        return (sum(each.total.read(now) for each in several) + usual) / (
            sum(each.count.read(now) for each in several) + 1.0)
