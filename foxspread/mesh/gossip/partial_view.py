"""A small random sample of the fleet, maintained by gossip.

Each process holds a partial view of a few neighbours, whatever the size of the fleet, and shuffles part of it
with one of them at a time, so that views stay random and processes that have ended are dropped. The protocol
is Cyclon (Voulgaris, Gavidia, van Steen 2005); the term partial view is HyParView's (Leitão et al. 2007).

This module does no I/O: methods take received messages and return the messages to send.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from foxspread.mesh.settings import Address
from foxspread.mesh.transport.messages import Neighbour, ShuffleRequest, ShuffleResponse

__all__ = ["Neighbour", "PartialView", "MAX_ENTRIES", "MAX_AGE_SHUFFLES"]

MAX_ENTRIES = 10
SHUFFLE_SIZE = 4  # entries in one message, including the sender's own
SHUFFLE_INTERVAL_S = 1.5  # mean; jitter of a quarter either way
UNANSWERED_PENALTY_SHUFFLES = 4  # added to the age of a neighbour until it answers
MAX_AGE_SHUFFLES = 12  # an entry of that age is dropped


class PartialView:
    """The neighbours that this process knows. `draw` returns random numbers in [0, 1)."""

    def __init__(self, own: Neighbour, draw: Callable[[], float]) -> None:
        self.own, self.draw = own, draw
        self.entries: dict[str, Neighbour] = {}  # by node
        self.next_shuffle_at = 0.0
        self.offered: dict[str, list[str]] = {}  # by node asked: the nodes sent to it, to be replaced

    def refresh(self, neighbour: Neighbour) -> None:
        """Adds or renews the entry of a process that has introduced itself over a connection."""
        if neighbour.node != self.own.node:
            self._merge([replace(neighbour, age=0)], [])

    def shuffle(self, now: float) -> tuple[Address, ShuffleRequest] | None:
        """Returns the next shuffle request and its destination; None if it is not due or the view is empty.

        The request goes to the neighbour with the oldest entry. A neighbour that leaves several requests
        unanswered is dropped, except the last one: lost datagrams must not isolate a process.
        """
        if now < self.next_shuffle_at:
            return None
        self.next_shuffle_at = now + SHUFFLE_INTERVAL_S * (0.75 + 0.5 * self.draw())
        self._drop_expired()
        self.entries = {node: replace(each, age=each.age + 1) for node, each in self.entries.items()}
        if not self.entries:
            return None
        oldest = max(self.entries.values(), key=lambda each: (each.age, each.node))
        self.entries[oldest.node] = replace(oldest, age=oldest.age + UNANSWERED_PENALTY_SHUFFLES)
        others = [each for each in self.entries.values() if each.node != oldest.node]
        sample = self._sample(others, SHUFFLE_SIZE - 1)
        self.offered = {oldest.node: [each.node for each in sample]}
        return oldest.address, ShuffleRequest(self.own.node, (self.own, *sample))

    def receive_request(self, request: ShuffleRequest) -> ShuffleResponse:
        """Merges the entries of another process's request; returns the response to send."""
        sample = self._sample(list(self.entries.values()), SHUFFLE_SIZE)
        self._merge(request.neighbours, [each.node for each in sample])
        return ShuffleResponse(self.own.node, (self.own, *sample))

    def receive_response(self, response: ShuffleResponse) -> None:
        """Merges the response to a request of this process."""
        self._merge(response.neighbours, self.offered.pop(response.node, []))

    def sample_sidecars(self, count: int) -> list[Neighbour]:
        """Returns random neighbours without storage, the fallback while no replica can be reached."""
        return self._sample([each for each in self.entries.values() if not each.has_storage], count)

    def _drop_expired(self) -> None:
        for each in sorted(self.entries.values(), key=lambda each: (-each.age, each.node)):
            if each.age >= MAX_AGE_SHUFFLES and len(self.entries) > 1:
                del self.entries[each.node]

    def _sample(self, candidates: list[Neighbour], count: int) -> list[Neighbour]:
        candidates.sort(key=lambda each: each.node)
        chosen: list[Neighbour] = []
        while candidates and len(chosen) < count:
            chosen.append(candidates.pop(int(self.draw() * len(candidates))))
        return chosen

    def _merge(self, received: Iterable[Neighbour], replaceable: list[str]) -> None:
        """Merges received entries; of two entries for one process the younger is kept.

        In a full view new entries take the places of the replaceable ones, which were sent in exchange.
        """
        for each in received:
            if each.node == self.own.node:
                continue
            current = self.entries.get(each.node)
            if current is None:
                self._insert(each, replaceable)
            elif each.age < current.age or each.address != current.address and each.age == current.age:
                self.entries[each.node] = each

    def _insert(self, new: Neighbour, replaceable: list[str]) -> None:
        while len(self.entries) >= MAX_ENTRIES and replaceable:
            self.entries.pop(replaceable.pop(0), None)
        if len(self.entries) >= MAX_ENTRIES:
            oldest = max(self.entries.values(), key=lambda each: (each.age, each.node))
            if oldest.age <= new.age:
                return
            del self.entries[oldest.node]
        self.entries[new.node] = new
