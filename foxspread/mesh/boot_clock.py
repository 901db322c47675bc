"""The clock of a process of the mesh."""

import time


def boot_clock() -> float:
    """Seconds since the machine started. Unlike the event loop's clock it goes on while the machine is
    suspended: ages, leases and drains must not stand still with it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
