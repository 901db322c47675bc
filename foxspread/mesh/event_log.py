"""What has happened in this process, in order, and the views that are derived from it.

State that several parts look at is never set by them: an event is appended, and each subscribed view folds
it in (event sourcing). The newest events stay readable for a debugger; older ones are dropped, since the
views hold all that matters.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

TAIL_LENGTH = 512  # events that stay readable: some minutes of a quiet process


class EventKind(StrEnum):
    """What may happen, and the type of the event's body."""

    ITEMS_COMMITTED = "items_committed"  # a list of `Item`: what has come into force here
    RECORD_UPDATED = "record_updated"  # the name of the node whose endpoint record is newer


@dataclass(frozen=True, slots=True)
class Event:
    """One event; `at` in seconds by the clock of the log."""

    number: int
    at: float
    kind: EventKind
    body: Any  # its type follows from the kind


EventHandler = Callable[[Event], None]


class EventLog:
    """An ordered log of events in memory, which hands each event to the views subscribed to its kind."""

    def __init__(self, clock: Callable[[], float], tail_length: int = TAIL_LENGTH) -> None:
        self.clock, self.count = clock, 0
        self.tail: deque[Event] = deque(maxlen=tail_length)
        self._handlers: dict[EventKind, list[EventHandler]] = defaultdict(list)
        self._pending: deque[Event] | None = None  # None: no event is being handed out

    def subscribe(self, kind: EventKind, handler: EventHandler) -> None:
        """Every later event of that kind goes to the handler, after those subscribed before it."""
        self._handlers[kind].append(handler)

    def append(self, kind: EventKind, body: Any = None) -> None:
        """Hands the event to all views before it returns.

        What a handler appends meanwhile is handed out after the event under way, so that all views see one
        order.
        """
        self.count += 1
        event = Event(self.count, self.clock(), kind, body)
        self.tail.append(event)
        if self._pending is not None:
            self._pending.append(event)
            return
        self._pending = deque([event])
        try:
            while self._pending:
                self._hand_out(self._pending.popleft())
        finally:
            self._pending = None

    def _hand_out(self, event: Event) -> None:
        for handler in self._handlers[event.kind]:
            handler(event)
