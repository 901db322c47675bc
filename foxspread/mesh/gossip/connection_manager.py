"""Decides which replicas this process keeps connections to.

Replicas (processes with storage) connect to all replicas. Sidecars connect to a few, chosen at random, and
prefer members of the committed membership and replicas in contact with a quorum. Seeds and members are never
forgotten, other addresses only when they become unreachable. An unreachable address is dialled with
exponential backoff and jitter, and never takes the place of a reachable one.

This module does no I/O: the caller reports events by method calls, and dials and closes the connections that
the methods return.
"""

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from foxspread.mesh.gossip.partial_view import Neighbour
from foxspread.mesh.settings import Address

MAX_SIDECAR_CONNECTIONS = 5  # from one sidecar to replicas
MAX_CONCURRENT_DIALS = 5
DIAL_TIMEOUT_S = 0.6
BACKOFF_AFTER_REFUSAL_S = 0.12  # initial backoff; jitter adds up to a half
BACKOFF_AFTER_TIMEOUT_S = 0.3
FAILURES_PER_BACKOFF_DOUBLING = 3  # a machine that refuses connections is often about to start listening
MAX_BACKOFF_DOUBLINGS = 10
MAX_BACKOFF_REPLICAS_S = 0.6  # between replicas: a quorum may depend on the connection
MAX_BACKOFF_SIDECARS_S = 1.2  # from sidecars: a restarted replica is reached within about 2 s
MAX_BACKOFF_UNCONFIRMED_S = 6.0  # for addresses that are neither seeds nor members
HIGHER_ADDRESS_DIALS_AFTER_S = 1.5  # of two replicas, unless the lower one has connected by then
FORGET_UNREACHABLE_AFTER_S = 30.0
MAX_UNCONFIRMED_ADDRESSES = 64
REPLACEMENT_INTERVAL_S = 2.0  # between replacements; doubles while none leads to quorum contact
MAX_REPLACEMENT_INTERVAL_S = 30.0
MAX_REPLACEMENT_DOUBLINGS = 10
FALLBACK_AFTER_S = 0.8  # without a connection to a replica in quorum contact
MAX_FALLBACK_NEIGHBOURS = 2


@dataclass(slots=True)
class AddressState:
    """The state of one replica's address. Times are seconds on this process's clock."""

    preference: float  # random rank; a sidecar prefers the lowest
    unconnected_since: float  # when it was added, or last disconnected
    node: str = ""  # the node at this address; empty if not connected
    in_contact: bool = False  # whether the replica reports contact with a quorum
    failures: int = 0  # consecutive dials that failed
    times_replaced: int = 0  # since the replica was last in quorum contact
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
        """Sets the seeds that the settings file names."""
        self.seeds = frozenset(seeds)
        for address in self.seeds:
            self.add_address(now, address)

    def set_members(self, now: float, members: Iterable[Address]) -> None:
        """Sets the members that the committed set names."""
        self.members = frozenset(members)
        for address in self.members:
            self.add_address(now, address)

    def add_address(self, now: float, address: Address) -> None:
        """Adds the address of a replica; if there are too many unconfirmed ones, drops the oldest."""
        if address == self.own or address in self.addresses:
            return
        if address not in self.permanent_addresses and not self._make_space():
            return
        self.addresses[address] = AddressState(self.draw(), now)

    def _make_space(self) -> bool:
        """Makes space for one unconfirmed address; returns whether there is any."""
        unconfirmed = [each for each in self.addresses if each not in self.permanent_addresses]
        if len(unconfirmed) < MAX_UNCONFIRMED_ADDRESSES:
            return True
        unconnected = [each for each in unconfirmed if not self.addresses[each].node]
        if not unconnected:
            return False
        del self.addresses[min(unconnected, key=lambda each: (self.addresses[each].unconnected_since, each))]
        return True

    @property
    def permanent_addresses(self) -> frozenset[Address]:
        """The seeds and members, which are never forgotten."""
        return self.seeds | self.members

    # Events.

    def connected(self, now: float, address: Address, node: str, in_contact: bool) -> None:
        """Records an open connection to a replica, whichever side dialled."""
        self.add_address(now, address)
        if (state := self.addresses.get(address)) is not None:
            state.node, state.in_contact, state.connecting = node, in_contact, False
            state.failures, state.next_dial_at = 0, -math.inf
            if in_contact:
                state.times_replaced = 0

    def set_quorum_contact(self, node: str, in_contact: bool) -> None:
        """Records that a connected replica gained or lost contact with a quorum."""
        for state in self.addresses.values():
            if state.node == node:
                state.in_contact = in_contact
                if in_contact:
                    state.times_replaced = 0

    def disconnected(self, now: float, node: str) -> None:
        """Records that the connection to a replica is closed."""
        for state in self.addresses.values():
            if state.node == node:
                state.node, state.in_contact, state.unconnected_since = "", False, now

    def dial_failed(self, now: float, address: Address, refused: bool) -> None:
        """Records a failed dial: the machine refused the connection, or the dial timed out."""
        state = self.addresses.get(address)
        if state is None or state.node:
            return
        state.connecting = False
        initial = BACKOFF_AFTER_REFUSAL_S if refused else BACKOFF_AFTER_TIMEOUT_S
        doublings = min(state.failures // FAILURES_PER_BACKOFF_DOUBLING, MAX_BACKOFF_DOUBLINGS)
        backoff = min(self._max_backoff(address), initial * 2**doublings)
        state.failures += 1
        state.next_dial_at = now + backoff * (1 + 0.5 * self.draw())

    def _max_backoff(self, address: Address) -> float:
        if address not in self.permanent_addresses:
            return MAX_BACKOFF_UNCONFIRMED_S
        return MAX_BACKOFF_REPLICAS_S if self.has_storage else MAX_BACKOFF_SIDECARS_S

    # Decisions.

    @property
    def connected_addresses(self) -> list[Address]:
        """Addresses of connected replicas."""
        return [address for address, state in self.addresses.items() if state.node]

    def replicas_in_contact(self) -> list[str]:
        """Returns the nodes of connected replicas that report contact with a quorum."""
        return [state.node for state in self.addresses.values() if state.node and state.in_contact]

    def addresses_to_dial(self, now: float) -> list[Address]:
        """Returns the addresses to dial now; each counts as connecting until `connected` or `dial_failed`."""
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
            if (
                state.failures
                and not state.connecting
                and now - state.unconnected_since > FORGET_UNREACHABLE_AFTER_S
            ):
                del self.addresses[address]

    def connections_to_close(self, now: float) -> list[str]:
        """Returns the nodes of replicas whose connections a sidecar closes.

        These are the connections over the limit and, once per interval, the worst one if a better replica
        may be reachable: a member instead of another replica, or, while no connected replica is in quorum
        contact, any other replica. In the second case the intervals grow, because replacing connections
        does not help where no replica at all has contact with a quorum.
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
        """Returns whether to close the connection to `worst`, and schedules the next replacement."""
        free = [each for each, state in self.addresses.items() if not state.node and state.failures == 0]
        member_is_free = any(
            each in self.members and not self.addresses[each].times_replaced for each in free
        )
        if worst not in self.members and member_is_free:
            self.next_replacement_at = now + REPLACEMENT_INTERVAL_S
            return True
        if any_in_contact or not free:
            return False
        interval = min(MAX_REPLACEMENT_INTERVAL_S, REPLACEMENT_INTERVAL_S * 2**self.replacements)
        self.next_replacement_at = now + interval * (1 + self.draw())
        self.replacements = min(self.replacements + 1, MAX_REPLACEMENT_DOUBLINGS)
        self.addresses[worst].times_replaced += 1
        return True

    def _ranked(self) -> list[Address]:
        """Returns all addresses, best first.

        Reachable addresses precede unreachable ones, connected ones those that were replaced, members other
        replicas, and replicas in quorum contact those without; the rest of the order is random.
        """

        def rank(address: Address) -> tuple[bool, int, bool, bool, float]:
            state = self.addresses[address]
            return (
                not state.node and state.failures > 0,
                0 if state.node else state.times_replaced,
                address not in self.members,
                bool(state.node) and not state.in_contact,
                state.preference,
            )

        return sorted(self.addresses, key=rank)

    def _is_due(self, now: float, address: Address) -> bool:
        """Returns whether to dial now. One of two replicas dials first, to avoid a second connection."""
        state = self.addresses[address]
        if state.node or state.connecting or now < state.next_dial_at:
            return False
        if not self.has_storage or self.own < address:
            return True
        if address in self.seeds and self.own not in self.seeds:
            return True
        return now - state.unconnected_since >= HIGHER_ADDRESS_DIALS_AFTER_S


class NeighbourFallback:
    """Lets a sidecar get its state from a few other sidecars while no replica in quorum contact is connected.

    `draw` returns random numbers in [0, 1).
    """

    def __init__(self, now: float, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.isolated_since: float | None = now
        self.next_dial_at: dict[Address, float] = {}

    def count_missing(self, now: float, replicas_in_contact: int, neighbours: int) -> int:
        """Returns how many sidecars to dial in addition to the `neighbours` that are connected."""
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
        """Returns the addresses of candidates that are neither connected nor dialled a moment ago."""
        due = []
        for each in candidates:
            if each.node not in connected and now >= self.next_dial_at.get(each.address, 0.0):
                self.next_dial_at[each.address] = now + DIAL_TIMEOUT_S * (1 + 0.5 * self.draw())
                due.append(each.address)
        return due
