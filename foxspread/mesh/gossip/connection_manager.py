"""Decides which replicas this process keeps connections to.

Replicas (processes with storage) connect to all replicas; sidecars to a few, and prefer those that the agreed
membership names and that are in contact with a quorum, spread at random. Seeds and agreed members are
remembered for good, other addresses for as long as they answer. An address that does not answer is dialled at
growing intervals (exponential backoff with jitter) and never displaces one that does.

Without I/O: events are reported by method calls, decisions are returned to the caller, which dials and
closes.
"""

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from foxspread.mesh.gossip.partial_view import Neighbour
from foxspread.mesh.settings import Address

MAX_SIDECAR_CONNECTIONS = 5  # to replicas, of one sidecar
MAX_CONCURRENT_DIALS = 5
DIAL_TIMEOUT_S = 0.6
BACKOFF_AFTER_REFUSAL_S = 0.12  # first interval, lengthened by jitter of up to a half
BACKOFF_AFTER_TIMEOUT_S = 0.3
FAILURES_PER_DOUBLING = 3  # a machine that refuses is often about to start listening
MAX_BACKOFF_REPLICAS_S = 0.6  # between replicas: a quorum may depend on it
MAX_BACKOFF_SIDECARS_S = 1.2  # from sidecars: a restarted replica is reached within about 2 s
MAX_BACKOFF_UNCONFIRMED_S = 6.0  # to addresses that are neither seeds nor members
HIGHER_ADDRESS_DIALS_AFTER_S = (
    1.5  # the lower address dials; the higher one too, if it is not reached by then
)
FORGET_UNREACHABLE_AFTER_S = 30.0
MAX_UNCONFIRMED_ADDRESSES = 64
REPLACEMENT_INTERVAL_S = 2.0  # between closing one connection for a better one; doubles while none helps
MAX_REPLACEMENT_INTERVAL_S = 30.0
MAX_REPLACEMENT_DOUBLINGS = 10
FALLBACK_AFTER_S = 0.8  # without a replica in quorum contact
MAX_FALLBACK_NEIGHBOURS = 2


@dataclass(slots=True)
class AddressState:
    """What is known of one replica's address. Times are on this process's clock, in seconds."""

    preference: float  # random: which of many a sidecar prefers
    since: float  # when it was first heard of, or last connected
    node: str = ""  # who answers there, while connected
    in_contact: bool = False  # it reports contact with a quorum
    failures: int = 0  # consecutive dials that failed
    abandoned: int = 0  # times its connection was closed for another's, since it last was in quorum contact
    next_dial_at: float = -math.inf
    connecting: bool = False


class ConnectionManager:
    """Chooses which addresses to dial and which connections to close.

    `own` is this process's address, `has_storage` whether it is a replica, `draw` returns random numbers in
    [0, 1).
    """

    def __init__(
        self, now: float, own: Address, has_storage: bool, seeds: Iterable[Address], draw: Callable[[], float]
    ) -> None:
        self.own, self.has_storage, self.draw = own, has_storage, draw
        self.seeds: frozenset[Address] = frozenset()
        self.members: frozenset[Address] = frozenset()
        self.addresses: dict[Address, AddressState] = {}
        self.next_replacement_at = now + REPLACEMENT_INTERVAL_S
        self.replacements = 0
        self.set_seeds(now, seeds)

    # Known addresses.

    def set_seeds(self, now: float, seeds: Iterable[Address]) -> None:
        """The seeds of the settings file."""
        self.seeds = frozenset(seeds)
        for address in self.seeds:
            self.add_address(now, address)

    def set_members(self, now: float, members: Iterable[Address]) -> None:
        """The members that the committed set names."""
        self.members = frozenset(members)
        for address in self.members:
            self.add_address(now, address)

    def add_address(self, now: float, address: Address) -> None:
        """A replica is said to listen there. Of too many unconfirmed addresses the oldest is dropped."""
        if address == self.own or address in self.addresses:
            return
        if address not in self.permanent_addresses and not self._make_space():
            return
        self.addresses[address] = AddressState(self.draw(), now)

    def _make_space(self) -> bool:
        unconfirmed = [each for each in self.addresses if each not in self.permanent_addresses]
        if len(unconfirmed) < MAX_UNCONFIRMED_ADDRESSES:
            return True
        unconnected = [each for each in unconfirmed if not self.addresses[each].node]
        if not unconnected:
            return False
        del self.addresses[min(unconnected, key=lambda each: (self.addresses[each].since, each))]
        return True

    @property
    def permanent_addresses(self) -> frozenset[Address]:
        """Those that are never forgotten."""
        return self.seeds | self.members

    # Events.

    def connected(self, now: float, address: Address, node: str, in_contact: bool) -> None:
        """A connection to that replica is open, whichever side dialled."""
        self.add_address(now, address)
        if (state := self.addresses.get(address)) is not None:
            state.node, state.in_contact, state.connecting = node, in_contact, False
            state.failures, state.next_dial_at = 0, -math.inf
            if in_contact:
                state.abandoned = 0

    def set_quorum_contact(self, node: str, in_contact: bool) -> None:
        """A connected replica reports that its contact with a quorum began or ended."""
        for state in self.addresses.values():
            if state.node == node:
                state.in_contact = in_contact
                if in_contact:
                    state.abandoned = 0

    def disconnected(self, now: float, node: str) -> None:
        """The connection to that replica is closed."""
        for state in self.addresses.values():
            if state.node == node:
                state.node, state.in_contact, state.since = "", False, now

    def dial_failed(self, now: float, address: Address, refused: bool) -> None:
        """The machine refused the connection, or did not answer in time."""
        state = self.addresses.get(address)
        if state is None or state.node:
            return
        state.connecting = False
        first = BACKOFF_AFTER_REFUSAL_S if refused else BACKOFF_AFTER_TIMEOUT_S
        backoff = min(
            self._max_backoff(address), first * 2 ** min(state.failures // FAILURES_PER_DOUBLING, 10)
        )
        state.failures += 1
        state.next_dial_at = now + backoff * (1 + 0.5 * self.draw())

    def _max_backoff(self, address: Address) -> float:
        if address not in self.permanent_addresses:
            return MAX_BACKOFF_UNCONFIRMED_S
        return MAX_BACKOFF_REPLICAS_S if self.has_storage else MAX_BACKOFF_SIDECARS_S

    # Decisions.

    @property
    def connected_addresses(self) -> list[Address]:
        """Addresses of replicas that are connected."""
        return [address for address, state in self.addresses.items() if state.node]

    def replicas_in_contact(self) -> list[str]:
        """Nodes of connected replicas that report contact with a quorum."""
        return [state.node for state in self.addresses.values() if state.node and state.in_contact]

    def addresses_to_dial(self, now: float) -> list[Address]:
        """Whom to dial now; each counts as being dialled until `connected` or `dial_failed`."""
        self._forget_unreachable(now)
        connecting = sum(state.connecting for state in self.addresses.values())
        free = MAX_CONCURRENT_DIALS - connecting
        if not self.has_storage:
            free = min(free, MAX_SIDECAR_CONNECTIONS - len(self.connected_addresses) - connecting)
        due = [address for address in self._ranked() if self._is_due(now, address)][: max(0, free)]
        for address in due:
            self.addresses[address].connecting = True
        return due

    def _forget_unreachable(self, now: float) -> None:
        for address in [each for each in self.addresses if each not in self.permanent_addresses]:
            state = self.addresses[address]
            if state.failures and not state.connecting and now - state.since > FORGET_UNREACHABLE_AFTER_S:
                del self.addresses[address]

    def connections_to_close(self, now: float) -> list[str]:
        """Nodes of replicas whose connections a sidecar closes.

        Those over its number; and one now and then where a better one may be had: an agreed member in place
        of another, or, with none in quorum contact, any in place of one that is not. The latter at growing
        intervals: where no replica is in contact, replacing connections does not help.
        """
        if self.has_storage:
            return []
        ranked = [address for address in self._ranked() if self.addresses[address].node]
        surplus = [self.addresses[address].node for address in ranked[MAX_SIDECAR_CONNECTIONS:]]
        in_contact = self.replicas_in_contact()
        if in_contact:
            self.replacements = 0
        if surplus or len(ranked) < MAX_SIDECAR_CONNECTIONS or now < self.next_replacement_at:
            return surplus
        worst = ranked[-1]
        return [self.addresses[worst].node] if self._replace(now, worst, bool(in_contact)) else []

    def _replace(self, now: float, worst: Address, any_in_contact: bool) -> bool:
        """Whether to close the connection to `worst`, and when to look again."""
        free = [each for each, state in self.addresses.items() if not state.node and state.failures == 0]
        member_is_free = any(each in self.members and not self.addresses[each].abandoned for each in free)
        if worst not in self.members and member_is_free:
            self.next_replacement_at = now + REPLACEMENT_INTERVAL_S
            return True
        if any_in_contact or not free:
            return False
        interval = min(MAX_REPLACEMENT_INTERVAL_S, REPLACEMENT_INTERVAL_S * 2**self.replacements)
        self.next_replacement_at = now + interval * (1 + self.draw())
        self.replacements = min(self.replacements + 1, MAX_REPLACEMENT_DOUBLINGS)
        self.addresses[worst].abandoned += 1
        return True

    def _ranked(self) -> list[Address]:
        """Unreachable addresses last; agreed members first, of them those in contact, then at random."""

        def rank(address: Address) -> tuple[bool, int, bool, bool, float]:
            state = self.addresses[address]
            return (
                not state.node and state.failures > 0,
                0 if state.node else state.abandoned,
                address not in self.members,
                bool(state.node) and not state.in_contact,
                state.preference,
            )

        return sorted(self.addresses, key=rank)

    def _is_due(self, now: float, address: Address) -> bool:
        state = self.addresses[address]
        if state.node or state.connecting or now < state.next_dial_at:
            return False
        if not self.has_storage or self.own < address:
            return True
        if address in self.seeds and self.own not in self.seeds:
            return True
        return now - state.since >= HIGHER_ADDRESS_DIALS_AFTER_S


class NeighbourFallback:
    """Lets a sidecar get its state from a few other sidecars while no replica in quorum contact is reached.

    `draw` returns random numbers in [0, 1).
    """

    def __init__(self, now: float, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.isolated_since: float | None = now
        self.next_dial_at: dict[Address, float] = {}

    def missing(self, now: float, replicas_in_contact: int, neighbours: int) -> int:
        """How many sidecars to connect to in addition to the `neighbours` that are connected."""
        if replicas_in_contact:
            self.isolated_since = None
            self.next_dial_at.clear()
            return 0
        if self.isolated_since is None:
            self.isolated_since = now
        if now - self.isolated_since <= FALLBACK_AFTER_S:
            return 0
        return max(0, MAX_FALLBACK_NEIGHBOURS - neighbours)

    def addresses_to_dial(
        self, now: float, candidates: Iterable[Neighbour], connected: Container[str]
    ) -> list[Address]:
        """Those of the candidates that are not connected and were not dialled a moment ago."""
        due = []
        for each in candidates:
            if each.node not in connected and now >= self.next_dial_at.get(each.address, 0.0):
                self.next_dial_at[each.address] = now + DIAL_TIMEOUT_S * (1 + 0.5 * self.draw())
                due.append(each.address)
        return due
