"""The retry budget of one service.

The bound holds for the whole fleet, whose size no process knows for sure. So each sidecar spends only a part
of what its own requests allow: the sum over all sidecars then keeps the bound. Quiet sidecars get a little
more from the slack, which is shared among the known sidecars and two more.
"""

from collections import deque

STEPS = 20  # of a window
OWN_PART = 0.5  # of what its own requests allow: they may lie in two windows of those that the rule looks at
SLACK_PART = 0.4  # of the slack, over all sidecars


class Window:
    """A count over the last `span` seconds, in steps: one step too long at most, or too short if `short`."""

    def __init__(self, span: float, short: bool = False) -> None:
        self.step = span / STEPS
        self.count: float = 0
        self.kept = STEPS - 1 if short else STEPS
        self.steps: deque[list[float]] = deque()  # [number of the step, count]

    def add(self, now: float, amount: float = 1) -> None:
        """Count `amount` at this time."""
        number = int(now / self.step)
        if self.steps and self.steps[-1][0] == number:
            self.steps[-1][1] += amount
        else:
            self.steps.append([number, amount])
        self.count += amount

    def read(self, now: float) -> float:
        """Return the count over the window that ends now."""
        oldest = int(now / self.step) - self.kept
        while self.steps and self.steps[0][0] < oldest:
            self.count -= self.steps.popleft()[1]
        return self.count


class Budget:
    """The requests and retries of one service at this sidecar."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.asked, self.spent = Window(window, short=True), Window(window)

    def request(self, now: float) -> None:
        """Count one request of a client."""
        self.asked.add(now)

    def allows(self, now: float, sidecars: int) -> bool:
        """Return whether one more retry is within the budget; `sidecars` is how many are known."""
        own = OWN_PART * self.ratio * self.asked.read(now)
        return self.spent.read(now) + 1 <= own + SLACK_PART * self.slack / (sidecars + 2)

    def spend(self, now: float, amount: float = 1) -> None:
        """Count one retry. A call of a request that ran again counts too, by how likely it is a repeat."""
        self.spent.add(now, amount)
