"""The clock of what processes agree on: durations only, and it goes on while a machine is suspended.
`CLOCK_MONOTONIC` may stand still then, and a leader that slept would think that it was heard a moment ago.
"""

import time


class Clock:
    """Seconds since some moment. `rate` is for the lab: a clock that runs fast or slow."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self.zero = rate, time.clock_gettime(time.CLOCK_BOOTTIME)

    def __call__(self) -> float:
        return (time.clock_gettime(time.CLOCK_BOOTTIME) - self.zero) * self.rate + 1.0
