"""The monotonic clock that all processes of the mesh use."""

import time


def boot_clock() -> float:
    """Returns the seconds since the machine started.

    Unlike the event loop's clock, it advances while the machine is suspended: ages, leases and drains must
    not stop then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
