"""An ordered log of the events of this process, and the subscription of views to them.

Parts of the process do not set shared state directly: they append an event, and each subscribed view updates
itself from it (event sourcing). The views hold all state that is needed: of the newest events only summaries
are kept, for debugging, whatever the size of their bodies.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

TAIL_LENGTH = 512  # summaries kept for debugging: a few minutes of a quiet process
MAX_SUMMARY_CHARACTERS = 120


class EventKind(StrEnum):
    """Kind of an event; the comments give the type of its body."""

    ITEMS_COMMITTED = "items_committed"  # list of `Item`: the items that came into force in this process
    RECORD_UPDATED = "record_updated"  # str: the node whose endpoint record was updated


@dataclass(frozen=True, slots=True)
class Event:
    """One event; `at` is its time in seconds on the clock of the log."""

    number: int
    at: float
    kind: EventKind
    body: Any  # of the type that `EventKind` gives


@dataclass(frozen=True, slots=True)
class EventSummary:
    """What is kept of an event after it has been dispatched; `at` is in seconds on the clock of the log."""

    number: int
    at: float
    kind: EventKind
    body: str  # number of items or name of the node, shortened to `MAX_SUMMARY_CHARACTERS`


EventHandler = Callable[[Event], None]


def _summary(event: Event) -> EventSummary:
    body = f"{len(event.body)} items" if isinstance(event.body, list) else str(event.body)
    return EventSummary(event.number, event.at, event.kind, body[:MAX_SUMMARY_CHARACTERS])


class EventLog:
    """Ordered log of events in memory that passes each event to the views subscribed to its kind."""

    def __init__(self, clock: Callable[[], float], tail_length: int = TAIL_LENGTH) -> None:
        self.clock, self.count = clock, 0
        self.tail: deque[EventSummary] = deque(maxlen=tail_length)
        self._handlers: dict[EventKind, list[EventHandler]] = defaultdict(list)
        self._pending: deque[Event] | None = None  # None: no event is being dispatched

    def subscribe(self, kind: EventKind, handler: EventHandler) -> None:
        """Passes every later event of this kind to the handler, after the handlers subscribed before it."""
        self._handlers[kind].append(handler)

    def append(self, kind: EventKind, body: Any = None) -> None:
        """Appends an event and passes it to all views before it returns.

        An event that a handler appends is dispatched after the current one, so that all views see the same
        order.
        """
        self.count += 1
        event = Event(self.count, self.clock(), kind, body)
        self.tail.append(_summary(event))
        if self._pending is not None:
            self._pending.append(event)
            return
        self._pending = deque([event])
        try:
            while self._pending:
                self._dispatch(self._pending.popleft())
        finally:
            self._pending = None

    def _dispatch(self, event: Event) -> None:
        for handler in self._handlers[event.kind]:
            handler(event)
