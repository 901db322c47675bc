"""Bounds the bytes of bodies that one process holds, over all its connections together.

Counted are requests that are being read or are in progress, and responses that are being read, wait for their
turn or have not been taken by the peer. A body may be in memory up to `MAX_COPIES_PER_BODY` times: as it was
read, joined for writing, in the buffer of a transport, and for a second server. So the bound is that much
smaller than the memory.
"""

MAX_COPIES_PER_BODY = 4
MEMORY_FRACTION = 1 / 6  # of the machine's memory


class BodyMemory:
    """Counts the bytes that are held, up to `max_bytes`.

    Each connection gives back what it has reserved, in whichever way it ends.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.held_bytes = max_bytes, 0

    def reserve(self, size: int) -> bool:
        """Returns False, and reserves nothing, where `size` more bytes would exceed the bound."""
        if self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    def adjust(self, size: int) -> None:
        """Adds `size`, which may be negative, for bytes that are held already and can't be rejected."""
        self.held_bytes += size


def body_memory_for(memory_mb: float) -> BodyMemory:
    """Returns the bound for a process on a machine with that much memory."""
    return BodyMemory(int(memory_mb * 1024 * 1024 * MEMORY_FRACTION))
