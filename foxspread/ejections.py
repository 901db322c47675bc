"""The servers that are ejected, and the failures of each. Decides nothing.

What is ejected is a server, or a server for one category (a pair): some servers serve one category and leave
another unanswered. Ids may be anything hashable; where they are plain tuples themselves, `pairs` has to be
off.
"""

from collections import defaultdict
from collections.abc import Hashable, Iterable

from foxspread.model import EjectionState
from foxspread.statistics import BoundedDict, DecayingMean

Target = Hashable  # a server, or (server, category)


class Ejections:
    """The state of each target, and the targets that are ejected."""

    def __init__(self, pairs: bool) -> None:
        self.pairs = pairs
        self.states: dict[Target, EjectionState] = {}
        self.ejected: set[Target] = set()
        self.failure_rate = DecayingMean(10.0, 0.0)  # over all servers
        # By category: the failure rates of the targets with the latest outcomes.
        self.recent: dict[str, BoundedDict] = defaultdict(lambda: BoundedDict(64))

    def add_server(self, server: Hashable, categories: Iterable[str] = ()) -> None:
        """Resets the state of a server that is new or has restarted."""
        for target in (server, *((server, category) for category in categories)):
            self.ejected.discard(target)
            self.states.pop(target, None)  # a pair gets its state with its first outcome: most never have one
        self.states[server] = EjectionState()

    def category(self, target: Target) -> str:
        """Returns the category of a pair, "" for a server."""
        return target[1] if self.pairs and type(target) is tuple else ""

    def is_ejected(self, target: Target) -> bool:
        """Returns whether the target is ejected."""
        return target in self.ejected

    def trial_due(self, now: float, target: Target) -> bool:
        """Returns whether an ejected target is to get a trial request."""
        if target not in self.ejected:
            return False
        return now >= self.states[target].ejected_until and not self.states[target].trial_in_flight
