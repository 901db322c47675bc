"""The holder's side of a lease: when to ask for it again, and until when it may be relied on.

A lease counts from the moment at which its holder *sent* the request (C. Gray and D. Cheriton, "Leases: an
efficient fault-tolerant mechanism for distributed file cache consistency" (1989)), on the holder's clock less
an allowance for drift. So whoever grants it needs not know when its answer arrived.

`fleet_rules.lease_holder` and `singleton.lease_holder` build on this: they renew alike, and differ in what a
grant means. No I/O: time and randomness are passed in.
"""

from collections.abc import Callable

DEFAULT_DRIFT = 0.02  # share by which two clocks may run apart, before a grant says more
RETRY_SECONDS = 0.05  # before the first repetition of a request that nobody answered
MAX_RETRY_SECONDS = 2.0  # a holder that was cut off is heard again soon after the network is back
MAX_RETRY_DOUBLINGS = 6  # 0.05 s doubled so often is over the maximum: keeps the power small
RENEWALS_PER_LEASE = 3  # two requests may be lost before a lease runs out


class LeaseRenewal:
    """When the next request is due, and the arithmetic of expiry. `holder_id` is of one start of a process:
    what another start was granted is not this one's."""

    def __init__(
        self, now: float, holder_id: str, chance: Callable[[], float], drift: float = DEFAULT_DRIFT
    ) -> None:
        self.holder_id, self.chance, self.drift = holder_id, chance, drift
        self.next_request_at, self.attempts = now, 0
        self.lease_seconds = 0.0  # of the latest grant

    def wake_at(self) -> float:
        """When the next request is due."""
        return self.next_request_at

    def request_now(self, now: float) -> None:
        """Makes the next request due at once: something has changed on either side."""
        self.next_request_at, self.attempts = now, 0

    def _request_due(self, now: float) -> bool:
        """Whether a request is to be sent now; the next attempt is then due after a backoff with jitter."""
        if now < self.next_request_at:
            return False
        self.attempts += 1
        backoff = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(self.attempts, MAX_RETRY_DOUBLINGS))
        self.next_request_at = now + backoff * (0.5 + self.chance())
        return True

    def _granted(self, now: float, lease: float, drift: float) -> None:
        """A grant came: the renewal is due after about a third of it. A holder that allowed for less drift
        than the fleet's terms would rely on its lease for longer than others wait."""
        self.attempts, self.lease_seconds = 0, lease
        self.drift = max(self.drift, drift)
        self.next_request_at = now + lease / RENEWALS_PER_LEASE * (0.8 + 0.4 * self.chance())

    def _expiry(self, sent_at: float, now: float, seconds: float) -> float:
        """Until when something granted for `seconds` may be relied on, where the request was sent at
        `sent_at` and the grant came `now`."""
        return sent_at + seconds * (1 - self.drift)
