"""The time that a client's retry has already used up. Decides nothing.

A rejected client retries under a new id, and its answer is wanted by the time that counts from its first
request (docs/incidents/2026-12-fleet.md). So where retries share one time limit, a later one has less time
left.
"""

from foxspread.model import Category
from foxspread.statistics import DecayingMean


class ClientRetries:
    """The mean time limits of first requests."""

    def __init__(self, categories: list[Category]) -> None:
        # Seconds left to first requests, by category.
        self.first_time_left = {c.name: DecayingMean(30.0, 0.0) for c in categories}

    def time_spent(self, now: float, category: str, time_left: float, again: bool) -> float:
        """Returns the estimated seconds since the client's first request; `again`: this is a retry. 0 where
        each retry has a time limit of its own, and until a first request of the category has come."""
        first = self.first_time_left[category]
        if not again:
            first.add(now, time_left)
            return 0.0
        total, count = first.totals(now)
        return max(0.0, total / count - time_left) if count > 0 else 0.0
