"""The holder's side of a lease: when to renew it, and when it expires.

A lease counts from the moment at which its holder *sent* the request (C. Gray and D. Cheriton, "Leases: an
efficient fault-tolerant mechanism for distributed file cache consistency" (1989)), on the holder's clock,
less an allowance for clock drift. So whoever grants it need not know when the answer arrived.

`fleet_rules.lease_holder` and `singleton.lease_holder` build on this: they renew in the same way, and differ
in what a grant means. No I/O: time and randomness are passed in.
"""

from collections.abc import Callable

DEFAULT_DRIFT = 0.02  # relative drift between two clocks, until a grant states a larger one
RETRY_SECONDS = 0.05  # before the first retry of an unanswered request
MAX_RETRY_SECONDS = 2.0  # short, so that a holder renews soon after a partition heals
MAX_RETRY_DOUBLINGS = 6  # enough to exceed the maximum; bounds the power of two
RENEWALS_PER_LEASE = 3  # two requests may be lost before a lease expires


class LeaseRenewal:
    """Schedules the requests of a lease and computes its expiry. `holder_id` names one start of a process: a
    grant to an earlier start does not count for this one."""

    def __init__(
        self, now: float, holder_id: str, chance: Callable[[], float], drift: float = DEFAULT_DRIFT
    ) -> None:
        self.holder_id, self.chance, self.drift = holder_id, chance, drift
        self.next_request_at, self.attempts = now, 0
        self.lease_seconds = 0.0  # of the latest grant

    def wake_at(self) -> float:
        """Returns when the next request is due."""
        return self.next_request_at

    def request_now(self, now: float) -> None:
        """Makes the next request due at once, as something has changed on either side."""
        self.next_request_at, self.attempts = now, 0

    def _request_due(self, now: float) -> bool:
        """Returns whether to send a request now; the next one is then due after a backoff with jitter."""
        if now < self.next_request_at:
            return False
        self.attempts += 1
        backoff = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self.attempts, MAX_RETRY_DOUBLINGS))
        self.next_request_at = now + backoff * (0.5 + self.chance())
        return True

    def _granted(self, now: float, lease: float, drift: float) -> None:
        """Schedules the renewal for about a third of the granted lease. The fleet's drift is taken over: a
        holder that allowed for less would rely on its lease for longer than others wait for its expiry."""
        self.attempts, self.lease_seconds = 0, lease
        self.drift = max(self.drift, drift)
        self.next_request_at = now + lease / RENEWALS_PER_LEASE * (0.8 + 0.4 * self.chance())

    def _expiry(self, sent_at: float, now: float, seconds: float) -> float:
        """Returns the expiry of a grant for `seconds` that came `now`; its request was sent at `sent_at`."""
        return sent_at + seconds * (1 - self.drift)
