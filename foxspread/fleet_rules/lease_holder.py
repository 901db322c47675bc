"""A sidecar's lease on the fleet's rules: which rules it may apply, and until when.

No I/O: time and randomness are passed in, and contents of versions arrive through `on_content`. Callers ask
`may_act` right before they act, not only when they decide. `foxspread.leases` schedules renewals and computes
expiry.

A change takes two steps, like schema changes in F1 (I. Rae and others, "Online, Asynchronous Schema Change in
F1" (2013)): during the *transition* between two versions a sidecar applies only what both allow; the newer
version comes into force only when no sidecar applies the older one alone. A sidecar whose lease has expired
applies the `alone` part of its version for some time, and then no rules at all (like the grace period of M.
Burrows, "The Chubby lock service for loosely-coupled distributed systems" (2006)).
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.codec import AloneState, LeaseGrant, LeaseRequest
from foxspread.fleet_rules.flat_rules import FlatRules
from foxspread.fleet_rules.version_content import VersionContent
from foxspread.leases import DEFAULT_DRIFT, LeaseRenewal

MAX_REASON_CHARACTERS = 200  # of a refusal reason; coordinators accept up to 300


class Mode(enum.Enum):
    """Which rules a sidecar applies. The values appear in logs, in `/stats` and in reports of the lab."""

    IN_FORCE = "settled"  # the version in force
    TRANSITION = "between"  # what both the version in force and the announced one allow
    ALONE = "alone"  # the alone part, as the lease has expired
    NONE = "none"  # no rules: requests are rejected with a Retry-After, and the sidecar is not ready


@dataclass(frozen=True)
class EffectiveRules:
    """Rules that a sidecar may apply at a given time."""

    mode: Mode
    phase: int
    rules: FlatRules = field(default_factory=dict)


NO_RULES = EffectiveRules(Mode.NONE, 0)


@dataclass(frozen=True)
class PendingGrant:
    """A grant of versions some of whose contents are still to be fetched."""

    sent_at: float  # of the request
    grant: LeaseGrant

    def versions(self) -> tuple[int, ...]:
        """Returns the numbers of the versions that the grant refers to."""
        return tuple(number for number in (self.grant.in_force, self.grant.announced) if number)


class LeaseHolder(LeaseRenewal):
    """State machine of a sidecar's lease.

    parse_content: parses the text of a version; raises `ValueError` with key and reason.
    boot_id: identifies the boot of the machine; `restored` state of an earlier boot is ignored.
    """

    def __init__(
        self,
        now: float,
        holder_id: str,
        parse_content: Callable[[bytes], VersionContent],
        chance: Callable[[], float],
        drift: float = DEFAULT_DRIFT,
        boot_id: str = "",
        restored: AloneState | None = None,
    ) -> None:
        super().__init__(now, holder_id, chance, drift)
        self.parse_content, self.boot_id = parse_content, boot_id
        self.phase, self.in_force, self.announced = 0, 0, 0
        self.lease_until = self.alone_until = float("-inf")
        self.alone: FlatRules = {}
        self.rules: FlatRules = {}
        self.contents: dict[int, VersionContent] = {}
        self.pending: PendingGrant | None = None
        self.refused_phase, self.refusal_reason = 0, ""
        if restored is not None and restored.boot_id == boot_id:
            self.in_force, self.alone = restored.in_force, restored.alone
            self.alone_until = restored.alone_until

    # Effective rules

    def effective(self, now: float) -> EffectiveRules:
        """Returns the rules that the sidecar may apply now."""
        if now < self.lease_until and self.in_force:
            mode = Mode.TRANSITION if self.announced else Mode.IN_FORCE
            return EffectiveRules(mode, self.phase, self.rules)
        if now < self.alone_until and self.alone:
            return EffectiveRules(Mode.ALONE, self.phase, self.alone)
        return NO_RULES

    def may_act(self, now: float, decided: EffectiveRules) -> bool:
        """Returns whether a decision made under the rules `decided` may still be carried out.

        Call it right before the act, as the process may have been suspended since it decided.
        """
        present = self.effective(now)
        unchanged = (decided.mode, decided.phase) == (present.mode, present.phase)
        return decided.mode is not Mode.NONE and unchanged

    def next_expiry(self, now: float) -> float:
        """Returns when `effective` next changes by the passage of time."""
        return next((until for until in (self.lease_until, self.alone_until) if until > now), float("inf"))

    # Renewal

    def request_due(self, now: float) -> LeaseRequest | None:
        """Returns the request to send now, None if none is due."""
        if not self._request_due(now):
            return None
        return LeaseRequest(self.holder_id, now, self.phase, self.refused_phase, self.refusal_reason)

    def on_grant(self, now: float, request: LeaseRequest, grant: LeaseGrant) -> None:
        """Handles the response to `request`. A grant of an earlier phase than the applied one is ignored."""
        self._granted(now, grant.lease, grant.drift)
        if grant.phase < self.phase or not grant.in_force and not grant.announced:
            return
        self.pending = PendingGrant(request.sent_at, grant)
        self._apply_pending(now)

    def missing_versions(self) -> list[int]:
        """Returns the numbers of the versions whose contents are to be fetched."""
        if self.pending is None:
            return []
        return [number for number in self.pending.versions() if number not in self.contents]

    def on_content(self, now: float, number: int, text: bytes) -> None:
        """Handles the text of a version that was fetched."""
        try:
            self.contents[number] = self.parse_content(text)
        except ValueError as error:
            if self.pending is not None and number in self.pending.versions():
                self._refuse(now, number, str(error)[:MAX_REASON_CHARACTERS])
            return
        self._apply_pending(now)

    def _refuse(self, now: float, number: int, reason: str) -> None:
        """Reports to the coordinators that this sidecar can't apply a version.

        While a next version is announced, a failure with the version in force is not reported: that rollout
        went on without this sidecar, and the report would count against the announced version.
        """
        grant, self.pending = self.pending.grant, None
        if number != grant.announced and grant.announced:
            return
        if (self.refused_phase, self.refusal_reason) != (grant.phase, reason):
            self.refused_phase, self.refusal_reason = grant.phase, reason
            self.request_now(now)

    def _apply_pending(self, now: float) -> None:
        if self.pending is None or self.missing_versions():
            return
        pending, self.pending = self.pending, None
        grant = pending.grant
        lease_until = self._expiry(pending.sent_at, now, grant.lease)
        if grant.phase > self.phase:
            self.phase, self.in_force, self.announced = grant.phase, grant.in_force, grant.announced
            self.lease_until = lease_until
            self._update_rules()
            self.request_now(now)  # confirms the phase, which applies from now on
        else:
            self.lease_until = max(self.lease_until, lease_until)
        self.alone_until = max(self.alone_until, self._expiry(pending.sent_at, now, grant.alone))
        self.refused_phase, self.refusal_reason = 0, ""
        for unused in self.contents.keys() - {self.in_force, self.announced}:
            del self.contents[unused]

    def _update_rules(self) -> None:
        """Computes the rules of the new phase; none while the first version is only announced."""
        if not self.in_force:
            return
        current = self.contents[self.in_force]
        self.rules = current.rules
        if self.announced:
            self.rules = compatibility.transition(current.rules, self.contents[self.announced].rules)
        self.alone = current.alone

    def alone_state(self) -> AloneState:
        """Returns the state to keep across a restart."""
        return AloneState(self.boot_id, self.in_force, self.alone, self.alone_until)
