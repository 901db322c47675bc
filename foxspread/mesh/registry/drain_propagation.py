"""When a drain is acknowledged. Without I/O.

All requests for a server pass the last hop beside it, whose guard stands at the act
(`dataplane/lasthop.py`): some time after the drain was first heard it lets nothing more through, whatever any
control machine or any caller knows. So where that last hop is this process's own, a drain is acknowledged
when others know, or when they have been given their time. Keepers need not be reached: one that is cut off
can neither hold an acknowledgement up nor make it false. Where no request passes here, others have to know.
"""

from collections.abc import Collection

SPREAD_S = 0.7  # for others to learn of a drain, before the server is told that it is acknowledged


class DrainPropagation:
    """One wait. `guards`: whether the requests for the server pass this process."""

    def __init__(self, now: float, guards: bool) -> None:
        self.until, self.guards = now + SPREAD_S, guards

    def outcome(self, now: float, know: int, linked: Collection[str], replicas: int) -> bool | None:
        """True: to be acknowledged; False: not now; None: to be asked again. `know`: linked keepers that have
        told that they know it; `linked`: keepers in contact with a majority that a link stands to; `keepers`:
        how many there are."""
        if know and know >= min(len(linked), max(1, replicas // 2 + 1)):
            return True
        if now < self.until:
            return None
        return self.guards or know > 0
