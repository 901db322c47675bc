"""The retry budget of one service at one sidecar.

The bound holds for the whole fleet, whose size no process knows for sure. So each sidecar spends only a
fraction of what its own requests allow: the sum over all sidecars then keeps the bound. Sidecars with few
requests get a little more from the slack, which is shared among the known sidecars and two more.
"""

from collections import deque

STEPS_PER_WINDOW = 20
# Of what a sidecar's own requests allow: they may lie in two of the windows in which the bound is checked.
OWN_FRACTION = 0.5
SLACK_FRACTION = 0.4  # of the slack, over all sidecars


class SlidingWindow:
    """Counts over the last `span_s` seconds, in steps.

    The count reaches back up to one step too far, or up to one step too little if `short`.
    """

    def __init__(self, span_s: float, short: bool = False) -> None:
        self.step_s = span_s / STEPS_PER_WINDOW
        self.count: float = 0
        self.kept_steps = STEPS_PER_WINDOW - 1 if short else STEPS_PER_WINDOW
        self.steps: deque[list[float]] = deque()  # [number of the step, count]

    def add(self, now: float, amount: float = 1) -> None:
        """Counts `amount` at this time."""
        number = int(now / self.step_s)
        if self.steps and self.steps[-1][0] == number:
            self.steps[-1][1] += amount
        else:
            self.steps.append([number, amount])
        self.count += amount

    def read(self, now: float) -> float:
        """Returns the count over the window that ends now."""
        oldest = int(now / self.step_s) - self.kept_steps
        while self.steps and self.steps[0][0] < oldest:
            self.count -= self.steps.popleft()[1]
        return self.count


class RetryBudget:
    """The requests and retries of one service at this sidecar."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.requests, self.retries = SlidingWindow(window_s, short=True), SlidingWindow(window_s)

    def add_request(self, now: float) -> None:
        """Counts one request of a client."""
        self.requests.add(now)

    def allows(self, now: float, sidecars: int) -> bool:
        """Returns whether one more retry is within the budget; `sidecars` is how many are known."""
        own = OWN_FRACTION * self.ratio * self.requests.read(now)
        return self.retries.read(now) + 1 <= own + SLACK_FRACTION * self.slack / (sidecars + 2)

    def spend(self, now: float, amount: float = 1) -> None:
        """Counts one retry, or a call that a repeated request may have caused, by its probability."""
        self.retries.add(now, amount)
