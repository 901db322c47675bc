"""Which runs the server beside this sidecar has in hand, and which of them are repeats: the calls that it
makes inside a repeat count as repeats too, at the service that they call (RULES, BUDGET). Pure.

A call names the run that makes it where its id begins with the id of that run and a dot. Where no call has
ever done so, nobody can tell a server's calls from those of clients here, and each counts by the share of
repeats among what the server has in hand.
"""

AFTER_S = 1.0  # beyond its deadline, a run makes no more calls
SWEEP_S = 2.0


class Runs:
    """The runs of one server, by the ids of their requests."""

    def __init__(self) -> None:
        self.of: dict[bytes, tuple[bool, float]] = {}  # id of the request: a repeat, and until when it calls
        self.out: dict[bytes, bool] = {}  # those that are not answered
        self.named = False  # a call has named its run
        self.swept_at = 0.0

    def begun(self, now: float, id: bytes, again: bool, until: float) -> None:
        """A run begins; `again`: it is a repeat; `until`: its deadline."""
        if now - self.swept_at > SWEEP_S:
            self.of = {run: kept for run, kept in self.of.items() if now <= kept[1] + AFTER_S}
            self.swept_at = now
        old = self.of.get(id, (False, until))
        self.of[id] = again or old[0], max(until, old[1])
        self.out[id] = again

    def ended(self, id: bytes) -> None:
        """Answered, or not waited for any more: the server may work on, and call, until its deadline."""
        self.out.pop(id, None)

    def part(self, id: bytes) -> float:
        """Of a call with that id: 1 where a repeat has made it, 0 where none has, else how likely that is."""
        run = id
        while run:
            run = run.rpartition(b".")[0]
            if run in self.of:
                self.named = True
                return float(self.of[run][0])
        return 0.0 if self.named or not self.out else sum(self.out.values()) / len(self.out)
