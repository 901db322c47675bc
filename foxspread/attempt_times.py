"""Measured times and numbers of attempts. Decides nothing."""

import math

from foxspread.model import Attempt, Category
from foxspread.statistics import DecayingMean, DecayingSum, LowQuantile


class AttemptTimes:
    """Measurements by category, server, zone and kind of server."""

    def __init__(self, now: float, categories: list[Category], rate_window: float) -> None:
        self.rate_window = rate_window
        self.mean_expected_time = sum(c.expected_time for c in categories) / max(1, len(categories))
        # By category: the means of an attempt's time and of its square.
        self.time_moments = {
            c.name: (DecayingMean(20.0, c.expected_time / 4), DecayingMean(20.0, c.expected_time**2 / 12))
            for c in categories
        }
        # By server, "" for all: a count of the completed attempts, and when it began.
        self.completions = {"": (DecayingSum(rate_window), now)}
        # By server and zone: an attempt's time by the category's mean; "": over all, by the expected time.
        self.slowness = {"": DecayingMean(3.0, 0.2)}
        self.idle_time_quantile = LowQuantile(0.2)  # what an idle server takes, by the expected time
        # By server: when the latest attempt that it has answered was sent.
        self.latest_answered_sent_at: dict[str, float] = {}
        self.kind_turn_share: dict[str, float] = {}  # the part of a turn that a kind of server gets
        self.answer_counts: dict[str, int] = {}  # by kind

    def add_server(self, now: float, server: str, zone: str) -> None:
        """Resets the measurements of a server that is new or has restarted."""
        self.completions[server] = (DecayingSum(self.rate_window), now)
        self.slowness[server] = DecayingMean(12.0, max_count=12.0)
        self.slowness.setdefault(zone, DecayingMean(8.0))

    def is_overtaken(self, attempt: Attempt) -> bool:
        """Returns whether the server has answered an attempt that was sent later."""
        return attempt.sent_at < self.latest_answered_sent_at.get(attempt.server, -math.inf)

    def mean_time(self, now: float, category: Category) -> float:
        """Returns the mean time of an attempt."""
        return self.time_moments[category.name][0].read(now)
