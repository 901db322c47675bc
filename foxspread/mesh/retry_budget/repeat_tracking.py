"""Tracks which requests the server beside this sidecar is running, and which of them are repeats.

The calls that a server makes while it runs a repeat count as repeats too, at the service that they go to
(RULES, BUDGET). A call names the request that caused it: its id begins with the id of that request and a dot.
Where no call has ever done so, a server's calls can't be told from those of clients on this machine, and each
one counts by the share of repeats among the server's requests in progress. No I/O.
"""

CALLS_END_S = 1.0  # after its deadline, a request causes no more calls
SWEEP_S = 2.0


class RepeatTracker:
    """The requests that one server runs, by their ids."""

    def __init__(self) -> None:
        self.known: dict[bytes, tuple[bool, float]] = {}  # by request id: a repeat, deadline
        self.in_progress: dict[bytes, bool] = {}  # by request id: a repeat; those that are not answered
        self.calls_name_cause = False  # a call has named the request that caused it
        self.swept_at = 0.0

    def begin(self, now: float, id: bytes, is_repeat: bool, deadline: float) -> None:
        """Counts a request that the server begins to run."""
        if now - self.swept_at > SWEEP_S:
            self.known = {each: entry for each, entry in self.known.items() if now <= entry[1] + CALLS_END_S}
            self.swept_at = now
        old = self.known.get(id, (False, deadline))
        self.known[id] = is_repeat or old[0], max(deadline, old[1])
        self.in_progress[id] = is_repeat

    def end(self, id: bytes) -> None:
        """Counts a request as answered or given up; the server may make calls for it until its deadline."""
        self.in_progress.pop(id, None)

    def repeat_probability(self, id: bytes) -> float:
        """Returns how likely a repeat has caused the call with that id: 0 and 1 where it is known."""
        cause = id
        while cause:
            cause = cause.rpartition(b".")[0]
            if cause in self.known:
                self.calls_name_cause = True
                return float(self.known[cause][0])
        if self.calls_name_cause or not self.in_progress:
            return 0.0
        return sum(self.in_progress.values()) / len(self.in_progress)
