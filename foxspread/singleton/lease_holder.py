"""An instance's part: which duties it owns, under which tokens, until when. Without I/O: time and chance are
handed in. Whoever acts asks `may` at the moment of the act, and sends the token with it: an instance may be
stopped even after that, so what it does is refused where it arrives (`guard`).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

RETRY_LEAST, RETRY_MOST = 0.05, 2.0  # seconds between two tries where no answer comes


@dataclass(frozen=True)
class DutyAsk:
    """`offers`: duties that it would do. `yields`: those that it does nothing more for, with their tokens."""

    instance: str
    at: float  # by its own clock
    offers: tuple[str, ...]
    yields: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Given:
    """By what was committed after the ask came: what it owns, with tokens; of these, what is wanted back."""

    lease: float  # seconds from the asking
    drift: float
    held: dict[str, int]
    wanted: tuple[str, ...] = ()


class Owner:
    """`id` is of one start: what another start owned is not this one's."""

    def __init__(
        self, now: float, id: str, offers: Iterable[str], chance: Callable[[], float], drift: float = 0.02
    ) -> None:
        self.id, self.offers, self.chance, self.drift = id, tuple(offers), chance, drift
        self.held: dict[str, tuple[int, float]] = {}  # token, and until when
        self.gone: dict[str, int] = {}  # the highest token that it has given up
        self.yields: dict[str, int] = {}  # said until it is known to be heard
        self.wanted: set[str] = set()  # to be given up as soon as nothing of it is under way
        self.next_ask, self.tries = now, 0

    def may(self, now: float, duty: str) -> int:
        """Its token, 0 where it may not act for that duty now."""
        token, until = self.held.get(duty, (0, 0.0))
        return token if now < until else 0

    def duties(self, now: float) -> list[str]:
        return [each for each in self.held if self.may(now, each)]

    def give_up(self, duty: str) -> None:
        """Nothing is done for it from here on."""
        self.wanted.discard(duty)
        if duty in self.held:
            token, _ = self.held.pop(duty)
            self.gone[duty] = max(token, self.gone.get(duty, 0))
            self.yields[duty] = token

    def wake_at(self) -> float:
        return self.next_ask

    def soon(self, now: float) -> None:
        self.next_ask, self.tries = now, 0

    def ask(self, now: float) -> DutyAsk | None:
        if now < self.next_ask:
            return None
        self.tries += 1
        pause = min(RETRY_MOST, RETRY_LEAST * 2 ** min(self.tries, 6))
        self.next_ask = now + pause * (0.5 + self.chance())
        return DutyAsk(self.id, now, self.offers, tuple(self.yields.items()))

    def answered(self, now: float, ask: DutyAsk, given: Given) -> None:
        self.tries, self.drift = 0, max(self.drift, given.drift)
        self.next_ask = now + given.lease / 3 * (0.8 + 0.4 * self.chance())
        for duty, token in given.held.items():
            if token <= self.gone.get(duty, 0):
                continue  # given up since it asked, or another answer came late
            old, until = self.held.get(duty, (0, 0.0))
            if token >= old:
                until = until if token == old else 0.0
                self.held[duty] = (token, max(until, self._until(ask.at, now, given.lease)))
        for duty, token in list(self.yields.items()):
            if (duty, token) in ask.yields and given.held.get(duty) != token:
                del self.yields[duty]
        self.wanted |= {each for each in given.wanted if each in self.held}

    def _until(self, asked: float, now: float, lease: float) -> float:
        return asked + lease * (1 - self.drift)
