"""Reading of messages whose bodies count in the body memory of the process.

What a connection holds of bodies is counted here from the first byte until it is released. A message that is
complete belongs to whoever handles it: the reader keeps no reference, or the body of the last message would
stay in memory, uncounted, for as long as its connection is idle.
"""

from foxspread.mesh.dataplane.body_memory import BodyMemory
from foxspread.net import http


class CountedReader(http.MessageReader):
    """Reads messages whole; a mixin for the readers of requests and of responses."""

    no_memory_status, no_memory_reason = 503, "no memory for this body now"

    def __init__(self, memory: BodyMemory) -> None:
        super().__init__()
        self.memory = memory
        self.held_bytes = 0  # of bodies that were read and are not released

    def on_body(self, part: bytes) -> None:
        """Keeps a part of a body; raises BadMessage if there is no memory for it."""
        if not self.memory.reserve(len(part)):
            raise http.BadMessage(self.no_memory_status, self.no_memory_reason)
        self.held_bytes += len(part)
        super().on_body(part)

    def on_message_complete(self) -> None:
        """Hands over a message that is complete."""
        super().on_message_complete()
        self.message = http.Message()

    def release(self, size: int) -> None:
        """Gives back that many of the held bytes."""
        self.held_bytes -= size
        self.memory.adjust(-size)

    def close(self) -> None:
        """Gives back all, and drops what was read: reader and parser refer to each other, so only the garbage
        collector would free it."""
        self.release(self.held_bytes)
        self.message, self.in_message = http.Message(), False
        self.ready.clear()
