"""When a process is ready, and how old what it holds may be. Without I/O.

A keeper is ready while its contact with a majority is young. A sidecar becomes ready in a life on a basis
that was current a short time ago, told by a keeper in contact or by a neighbour that has such a basis; then
it stays ready with what it has, whatever becomes of the keepers. Until then, and while neighbours lean on it,
it asks again. A basis counts from the asking for it, on this process's own steady clock, so that an answer
that a cut held up, or that a frozen process reads late, is as old as it is.
"""

import math

BASIS_S = 3.0  # a basis older than that makes nobody ready
ASK_S = 0.5  # between askings for a younger basis
LEANT_ON_S = 1.0  # older than that, what a neighbour leans on is asked for again
STILL_S = 1.0  # without a turn of the loop, after which what is read may be an old copy: its caller has left
STILL_AFTER_S = 1.0  # in which what came while it stood still is read


class Readiness:
    def __init__(self) -> None:
        self.as_of: float | None = None  # all that was acknowledged before is held here
        self.based = False  # in this life, on a basis that was young when it came
        self.next_at = -math.inf

    def told(self, now: float, asked_at: float, age: float | None) -> None:
        """All that the teller holds has been taken in; `age`: what it told of itself, seconds."""
        if age is None or asked_at > now:
            return
        as_of = asked_at - max(0.0, age)
        self.as_of = as_of if self.as_of is None else max(self.as_of, as_of)
        if now - self.as_of <= BASIS_S:
            self.based = True

    def age(self, now: float) -> float | None:
        """Seconds for which it may have missed something that was acknowledged; None: not known."""
        return None if self.as_of is None else now - self.as_of

    def asks(self, now: float, leant_on: bool) -> bool:
        """Whether to ask for a young basis now."""
        age = self.age(now)
        wanted = not self.based or leant_on and (age is None or age > LEANT_ON_S)
        if not wanted or now < self.next_at:
            return False
        self.next_at = now + ASK_S
        return True

    def ready(self, holds: bool) -> bool:
        """Of a sidecar; `holds`: there are items, and it has been told of servers."""
        return holds and self.based


class PauseDetector:
    """Notices that this process stood still: frozen, or held up."""

    def __init__(self, now: float, tick: float) -> None:
        self.tick, self.at, self.until = tick, now, -math.inf

    def beat(self, now: float) -> float:
        """At each tick; seconds for which it stood still, 0 as a rule."""
        stood, self.at = now - self.at, now
        if stood > STILL_S:
            self.until = now + STILL_AFTER_S
        return max(0.0, stood - 4 * self.tick)

    def stale(self, now: float) -> bool:
        """Whether what is read now may have been sent long ago; to be asked where it is read."""
        return now - self.at > STILL_S or now < self.until
