"""An instance's leases on singleton roles, with their fencing tokens and expiry. No I/O.

Callers ask `fencing_token` right before they act, and send the token along. The instance may be suspended
even after that, so receivers reject commands under an outdated token (`singleton.fencing`).
`foxspread.leases` schedules renewals and computes expiry.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxspread.leases import DEFAULT_DRIFT, LeaseRenewal


@dataclass(frozen=True)
class RoleLeaseRequest:
    """An instance's request for leases.

    offers: roles that the instance is able to take.
    released: roles that it has stopped working on, with their tokens.
    sent_at: by the instance's clock.
    """

    instance: str
    sent_at: float
    offers: tuple[str, ...]
    released: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class RoleLeaseGrant:
    """A coordinator's response to a `RoleLeaseRequest`, on state committed after the request came.

    lease: seconds from when the request was sent.
    tokens: fencing tokens of the roles that the instance holds.
    to_release: those of them that the instance is to release.
    """

    lease: float
    drift: float
    tokens: dict[str, int]
    to_release: tuple[str, ...] = ()


@dataclass(frozen=True)
class RoleLease:
    """Lease on a role: its fencing token, and when the lease expires."""

    token: int
    until: float


NO_LEASE = RoleLease(0, 0.0)


class RoleLeaseHolder(LeaseRenewal):
    """State machine of an instance's leases. `offers`: names of the roles that it is able to take."""

    def __init__(
        self,
        now: float,
        holder_id: str,
        offers: Iterable[str],
        chance: Callable[[], float],
        drift: float = DEFAULT_DRIFT,
    ) -> None:
        super().__init__(now, holder_id, chance, drift)
        self.offers = tuple(offers)
        self.roles: dict[str, RoleLease] = {}
        self.released_tokens: dict[str, int] = {}  # by released role, its highest token
        self.unconfirmed_releases: dict[str, int] = {}  # sent until known to be committed
        self.to_release: set[str] = set()  # roles to release once their work in progress has ended

    def fencing_token(self, now: float, role: str) -> int:
        """Returns the token to act under, 0 if the instance may not act for the role now."""
        lease = self.roles.get(role, NO_LEASE)
        return lease.token if now < lease.until else 0

    def active_roles(self, now: float) -> list[str]:
        """Returns the roles that the instance may act for now."""
        return [role for role in self.roles if self.fencing_token(now, role)]

    def release(self, role: str) -> None:
        """Gives up a role, so that another instance may take it at once. Call it after the last act for the
        role."""
        self.to_release.discard(role)
        if role in self.roles:
            token = self.roles.pop(role).token
            self.released_tokens[role] = max(token, self.released_tokens.get(role, 0))
            self.unconfirmed_releases[role] = token

    def request_due(self, now: float) -> RoleLeaseRequest | None:
        """Returns the request to send now, None if none is due."""
        if not self._request_due(now):
            return None
        released = tuple(self.unconfirmed_releases.items())
        return RoleLeaseRequest(self.holder_id, now, self.offers, released)

    def on_grant(self, now: float, request: RoleLeaseRequest, grant: RoleLeaseGrant) -> None:
        """Handles the response to `request`. A delayed response does not restore a role released since."""
        self._granted(now, grant.lease, grant.drift)
        until = self._expiry(request.sent_at, now, grant.lease)
        for role, token in grant.tokens.items():
            if token > self.released_tokens.get(role, 0):
                self._accept(role, RoleLease(token, until))
        for role, token in list(self.unconfirmed_releases.items()):
            if (role, token) in request.released and grant.tokens.get(role) != token:
                del self.unconfirmed_releases[role]
        self.to_release |= {role for role in grant.to_release if role in self.roles}

    def _accept(self, role: str, granted: RoleLease) -> None:
        lease = self.roles.get(role, NO_LEASE)
        if granted.token > lease.token:
            self.roles[role] = RoleLease(granted.token, max(0.0, granted.until))
        elif granted.token == lease.token:
            self.roles[role] = RoleLease(granted.token, max(lease.until, granted.until))
