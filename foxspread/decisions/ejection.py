"""Outlier detection: NGINX's max_fails and fail_timeout, trial requests, and Envoy's panic threshold."""

from collections import Counter
from collections.abc import Container, Hashable

from foxspread.ejections import Ejections, Target
from foxspread.model import EjectionState
from foxspread.statistics import BoundedDict, DecayingMean


class OutlierDetection(Ejections):
    """Ejects servers that fail far more often than others, and readmits them after successful trials."""

    def __init__(self, max_failures: int = 3, failure_window: float = 10.0, ejection_time: float = 4.0,
                 trial_successes: int = 2, panic_threshold: float = 0.4, pairs: bool = True) -> None:
        super().__init__(pairs)
        self.max_failures, self.failure_window = max_failures, failure_window
        self.ejection_time, self.trial_successes = ejection_time, trial_successes
        self.panic_threshold = panic_threshold

    def in_panic(self, ready: set[Hashable]) -> bool:
        """Returns whether so many servers are ejected that all ejections are to be ignored."""
        return len(ready) - sum(s in ready for s in self.ejected) < self.panic_threshold * len(ready)

    def panicking_categories(self, healthy: Container[Hashable], size: int) -> set[str]:
        """Returns the categories for which too many of these `size` servers are ejected."""
        ejected = Counter(self.category(t) for t in self.ejected if self.category(t) and t[0] in healthy)
        return {category for category, count in ejected.items() if size - count < self.panic_threshold * size}

    def record(self, now: float, target: Target, failure: bool | None, trial: bool, weight: int = 1) -> None:
        """Records an outcome; `failure`: None if it says nothing of the server, as when it is overloaded."""
        state = self.states.get(target) or self.states.setdefault(target, EjectionState())
        if trial and target in self.ejected:
            self._trial_ended(now, target, state, failure)
        if trial or failure is None or target in self.ejected:
            return
        if not (category := self.category(target)):
            self.failure_rate.add(now, float(failure))
        (recent := self.recent[category]).put(target, state.failure_rate)
        many = state.record(now, failure, weight, self.failure_window) >= self.max_failures
        # Failed connections are the server's own fault: it is ejected even while many others fail too.
        unreachable = weight > 1 and state.consecutive_failures >= 2 * self.max_failures
        if many and (unreachable or self._is_outlier(now, target, recent)):
            self._eject(now, target, state)

    def _eject(self, now: float, target: Target, state: EjectionState) -> None:
        # So that trials take one request of fifty at the most.
        trial_interval = 500.0 * (1 + len(self.ejected)) / max(1.0, self.failure_rate.totals(now)[1])
        base = max(self.ejection_time / 8, min(self.ejection_time, trial_interval))
        flapping = now - state.readmitted_at < 3 * self.failure_window   # ejected for longer each time
        state.ejection_time = min(state.ejection_time * 2, 4 * base) if flapping else base
        state.ejected_until, state.trial_successes = now + state.ejection_time, 0
        self.ejected.add(target)

    def _is_outlier(self, now: float, target: Target, recent: BoundedDict) -> bool:
        """Compares with the better half of the rest: failures due to the requests hit all servers alike."""
        failed, ended = recent[target].totals(now)
        others = [each for key, each in recent.items() if key != target]
        others_failed, others_ended = DecayingMean.better_half(now, others)
        return failed / ended > min(0.9, 0.15 + 2 * (others_failed + 0.1) / (others_ended + 1.0))

    def _trial_ended(self, now: float, target: Target, state: EjectionState, failure: bool | None) -> None:
        state.trial_in_flight = False
        state.trial_successes = state.trial_successes + 1 if failure is False else 0
        if state.trial_successes >= self.trial_successes:
            self.ejected.discard(target)
            self.states[target] = EjectionState(ejection_time=state.ejection_time, readmitted_at=now)
        elif not state.trial_successes:   # also after None, or each request would be a trial of a hung one
            state.ejected_until = now + state.ejection_time
