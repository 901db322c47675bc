"""When a process is ready, how old its state may be, and whether it was suspended. No I/O.

A replica is ready while its contact with a majority is recent. A sidecar becomes ready, in one incarnation,
on a basis that was current a short time before: a state sent by a replica in contact, or by a neighbour that
has such a basis. Then it stays ready with what it has, whatever becomes of the replicas. Until then, and
while neighbours depend on it, it requests a basis again. The age of a basis counts from the request for it,
on this process's own steady clock, so that an answer that a partition delayed, or that a suspended process
reads late, counts as old as it is.
"""

import math

MAX_BASIS_AGE_S = 3.0  # a basis that is older makes nobody ready
BASIS_REQUEST_INTERVAL_S = 0.5
MAX_AGE_FOR_NEIGHBOURS_S = 1.0  # older than that, a basis that neighbours depend on is requested anew
SUSPENDED_AFTER_S = 1.0  # without a turn of the loop; callers of what is read then have gone elsewhere
OUTDATED_INPUT_S = 1.0  # after a suspension, in which what came meanwhile is read
REPORTED_AFTER_TICKS = 4  # a shorter delay is the usual jitter of the loop


class Readiness:
    """The basis of one incarnation of a sidecar; times are seconds of its steady clock."""

    def __init__(self) -> None:
        self.current_at: float | None = None  # all that was acknowledged before is here
        self.has_basis = False  # in this incarnation, one that was recent when it came
        self.next_request_at = -math.inf

    def record_basis(self, now: float, requested_at: float, age_s: float | None) -> None:
        """All of a sender's state is here; `age_s`: how old it said that it may be, None: not known."""
        if age_s is None or requested_at > now:
            return
        current_at = requested_at - max(0.0, age_s)
        self.current_at = current_at if self.current_at is None else max(self.current_at, current_at)
        if now - self.current_at <= MAX_BASIS_AGE_S:
            self.has_basis = True

    def age_s(self, now: float) -> float | None:
        """Seconds for which it may have missed what was acknowledged; None: not known."""
        return None if self.current_at is None else now - self.current_at

    def should_request_basis(self, now: float, has_dependents: bool) -> bool:
        """Whether to request a recent basis now; it counts as requested then."""
        age_s = self.age_s(now)
        too_old_for_dependents = has_dependents and (age_s is None or age_s > MAX_AGE_FOR_NEIGHBOURS_S)
        if self.has_basis and not too_old_for_dependents or now < self.next_request_at:
            return False
        self.next_request_at = now + BASIS_REQUEST_INTERVAL_S
        return True

    def is_ready(self, has_state: bool) -> bool:
        """Whether a sidecar is ready; `has_state`: it has items, and records of servers."""
        return has_state and self.has_basis


class SuspendDetector:
    """Notices that this process was suspended or starved; `tick_s`: the interval at which it is called."""

    def __init__(self, now: float, tick_s: float) -> None:
        self.tick_s, self.last_tick_at, self.outdated_until = tick_s, now, -math.inf

    def tick(self, now: float) -> float:
        """To be called at each tick; seconds for which the process was suspended, 0 as a rule."""
        gap_s, self.last_tick_at = now - self.last_tick_at, now
        if gap_s > SUSPENDED_AFTER_S:
            self.outdated_until = now + OUTDATED_INPUT_S
        return max(0.0, gap_s - REPORTED_AFTER_TICKS * self.tick_s)

    def input_may_be_outdated(self, now: float) -> bool:
        """Whether what is read now may have been sent long ago; to be asked where it is read."""
        return now - self.last_tick_at > SUSPENDED_AFTER_S or now < self.outdated_until
