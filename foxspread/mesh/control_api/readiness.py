"""The readiness of a process, the age of its state, and whether it was suspended. This module does no I/O.

A replica is ready while its contact with a quorum is recent. A sidecar becomes ready once in its incarnation
it received a recent basis: a complete state, sent by a replica in quorum contact or by a neighbour that has
such a basis. It then stays ready with that state, even if all replicas fail. Until it is ready, and while
neighbours depend on it, it requests a basis periodically. The age of a basis counts from the request for it,
on this process's own monotonic clock, so that a response does not seem newer than it is if a partition
delayed it or a suspended process read it late.
"""

import math

MAX_BASIS_AGE_S = 3.0  # an older basis makes no sidecar ready
BASIS_REQUEST_INTERVAL_S = 0.5
MAX_AGE_FOR_NEIGHBOURS_S = 1.0  # an older basis is requested again while neighbours depend on it
SUSPENDED_AFTER_S = 1.0  # without a tick; callers may have tried another process by then
OUTDATED_INPUT_S = 1.0  # after a suspension, in which input that arrived during it is read
REPORTED_AFTER_TICKS = 4  # a shorter delay is the usual jitter of the event loop


class Readiness:
    """The basis of one incarnation of a sidecar; times are seconds on its monotonic clock."""

    def __init__(self) -> None:
        self.current_at: float | None = None  # the state has everything acknowledged before this time
        self.has_basis = False  # a recent one was received in this incarnation
        self.next_request_at = -math.inf

    def record_basis(self, now: float, requested_at: float, age_s: float | None) -> None:
        """Records that a sender's whole state was received; `age_s` is its age, None if unknown."""
        if age_s is None or requested_at > now:
            return
        current_at = requested_at - max(0.0, age_s)
        self.current_at = current_at if self.current_at is None else max(self.current_at, current_at)
        if now - self.current_at <= MAX_BASIS_AGE_S:
            self.has_basis = True

    def age_s(self, now: float) -> float | None:
        """Returns the seconds for which the state may have missed acknowledged changes; None: unknown."""
        return None if self.current_at is None else now - self.current_at

    def should_request_basis(self, now: float, has_dependents: bool) -> bool:
        """Returns whether to request a basis now; if so, counts it as requested."""
        age_s = self.age_s(now)
        too_old_for_dependents = has_dependents and (age_s is None or age_s > MAX_AGE_FOR_NEIGHBOURS_S)
        if self.has_basis and not too_old_for_dependents or now < self.next_request_at:
            return False
        self.next_request_at = now + BASIS_REQUEST_INTERVAL_S
        return True

    def is_ready(self, has_state: bool) -> bool:
        """Returns whether a sidecar is ready; `has_state` is whether it has items and endpoint records."""
        return has_state and self.has_basis


class SuspendDetector:
    """Detects that this process was suspended or starved of CPU; `tick_s` is the interval of `tick` calls."""

    def __init__(self, now: float, tick_s: float) -> None:
        self.tick_s, self.last_tick_at, self.outdated_until = tick_s, now, -math.inf

    def tick(self, now: float) -> float:
        """Returns the seconds for which the process was suspended since the last call, usually 0."""
        gap_s, self.last_tick_at = now - self.last_tick_at, now
        if gap_s > SUSPENDED_AFTER_S:
            self.outdated_until = now + OUTDATED_INPUT_S
        return max(0.0, gap_s - REPORTED_AFTER_TICKS * self.tick_s)

    def input_may_be_outdated(self, now: float) -> bool:
        """Returns whether input that is read now may have been sent long ago."""
        return now - self.last_tick_at > SUSPENDED_AFTER_S or now < self.outdated_until
