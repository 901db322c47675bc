"""The clock of consensus and leases: measures durations, including time in which the machine is suspended.

CLOCK_MONOTONIC may stop during a suspension, so a leader that was suspended would believe that a majority
replied a moment ago. CLOCK_BOOTTIME goes on (clock_gettime(2)).
"""

import time

INITIAL_READING_S = 1.0  # above 0, which means "never" in some comparisons


class Clock:
    """A monotonic clock. A `rate` other than 1 makes it run fast or slow, for experiments."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self.started_at = rate, time.clock_gettime(time.CLOCK_BOOTTIME)

    def __call__(self) -> float:
        """Returns the seconds since the clock's creation, plus `INITIAL_READING_S`."""
        return (time.clock_gettime(time.CLOCK_BOOTTIME) - self.started_at) * self.rate + INITIAL_READING_S
