"""The messages by which processes of the mesh find each other and exchange state, and their wire format.

A message travels as a JSON object whose key `t` names its kind. This module alone knows the kinds and the
short keys of connections, gossip and anti-entropy; the messages of consensus are those of
`foxspread.mesh.replication`. Every type has `packed()`, the fields in the order in which they are sent, and
`decode(fields)`, which raises `MalformedMessageError` where a field is missing or of another shape.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import wraps
from typing import Any, ClassVar, Protocol, Self

from foxspread.mesh.settings import Address

Fields = dict[str, Any]  # a message as JSON has it
Version = tuple[int | str, ...]  # of a source of state: only grows, compared as tuples are
VersionVector = Mapping[str, Version]  # version by source

KIND = "t"
NODE, MEMBER, ADDRESS, REPLICAS, IN_CONTACT = "node", "member", "inner", "cores", "contact"
VERSIONS, REQUESTED_AT, COMMITTED_NUMBER, AGE, RECORDS = "v", "at", "upto", "age", "records"
VIEW = "view"

COMMITTED_SET = "="  # the source of the committed set in a version vector; the others are nodes


class MalformedMessageError(ValueError):
    """A message lacks a field, or has one of the wrong shape."""


class Message(Protocol):
    """What all message types have."""

    def packed(self) -> Fields:
        """The fields in the order in which they are sent."""


def _refuses_malformed(decode: Callable[[type, Fields], Any]) -> Callable[[type, Fields], Any]:
    """The one place where a fault in a received message becomes a `MalformedMessageError`."""

    @wraps(decode)
    def checked(message_type: type, fields: Fields) -> Any:
        try:
            return decode(message_type, fields)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            raise MalformedMessageError(f"{message_type.__name__}: {error!r}") from error

    return checked


@dataclass(frozen=True, slots=True)
class Neighbour:
    """One process as a partial view has it."""

    node: str
    address: Address  # where it listens to other processes
    has_storage: bool
    age: int = 0  # shuffles since it introduced itself

    def packed(self) -> list[Any]:
        """Its row in a message."""
        return [self.node, list(self.address), self.has_storage, self.age]

    @classmethod
    def decode(cls, row: list[Any]) -> Self:
        """The reverse of `packed`."""
        node, address, has_storage, age = row
        return cls(str(node), (str(address[0]), int(address[1])), bool(has_storage), int(age))


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message in both directions of a connection: who speaks."""

    kind: ClassVar[str] = "hello"
    node: str
    member: str  # its control address if it is a replica, else empty
    address: Address  # where it listens to other processes
    replicas: list[Address]  # addresses of replicas that it is connected to
    in_contact: bool  # it is a replica in contact with a quorum

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {
            KIND: self.kind,
            NODE: self.node,
            MEMBER: self.member,
            ADDRESS: list(self.address),
            REPLICAS: [list(each) for each in self.replicas],
            IN_CONTACT: self.in_contact,
        }

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        member = fields[MEMBER]
        return cls(
            fields[NODE],
            member,
            tuple(fields[ADDRESS]),
            [tuple(each) for each in fields[REPLICAS]],
            bool(fields[IN_CONTACT]) if member else False,  # of a sidecar it says nothing, and is not read
        )


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Keeps a connection from being taken for dead while nothing else is sent."""

    kind: ClassVar[str] = "beat"

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {KIND: self.kind}

    @classmethod
    def decode(cls, fields: Fields) -> Self:
        """It has no other fields."""
        return cls()


@dataclass(frozen=True, slots=True)
class Have:
    """Versions of state that the sender holds."""

    kind: ClassVar[str] = "have"
    versions: VersionVector

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {KIND: self.kind, VERSIONS: self.versions}

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        return cls({source: tuple(version) for source, version in fields[VERSIONS].items()})


@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for what the sender lacks."""

    kind: ClassVar[str] = "pull"
    versions: VersionVector  # sources that are asked for, with what the sender holds of each
    requested_at: float  # seconds on the asker's clock; returned with the answer

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {KIND: self.kind, VERSIONS: self.versions, REQUESTED_AT: self.requested_at}

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        return cls(fields[VERSIONS], fields[REQUESTED_AT])


@dataclass(frozen=True, slots=True)
class PullResponse:
    """The answer to a pull: endpoint records, and how new the committed set is that the sender holds.

    The items of the committed set themselves are fetched in chunks (`replication/snapshot_transfer.py`).
    """

    kind: ClassVar[str] = "news"
    requested_at: float | None  # of the pull, on the asker's clock
    committed_number: tuple[int, str] | None = None  # None: the sender may not tell of the committed set
    age_s: float | None = None  # for how long the sender may have missed commits; None: not known
    records: Iterable[list[Any]] | None = None  # packed endpoint records; None: the sender has none of these

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        fields: Fields = {KIND: self.kind, REQUESTED_AT: self.requested_at}
        if self.committed_number is not None:
            fields[COMMITTED_NUMBER], fields[AGE] = self.committed_number, self.age_s
        if self.records is not None:
            fields[RECORDS] = self.records
        return fields

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        if COMMITTED_NUMBER not in fields:
            return cls(fields.get(REQUESTED_AT), records=fields.get(RECORDS))
        number = fields[COMMITTED_NUMBER]
        return cls(fields[REQUESTED_AT], (int(number[0]), str(number[1])), fields[AGE], fields.get(RECORDS))


@dataclass(frozen=True, slots=True)
class QuorumContactChange:
    """A replica's contact with a quorum began or ended."""

    kind: ClassVar[str] = "standing"
    in_contact: bool

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {KIND: self.kind, IN_CONTACT: self.in_contact}

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        return cls(bool(fields[IN_CONTACT]))


@dataclass(frozen=True, slots=True)
class ShuffleRequest:
    """Part of the sender's partial view, its own entry first; sent as a datagram."""

    kind: ClassVar[str] = "shuffle"
    node: str
    neighbours: tuple[Neighbour, ...]

    def packed(self) -> Fields:
        """Its fields, in the order of the wire."""
        return {KIND: self.kind, NODE: self.node, VIEW: [each.packed() for each in self.neighbours]}

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        return cls(fields.get(NODE, ""), _neighbours(fields[VIEW]))


@dataclass(frozen=True, slots=True)
class ShuffleResponse(ShuffleRequest):
    """The answer to a shuffle, of the same form."""

    kind: ClassVar[str] = "shuffled"

    @classmethod
    @_refuses_malformed
    def decode(cls, fields: Fields) -> Self:
        """Raises `MalformedMessageError`."""
        return cls(fields[NODE], _neighbours(fields[VIEW]))


def _neighbours(rows: Iterable[list[Any]]) -> tuple[Neighbour, ...]:
    return tuple(Neighbour.decode(row) for row in rows)


HEARTBEAT_FIELDS = Heartbeat().packed()
# Read by tests only. Received messages are dispatched by `StateSync.handlers`, `PeerLinks._on_message`
# (hello, contact), `PeerLinks._on_datagram` (shuffles) and `PeerConnection` (heartbeats).
DECODERS: dict[str, Callable[[Fields], Message]] = {
    each.kind: each.decode
    for each in (
        *(Hello, Heartbeat, Have, Pull, PullResponse, QuorumContactChange),
        *(ShuffleRequest, ShuffleResponse),
    )
}


def kind_of(fields: Fields) -> str | None:
    """The kind that a received message names, if any."""
    kind = fields.get(KIND)
    return kind if isinstance(kind, str) else None


def decode_shuffle(fields: Fields) -> ShuffleRequest | ShuffleResponse:
    """A received datagram. What is not a response is read as a request, as all versions have done."""
    if KIND not in fields:
        raise MalformedMessageError(f"a datagram without {KIND!r}")
    return (ShuffleResponse if fields[KIND] == ShuffleResponse.kind else ShuffleRequest).decode(fields)
