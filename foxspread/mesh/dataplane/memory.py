"""How many bytes of bodies this process holds, over all connections together: requests that are read or under
way, answers that are read, wait for their turn or are not taken. What is held may stand in memory up to
`COPIES` times (as it was read, joined for writing, in the buffer of a transport, for a second server), so
the share of all is that much less than the memory.
"""

COPIES = 4
SHARE = 1 / 6  # of the machine's memory


class Share:
    """`most`: bytes. What one side takes it gives back, whichever way its connection ends."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, size: int) -> bool:
        """False where there is no room; nothing is taken then."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def move(self, size: int) -> None:
        """What is held changes by so much: it is there already, and can't be refused any more."""
        self.held += size


def share(memory_mb: float) -> Share:
    return Share(int(memory_mb * 1024 * 1024 * SHARE))
