"""The order in which a process shuts down, so that no request is lost.

First the platform and the peers stop sending requests here, then the requests already read are answered, then
the process exits, all within the grace period that the platform gives. This module does no I/O: it holds the
phases and their times, and the caller passes in the state that they depend on and the actions that they take.
"""

import enum
from collections.abc import Callable
from typing import Protocol

ANNOUNCED_S = 2.3  # after two failed readiness probes, the platform no longer sends callers
ANNOUNCED_SHARE = 0.4  # upper limit of that time, as a share of the grace period
CALLERS_RETURN_S = 1.5  # after a sidecar starts, the platform sends callers to it within this time
RESERVED_FOR_DRAINING_S = 1.7  # part of the grace period that is kept for requests in progress
POLL_S = 0.1
KEEP_ALIVE_END_SIDECAR_S = 0.1  # shorter than for a replica, since callers have already moved away
KEEP_ALIVE_END_REPLICA_S = 0.3
DRAINING_POLL_S = 0.02
RESERVED_FOR_EXIT_S = 0.5  # part of the grace period that is kept for exiting


class Phase(enum.Enum):
    """Phases of a shutdown, in order."""

    ANNOUNCED = "announced"  # the endpoint record reports that the process is leaving
    # Waits until other sidecars of the zone can take the callers. Callers that come now come without the
    # platform's direction, so a request that may outlast the process is rejected.
    AWAITING_PEERS = "awaiting_peers"
    LEAVING_MEMBERSHIP = "leaving_membership"  # waits until the members no longer need the replica
    DISABLING_KEEP_ALIVE = "disabling_keep_alive"  # responses announce that their connections will be closed
    DRAINING = "draining"  # listeners are closed; requests in progress are answered
    ENDED = "ended"


class Endpoints(Protocol):
    """Operations on the endpoints of the process that a shutdown needs."""

    def reject_requests_beyond(self, exit_at: float) -> None:
        """Rejects each further request that may still be in progress at that time."""

    def disable_keep_alive(self) -> None:
        """Marks each further response as the last one of its connection."""

    def close_listeners(self) -> None:
        """Stops accepting connections and closes those without a request in progress."""

    def has_requests_in_progress(self) -> bool:
        """Returns whether any request is being read, or has not been answered yet."""


class Shutdown:
    """One shutdown, which starts at `now` (seconds); the platform kills the process `grace_s` seconds later.

    `callers_have_alternatives(now, up_for_s)` returns whether enough other sidecars of the zone have been up
    for `up_for_s` seconds, `may_leave_membership(now)` whether the members no longer need this process.
    """

    def __init__(
        self,
        now: float,
        grace_s: float,
        is_sidecar: bool,
        endpoints: Endpoints,
        callers_have_alternatives: Callable[[float, float], bool],
        may_leave_membership: Callable[[float], bool],
    ) -> None:
        self.started_at, self.grace_s, self.is_sidecar, self.endpoints = now, grace_s, is_sidecar, endpoints
        self.callers_have_alternatives = callers_have_alternatives
        self.may_leave_membership = may_leave_membership
        self.exit_at = now + grace_s - RESERVED_FOR_EXIT_S  # at the latest
        self.phase = Phase.ANNOUNCED if is_sidecar else Phase.LEAVING_MEMBERSHIP
        self.waited = False  # whether the fixed time of the current phase has passed
        self.steps: dict[Phase, Callable[[float], float | None]] = {
            Phase.ANNOUNCED: self._announced,
            Phase.AWAITING_PEERS: self._awaiting_peers,
            Phase.LEAVING_MEMBERSHIP: self._leaving_membership,
            Phase.DISABLING_KEEP_ALIVE: self._disabling_keep_alive,
            Phase.DRAINING: self._draining,
        }

    def advance(self, now: float) -> float | None:
        """Takes the actions that are due.

        Returns the seconds after which to call again, or None once the process may exit.
        """
        while self.phase is not Phase.ENDED:
            if (wait_s := self.steps[self.phase](now)) is not None:
                return wait_s
        return None

    def elapsed(self, now: float) -> float:
        """Returns the seconds since the shutdown started."""
        return now - self.started_at

    def _enter(self, phase: Phase) -> None:
        self.phase, self.waited = phase, False

    def _wait_once(self, seconds: float) -> float | None:
        """Returns `seconds` at the first call in a phase, None afterwards."""
        if self.waited:
            return None
        self.waited = True
        return seconds

    def _announced(self, now: float) -> float | None:
        wait_s = self._wait_once(min(ANNOUNCED_S, ANNOUNCED_SHARE * self.grace_s))
        if wait_s is None:
            self.endpoints.reject_requests_beyond(self.exit_at)
            self._enter(Phase.AWAITING_PEERS)
        return wait_s

    def _awaiting_peers(self, now: float) -> float | None:
        in_time = self.elapsed(now) < self.grace_s - RESERVED_FOR_DRAINING_S
        if in_time and not self.callers_have_alternatives(now, CALLERS_RETURN_S):
            return POLL_S
        self._enter(Phase.LEAVING_MEMBERSHIP)
        return None

    def _leaving_membership(self, now: float) -> float | None:
        if not self.may_leave_membership(now):
            return POLL_S
        self.endpoints.disable_keep_alive()
        self._enter(Phase.DISABLING_KEEP_ALIVE)
        return None

    def _disabling_keep_alive(self, now: float) -> float | None:
        wait_s = self._wait_once(KEEP_ALIVE_END_SIDECAR_S if self.is_sidecar else KEEP_ALIVE_END_REPLICA_S)
        if wait_s is None:
            self.endpoints.close_listeners()
            self._enter(Phase.DRAINING)
        return wait_s

    def _draining(self, now: float) -> float | None:
        if now < self.exit_at and self.endpoints.has_requests_in_progress():
            return DRAINING_POLL_S
        self._enter(Phase.ENDED)
        return None
