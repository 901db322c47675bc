"""The budget of further tries is the fleet's, and nobody knows the fleet's size for sure. So each sidecar
spends only a part of what its own requests allow: the sums of parts can't pass the part of the sum. A
little more is there for quiet ones, out of the slack, shared among as many as are known and some more.
"""

from collections import deque

STEPS = 20  # of a window
OWN_PART = 0.5  # of what its own requests allow: they may lie in two windows of those that the rule looks at
SLACK_PART = 0.4  # of the slack, over all sidecars


class Window:
    """A count over the last `span` seconds, in steps: at most one step too long, or too `short`."""

    def __init__(self, span: float, short: bool = False) -> None:
        self.step, self.count = span / STEPS, 0
        self.kept = STEPS - 1 if short else STEPS
        self.steps: deque[list] = deque()  # [number of the step, count]

    def add(self, now: float, amount: float = 1) -> None:
        number = int(now / self.step)
        if self.steps and self.steps[-1][0] == number:
            self.steps[-1][1] += amount
        else:
            self.steps.append([number, amount])
        self.count += amount

    def read(self, now: float) -> float:
        oldest = int(now / self.step) - self.kept
        while self.steps and self.steps[0][0] < oldest:
            self.count -= self.steps.popleft()[1]
        return self.count


class Budget:
    """Of one service."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack = ratio, slack
        self.asked, self.spent = Window(window, short=True), Window(window)

    def request(self, now: float) -> None:
        self.asked.add(now)

    def allows(self, now: float, sidecars: int) -> bool:
        own = OWN_PART * self.ratio * self.asked.read(now)
        return self.spent.read(now) + 1 <= own + SLACK_PART * self.slack / (sidecars + 2)

    def spend(self, now: float, amount: float = 1) -> None:
        """Also what nobody was asked for: a call of a repeated run, which as a whole or as likely as that it
        is one counts as a repeat."""
        self.spent.add(now, amount)
