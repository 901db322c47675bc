"""A coordinator that grants leases on singleton roles as well. No I/O.

Every member answers requests, on state committed after they came. The leader takes the steps: it assigns a
role to an instance that offers to take it, frees a role whose holder sends no requests, and moves roles.

Why two instances never hold a role at the same time: after `SuspectHolder` is committed, no response contains
the role's token, as each response is a linearizable read. So every lease under that token was requested
before that commit, and has expired one lease, plus an allowance for drift, after this member saw the commit.
Only then does the leader propose `FreeRole`, and later `AssignRole`. A new leader counts from when it saw the
commit itself.
"""

import zlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.raft import Role
from foxspread.consensus.records import ArrayStruct, Snapshot
from foxspread.consensus.wire import encode
from foxspread.fleet_rules.lease_manager import MAX_UNADMITTED, LeaseManager
from foxspread.fleet_rules.pending_requests import PendingRequests, Proposals
from foxspread.fleet_rules.rollout import Rollout
from foxspread.singleton.lease_holder import RoleLeaseGrant, RoleLeaseRequest
from foxspread.singleton.lease_table import (
    AssignRole,
    FreeRole,
    LeaseTable,
    PreferHolder,
    ReleaseRole,
    RoleCommand,
    SingletonRole,
    SuspectHolder,
    instance_name,
)

REBALANCE_QUIET_LEASES = 10  # without a change of a holder, before roles are rebalanced
OFFER_TIMEOUT_LEASES = 3  # without a request, after which an instance is forgotten
UNHELD_CHECK_SECONDS = 0.1  # between two checks of roles without a holder or with a suspected one


class RoleOffer(ArrayStruct, frozen=True):
    """Latest report of an instance: roles that it is able to take, and released ones with their tokens."""

    offers: tuple[str, ...]
    released: tuple[tuple[str, int], ...]


class RoleOffers(ArrayStruct, frozen=True, tag="offers"):
    """Reports of instances that a member received, as sent to the leader."""

    by_instance: dict[str, RoleOffer]


class SingletonRollout(Rollout):
    """The replicated state of fleet rules, extended by the table of singleton roles."""

    def __init__(self) -> None:
        super().__init__()
        self.table = LeaseTable()

    def apply(self, body: bytes) -> Any:
        """Applies a command of the log, on roles or on fleet rules."""
        try:
            command = msgspec.msgpack.decode(body, type=RoleCommand)
        except msgspec.ValidationError:
            return super().apply(body)
        return self.table.apply(command)

    def saved_extension(self) -> bytes:
        """Returns the encoded table for the snapshot."""
        return self.table.saved()

    def restore_extension(self, data: bytes) -> None:
        """Restores the table from the snapshot."""
        self.table.restore(data)


@dataclass(frozen=True)
class ReceivedOffer:
    """An offer, and when the leader received it."""

    received_at: float
    offer: RoleOffer


@dataclass
class RoleLeaderState:
    """What a leader has learnt about instances since its election."""

    term: int
    since: float
    offers: dict[str, ReceivedOffer] = field(default_factory=dict)  # by instance
    proposals: Proposals = field(default_factory=Proposals)  # by role
    last_change: float = 0.0  # when an assignment of any role last changed


def rendezvous_rank(role: str, name: str) -> int:
    """Returns the rank of an instance for a role; the instance with the highest rank should hold it.

    This is rendezvous hashing (D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
    rates" (1998)).
    """
    return zlib.crc32(f"{role}:{name}".encode())


class RoleLeaseManager(LeaseManager):
    """Grants leases on fleet rules and on singleton roles, with one replicated log."""

    store_type = SingletonRollout

    def __init__(self, now: float, *arguments: Any, **options: Any) -> None:
        self.role_requests = PendingRequests()  # a request of None asks for the tokens only
        self.unreported_offers: dict[str, RoleOffer] = {}
        self.suspected_at: dict[tuple[str, int], float] = {}  # when this member applied `SuspectHolder`
        self.role_leader_state: RoleLeaderState | None = None
        super().__init__(now, *arguments, **options)
        self._reset_suspected(now)

    def _reset_suspected(self, now: float) -> None:
        """Counts suspected holders as suspected since now, as a snapshot does not contain the time."""
        self.suspected_at = {
            (name, role.token): now for name, role in self.table.roles.items() if role.suspected
        }

    @property
    def table(self) -> LeaseTable:
        """The replicated table as this member has applied it."""
        return self.versions.table

    # Calls of instances and receivers

    def request_roles(self, now: float, token: int, request: RoleLeaseRequest | None) -> None:
        """Takes a request; it is answered with a `RoleLeaseGrant`, or with the tokens of all roles if the
        request is None, as from a receiver."""
        if not self._enqueue(now, self.role_requests, token, request):
            return
        if request is not None and len(self.unreported_offers) < MAX_UNADMITTED:
            self.unreported_offers[request.instance] = RoleOffer(request.offers, request.released)

    def write_role(self, now: float, token: int, command: RoleCommand) -> None:
        """Writes a command of a holder or an operator; answered with the reason for a rejection, or ""."""
        self._write(now, token, lambda: self.raft.propose(now, encode(command)))

    def cancel(self, token: int) -> None:
        """Drops a call whose caller has gone."""
        super().cancel(token)
        self.role_requests.remove(token)

    def _flush(self, now: float) -> None:
        super()._flush(now)
        self._start_read(now, self.role_requests)
        offers, self.unreported_offers = self.unreported_offers, {}
        if self.role_leader_state is not None:
            self._record_offers(now, offers)
        elif offers and self.raft.leader_id:
            self.raft.send_host_message(now, self.raft.leader_id, encode(RoleOffers(offers)))

    def _handle_host_message(self, now: float, sender: str, body: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(body, type=RoleOffers)
        except msgspec.DecodeError:
            return super()._handle_host_message(now, sender, body)
        if self.role_leader_state is not None:
            self._record_offers(now, report.by_instance)

    def _record_offers(self, now: float, offers: dict[str, RoleOffer]) -> None:
        known = self.role_leader_state.offers
        for instance, offer in offers.items():
            if instance in known or len(known) < MAX_UNADMITTED:
                known[instance] = ReceivedOffer(now, offer)

    def _handle_read_result(self, now: float, token: int, holds: bool) -> bool:
        tokens = self.role_requests.reads.pop(token, None)
        if tokens is None:
            return super()._handle_read_result(now, token, holds)
        for request_token in tokens:
            if not holds:
                self._reject_request(self.role_requests, request_token, "this node is no longer the leader")
            elif (pending := self.role_requests.remove(request_token)) is not None:
                answer = self.role_grant(pending.request)
                self.answers.append(Answer(request_token, Status.DONE, answer, self.raft.leader_id))
        return True

    def role_grant(self, request: RoleLeaseRequest | None) -> RoleLeaseGrant | dict[str, int]:
        """Returns the response to a request for the state that this member has applied."""
        if request is None:
            return self.table.tokens()
        tokens = self.table.tokens_held_by(request.instance)
        to_release = tuple(role for role in tokens if self.table.roles[role].preferred)
        return RoleLeaseGrant(self.terms.lease, self.terms.drift, tokens, to_release)

    # Steps of the leader

    def _take_steps(self, now: float) -> None:
        super()._take_steps(now)
        raft = self.raft
        if raft.role is not Role.LEADER:
            self.role_leader_state = None
            return
        if self.role_leader_state is None or self.role_leader_state.term != raft.current_term:
            self.role_leader_state = RoleLeaderState(raft.current_term, now, last_change=now)
        if raft.last_applied < raft.first_index_of_term or self.rollout.terms is None:
            return
        leader_state = self.role_leader_state
        for instance, received in list(leader_state.offers.items()):
            if now - received.received_at > OFFER_TIMEOUT_LEASES * self.lease_expired_after:
                del leader_state.offers[instance]
        self._apply_releases(now, leader_state)
        offered = {role for received in leader_state.offers.values() for role in received.offer.offers}
        for name in sorted(offered | self.table.roles.keys()):
            self._review_role(now, name, self.table.roles.get(name) or SingletonRole())
        if now - leader_state.last_change > REBALANCE_QUIET_LEASES * self.lease_expired_after:
            self._rebalance(now, offered)

    def _apply_releases(self, now: float, leader_state: RoleLeaderState) -> None:
        for instance, received in leader_state.offers.items():
            for name, token in received.offer.released:
                role = self.table.roles.get(name)
                if role is not None and (role.holder, role.token) == (instance, token):
                    self._propose_for(now, name, ReleaseRole(name, token))

    def _review_role(self, now: float, name: str, role: SingletonRole) -> None:
        """Frees a role whose holder sends no requests, and assigns a role without a holder."""
        leader_state, lease = self.role_leader_state, self.lease_expired_after
        if role.suspected:
            if now - self.suspected_at.get((name, role.token), now) > self._reassignment_delay(lease):
                self._propose_for(now, name, FreeRole(name, role.token))
        elif role.holder:
            received = leader_state.offers.get(role.holder)
            if now - (received.received_at if received else leader_state.since) > lease:
                self._propose_for(now, name, SuspectHolder(name, role.token))
        elif not role.paused and now - leader_state.since > lease / 2:  # offers have come by then
            if (instance := self._best_instance(now, name, role)) is not None:
                self._propose_for(now, name, AssignRole(name, instance, role.token + 1))

    def _reassignment_delay(self, lease: float) -> float:
        """Returns the seconds from `SuspectHolder` to `FreeRole`."""
        return lease

    def _best_instance(self, now: float, name: str, role: SingletonRole) -> str | None:
        """Returns the instance that should hold a role: the preferred one, else the one that lost the fewest
        roles, then by rank. None if no instance offers to take it."""
        available = [
            instance
            for instance, received in self.role_leader_state.offers.items()
            if now - received.received_at < self.lease_expired_after and name in received.offer.offers
        ]
        if role.preferred in available:
            return role.preferred
        losses = self.table.losses

        def preference(instance: str) -> tuple[int, int, str]:
            own_name = instance_name(instance)
            return losses.get(own_name, 0), -rendezvous_rank(name, own_name), instance

        return min(available, key=preference, default=None)

    def _rebalance(self, now: float, offered: set[str]) -> None:
        """Starts to move one role whose holder is not the best instance for it."""
        for name in sorted(offered):
            role = self.table.roles.get(name)
            if role is None or role.preferred or not role.holder or role.suspected or role.paused:
                continue
            best = self._best_instance(now, name, role)
            if best is not None and best != role.holder:
                return self._propose_for(now, name, PreferHolder(name, best))

    def _propose_for(self, now: float, role: str, command: RoleCommand) -> None:
        self.role_leader_state.proposals.propose(now, self.raft, role, command)

    # Inputs and outputs

    def tick(self, now: float) -> None:
        """Answers the calls whose deadline has passed."""
        super().tick(now)
        self._reject_overdue(now, self.role_requests)

    def wake_at(self) -> float:
        """Returns when `tick` is due."""
        review = float("inf")
        if self.role_leader_state is not None and any(
            role.suspected or not role.holder for role in self.table.roles.values()
        ):
            review = self.raft.now + UNHELD_CHECK_SECONDS
        return min(super().wake_at(), self.role_requests.first_deadline(), review)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        super()._restore_snapshot(snapshot)
        self._reset_suspected(self.raft.now)

    def _apply_entry(self, index: int, entry: Any) -> None:
        before = {name: _assignment(role) for name, role in self.table.roles.items()}
        super()._apply_entry(index, entry)
        now = self.raft.now
        for name, role in self.table.roles.items():
            if before.get(name) == _assignment(role):
                continue
            if role.suspected:
                self.suspected_at[name, role.token] = now
            else:
                self.suspected_at.pop((name, role.token), None)
            if self.role_leader_state is not None:
                self.role_leader_state.proposals.applied(name)
                self.role_leader_state.last_change = now


def _assignment(role: SingletonRole) -> tuple[int, str, bool]:
    return role.token, role.holder, role.suspected
