"""What has happened in this process, in order. State that several parts look at is never set: an event is
appended, and each view folds it in. The tail stays to be looked at by staff; what is older is dropped, for
views hold all that matters.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Event:
    number: int
    at: float  # seconds, by the clock handed in
    kind: str
    body: Any


class EventLog:
    def __init__(self, clock: Callable[[], float], kept: int = 512) -> None:
        self.clock, self.count = clock, 0
        self.tail: deque[Event] = deque(maxlen=kept)
        self.views: dict[str, list[Callable[[Event], None]]] = defaultdict(list)
        self.folding: deque[Event] | None = None

    def view(self, kind: str, fold: Callable[[Event], None]) -> None:
        self.views[kind].append(fold)

    def append(self, kind: str, body: Any = None) -> None:
        """Folded into every view before it returns; what a view appends meanwhile follows after, in order."""
        self.count += 1
        event = Event(self.count, self.clock(), kind, body)
        self.tail.append(event)
        if self.folding is not None:
            self.folding.append(event)
            return
        self.folding = deque([event])
        try:
            while self.folding:
                event = self.folding.popleft()
                for fold in self.views[event.kind]:
                    fold(event)
        finally:
            self.folding = None
