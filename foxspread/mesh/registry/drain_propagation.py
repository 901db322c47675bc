"""Decides when the drain of a server is acknowledged to the server.

All requests for a server pass through the sidecar beside it, which admits or rejects each request as it
arrives (`dataplane/instance_guard.py`): some time after the first heartbeat that reports the drain, it
rejects all of them, whatever replicas and callers know. So if this process is that sidecar, a drain is
acknowledged when other processes know of it, or after a timeout. Replicas need not be reachable: a
partitioned one can neither delay an acknowledgement nor make it false. If no requests pass through this
process, others have to know of the drain. This module does no I/O.
"""

from collections.abc import Collection
from enum import Enum, auto

PROPAGATION_TIMEOUT_S = 0.7  # time for others to learn of a drain; the server's call times out after 1 s


class DrainOutcome(Enum):
    """State of a drain that waits for its acknowledgement."""

    WAITING = auto()  # undecided
    ACKNOWLEDGED = auto()
    NOT_ACKNOWLEDGED = auto()  # the server has to report the drain again


class DrainPropagation:
    """One drain that other processes learn of, from `now` (seconds) on.

    `guards_requests` tells whether all requests for the server pass through this process.
    """

    def __init__(self, now: float, guards_requests: bool) -> None:
        self.deadline, self.guards_requests = now + PROPAGATION_TIMEOUT_S, guards_requests

    def outcome(self, now: float, informed: int, connected: Collection[str], replicas: int) -> DrainOutcome:
        """Returns the state of the drain at the time `now`.

        `informed` is the number of connected replicas that have confirmed the drain, `connected` the replicas
        that are connected to this process and in contact with a majority, `replicas` the number of all
        replicas.
        """
        majority = max(1, replicas // 2 + 1)
        if informed and informed >= min(len(connected), majority):
            return DrainOutcome.ACKNOWLEDGED
        if now < self.deadline:
            return DrainOutcome.WAITING
        if self.guards_requests or informed:
            return DrainOutcome.ACKNOWLEDGED
        return DrainOutcome.NOT_ACKNOWLEDGED
