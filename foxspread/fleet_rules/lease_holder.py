"""What one sidecar holds, may act on, and until when. Without I/O: time and chance are handed in, contents
come by `fetched`, and whoever acts asks `may` at the moment of the act, not when it decides.

A lease counts from the moment at which the sidecar *asked* (C. Gray and D. Cheriton, "Leases" (1989)), on its
own clock less an allowance for drift, so no coordinator needs to know when its answer came. A change goes by
two phases, as F1 changes schemas (I. Rae and others, "Online, Asynchronous Schema Change in F1" (2013)):
*between* two versions a sidecar acts on what neither forbids; only when nobody acts on the older one alone is
the newer in force. One whose lease has run out acts on the `alone` part of its version for a further time,
then on nothing (M. Burrows, "The Chubby lock service" (2006), grace).
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.compatibility import Flat

RETRY_LEAST, RETRY_MOST = 0.05, 2.0  # seconds between two tries where no answer comes


class Mode(enum.Enum):
    SETTLED = "settled"  # on one version
    BETWEEN = "between"  # on what neither of two forbids
    ALONE = "alone"  # its lease has run out
    NONE = "none"  # nothing may be done: dismiss, with a return time; not ready


@dataclass(frozen=True)
class Content:
    """A version as a sidecar holds it, checked."""

    rules: Flat
    alone: Flat
    digest: str = ""


@dataclass(frozen=True)
class Ask:
    """`phase`: what it acts on, which confirms it. `refused`: the phase that it can't take, and why."""

    holder: str
    at: float  # by its own clock; comes back with nothing but the matching answer
    phase: int
    refused: int = 0
    why: str = ""


@dataclass(frozen=True)
class Grant:
    """Seconds count from the asking. `settled` and `next` are versions' numbers, 0 for none. `drift`: what
    the fleet's terms allow for; a holder that allowed for less would outlive what others wait for."""

    phase: int
    settled: int
    next: int
    lease: float
    alone: float
    drift: float = 0.0


@dataclass(frozen=True)
class Kept:
    """What goes over a restart: never a lease, for nobody knows how long the process was away but by the same
    clock."""

    boot: str  # of the machine: its clock begins anew with each
    settled: int
    alone: Flat
    alone_until: float


@dataclass(frozen=True)
class Acting:
    mode: Mode
    phase: int
    rules: Flat = field(default_factory=dict)


NOTHING = Acting(Mode.NONE, 0)


class Holder:
    """`check` turns a version's text into a `Content` and raises ValueError with key and reason."""

    def __init__(
        self,
        now: float,
        id: str,
        check: Callable[[bytes], Content],
        chance: Callable[[], float],
        drift: float = 0.02,
        boot: str = "",
        kept: Kept | None = None,
    ) -> None:
        self.now, self.id, self.check, self.chance, self.drift, self.boot = (
            now,
            id,
            check,
            chance,
            drift,
            boot,
        )
        self.phase, self.settled, self.next = 0, 0, 0
        self.until = self.alone_until = float("-inf")
        self.alone: Flat = {}
        self.rules: Flat = {}
        self.contents: dict[int, Content] = {}
        self.wanted: tuple[float, Grant] | None = None  # a grant whose contents are not all here
        self.refused: tuple[int, str] = (0, "")
        self.next_ask, self.tries, self.lease = now, 0, 0.0
        if kept is not None and kept.boot == boot:
            self.settled, self.alone, self.alone_until = kept.settled, kept.alone, kept.alone_until

    # What it may do

    def acting(self, now: float) -> Acting:
        if now < self.until and self.settled:
            return Acting(Mode.BETWEEN if self.next else Mode.SETTLED, self.phase, self.rules)
        if now < self.alone_until and self.alone:
            return Acting(Mode.ALONE, self.phase, self.alone)
        return NOTHING

    def may(self, now: float, decided: Acting) -> bool:
        """Whether what was decided under that may still be done. To be asked where nothing lies between the
        answer and the act: a process may have slept since it decided."""
        present = self.acting(now)
        return decided.mode is not Mode.NONE and (decided.mode, decided.phase) == (
            present.mode,
            present.phase,
        )

    def changes_at(self, now: float) -> float:
        """When `acting` changes by itself."""
        return next((each for each in (self.until, self.alone_until) if each > now), float("inf"))

    # Asking

    def wake_at(self) -> float:
        return self.next_ask

    def ask(self, now: float) -> Ask | None:
        """Due asks only. The next one is due later each time no answer comes, with jitter."""
        if now < self.next_ask:
            return None
        self.tries += 1
        pause = min(RETRY_MOST, RETRY_LEAST * 2 ** min(self.tries, 6))
        self.next_ask = now + pause * (0.5 + self.chance())
        return Ask(self.id, now, self.phase, *self.refused)

    def soon(self, now: float) -> None:
        """Something has changed at the coordinators, or a content has come: asks at once."""
        self.next_ask, self.tries = now, 0

    def answered(self, now: float, ask: Ask, grant: Grant) -> None:
        self.tries, self.lease = 0, grant.lease
        self.drift = max(self.drift, grant.drift)
        self.next_ask = now + grant.lease / 3 * (0.8 + 0.4 * self.chance())
        if grant.phase < self.phase or not grant.settled and not grant.next:
            return  # older than what it has acted on, or nothing is there yet
        self.wanted = (ask.at, grant)
        self._adopt(now)

    def wants(self) -> list[int]:
        """Versions whose contents are to be fetched."""
        if self.wanted is None:
            return []
        return [
            each
            for each in (self.wanted[1].settled, self.wanted[1].next)
            if each and each not in self.contents
        ]

    def fetched(self, now: float, number: int, text: bytes) -> None:
        try:
            self.contents[number] = self.check(text)
        except ValueError as error:
            if self.wanted is not None and number in (self.wanted[1].settled, self.wanted[1].next):
                # Guards the next version: that it can't take the one in force, which others were let take
                # without it, says nothing against the one that is announced.
                against = number == self.wanted[1].next or not self.wanted[1].next
                if against and self.refused != (refusal := (self.wanted[1].phase, str(error)[:200])):
                    self.refused = refusal
                    self.soon(now)
                self.wanted = None
            return
        self._adopt(now)

    def _adopt(self, now: float) -> None:
        if self.wanted is None or self.wants():
            return
        (asked, grant), self.wanted = self.wanted, None
        until = self._until(asked, now, grant.lease)
        if grant.phase > self.phase:
            self.phase, self.settled, self.next = grant.phase, grant.settled, grant.next
            self.until = until
            self._take_up()
            self.soon(now)  # confirms: from here on it acts so
        else:
            self.until = max(self.until, until)
        self.alone_until = max(self.alone_until, self._until(asked, now, grant.alone))
        self.refused = (0, "")
        for old in self.contents.keys() - {self.settled, self.next}:
            del self.contents[old]

    def _take_up(self) -> None:
        """A version that is announced and follows none is acted on by nobody yet."""
        if not self.settled:
            return
        settled = self.contents[self.settled]
        self.rules = (
            compatibility.between(settled.rules, self.contents[self.next].rules)
            if self.next
            else settled.rules
        )
        self.alone = settled.alone

    def _until(self, asked: float, now: float, seconds: float) -> float:
        return asked + seconds * (1 - self.drift)

    def kept(self) -> Kept:
        return Kept(self.boot, self.settled, self.alone, self.alone_until)
