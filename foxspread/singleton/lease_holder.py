"""An instance's side of singleton roles: which it holds, under which fencing tokens, until when. No I/O.

Whoever acts asks `fencing_token` at the moment of the act, and sends the token with it: an instance may be
stopped even after that, so what it does is refused where it arrives (`singleton.fencing`). How a lease is
renewed and counted: `foxspread.leases`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxspread.leases import DEFAULT_DRIFT, LeaseRenewal


@dataclass(frozen=True)
class RoleLeaseRequest:
    """`offers`: roles that the instance would take. `released`: those that it does nothing more for, with
    their tokens. `sent_at`: by its own clock."""

    instance: str
    sent_at: float
    offers: tuple[str, ...]
    released: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class RoleLeaseGrant:
    """By what was committed after the request came: `tokens` of the roles that the instance holds, and of
    these, which are `to_release`. `lease`: seconds from when the request was sent."""

    lease: float
    drift: float
    tokens: dict[str, int]
    to_release: tuple[str, ...] = ()


@dataclass(frozen=True)
class RoleLease:
    """A role that an instance holds: its fencing token, and until when the lease may be relied on."""

    token: int
    until: float


NO_LEASE = RoleLease(0, 0.0)


class RoleLeaseHolder(LeaseRenewal):
    """`offers`: names of the roles that this instance would take."""

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
        self.released_tokens: dict[str, int] = {}  # the highest token of each role that it has released
        self.unconfirmed_releases: dict[str, int] = {}  # said until they are known to be committed
        self.to_release: set[str] = set()  # to be released as soon as nothing of it is under way

    def fencing_token(self, now: float, role: str) -> int:
        """The token to act under, 0 where it may not act for that role now."""
        lease = self.roles.get(role, NO_LEASE)
        return lease.token if now < lease.until else 0

    def active_roles(self, now: float) -> list[str]:
        """Those that it may act for now."""
        return [role for role in self.roles if self.fencing_token(now, role)]

    def release(self, role: str) -> None:
        """Nothing is done for it from here on, and another may have it at once."""
        self.to_release.discard(role)
        if role in self.roles:
            token = self.roles.pop(role).token
            self.released_tokens[role] = max(token, self.released_tokens.get(role, 0))
            self.unconfirmed_releases[role] = token

    def request_due(self, now: float) -> RoleLeaseRequest | None:
        """The request to send now, None where none is due."""
        if not self._request_due(now):
            return None
        released = tuple(self.unconfirmed_releases.items())
        return RoleLeaseRequest(self.holder_id, now, self.offers, released)

    def on_grant(self, now: float, request: RoleLeaseRequest, grant: RoleLeaseGrant) -> None:
        """The answer to `request`. What was released meanwhile is not taken back by an answer that is
        late."""
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
