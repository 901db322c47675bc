"""The messages of connections, gossip and anti-entropy between processes of the mesh, and their wire format.

A message is sent as a JSON object whose key `t` names its kind. The kinds and the short keys are used in this
module only; the messages of consensus are defined in `foxspread.mesh.replication`. Every type has
`packed()`, which returns the fields in the order in which they are sent, and `decode(fields)`, which raises
`MalformedMessageError` if a field is missing or has an invalid value.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import wraps
from typing import Any, ClassVar, Protocol, Self

from foxspread.mesh.settings import Address

Fields = dict[str, Any]  # a message as a JSON object
Version = tuple[int | str, ...]  # of a source of state; only grows, compared as a tuple
VersionVector = Mapping[str, Version]  # by source

KIND = "t"
NODE, MEMBER, ADDRESS, REPLICAS, IN_CONTACT = "node", "member", "inner", "cores", "contact"
VERSIONS, REQUESTED_AT, COMMITTED_NUMBER, AGE, RECORDS = "v", "at", "upto", "age", "records"
VIEW = "view"

COMMITTED_SET = "="  # its source in a version vector; all other sources are nodes


class MalformedMessageError(ValueError):
    """Raised for a message with a missing field or an invalid value."""


class Message(Protocol):
    """The interface of all message types."""

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""


def _raises_malformed(decode: Callable[[type, Fields], Any]) -> Callable[[type, Fields], Any]:
    """Decorates a `decode` so that an error in the received message raises `MalformedMessageError`."""

    @wraps(decode)
    def checked(message_type: type, fields: Fields) -> Any:
        try:
            return decode(message_type, fields)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            raise MalformedMessageError(f"malformed {message_type.__name__}: {error!r}") from error

    return checked


@dataclass(frozen=True, slots=True)
class Neighbour:
    """An entry of a partial view: one process."""

    node: str
    address: Address  # where it listens for other processes of the mesh
    has_storage: bool
    age: int = 0  # shuffles since it introduced itself

    def packed(self) -> list[Any]:
        """Returns its row in a message."""
        return [self.node, list(self.address), self.has_storage, self.age]

    @classmethod
    def decode(cls, row: list[Any]) -> Self:
        """Returns the neighbour that a row describes."""
        node, address, has_storage, age = row
        return cls(str(node), (str(address[0]), int(address[1])), bool(has_storage), int(age))


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message in each direction of a connection: introduces the sender."""

    kind: ClassVar[str] = "hello"
    node: str
    member: str  # its control address; empty if it is not a replica
    address: Address  # where it listens for other processes of the mesh
    replicas: list[Address]  # addresses of replicas that it is connected to
    in_contact: bool  # whether it is a replica in contact with a quorum

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {
            KIND: self.kind,
            NODE: self.node,
            MEMBER: self.member,
            ADDRESS: list(self.address),
            REPLICAS: [list(each) for each in self.replicas],
            IN_CONTACT: self.in_contact,
        }

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        member = fields[MEMBER]
        return cls(
            fields[NODE],
            member,
            tuple(fields[ADDRESS]),
            [tuple(each) for each in fields[REPLICAS]],
            bool(fields[IN_CONTACT]) if member else False,  # ignored in the hello of a sidecar
        )


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive while it sends nothing else."""

    kind: ClassVar[str] = "beat"

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {KIND: self.kind}

    @classmethod
    def decode(cls, fields: Fields) -> Self:
        """Returns a heartbeat, which has no fields of its own."""
        return cls()


@dataclass(frozen=True, slots=True)
class Have:
    """Announces versions of state that the sender holds."""

    kind: ClassVar[str] = "have"
    versions: VersionVector

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {KIND: self.kind, VERSIONS: self.versions}

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        return cls({source: tuple(version) for source, version in fields[VERSIONS].items()})


@dataclass(frozen=True, slots=True)
class Pull:
    """Requests state that the sender lacks."""

    kind: ClassVar[str] = "pull"
    versions: VersionVector  # by requested source: the version that the sender holds
    requested_at: float  # seconds on the sender's clock; returned in the response

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {KIND: self.kind, VERSIONS: self.versions, REQUESTED_AT: self.requested_at}

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        return cls(fields[VERSIONS], fields[REQUESTED_AT])


@dataclass(frozen=True, slots=True)
class PullResponse:
    """The response to a pull: endpoint records, and the number and age of the sender's committed set.

    The items of the committed set are fetched separately, in chunks (`replication/snapshot_transfer.py`).
    """

    kind: ClassVar[str] = "news"
    requested_at: float | None  # as in the pull
    committed_number: tuple[int, str] | None = None  # None: the sender must not announce the committed set
    age_s: float | None = None  # seconds for which the sender may have missed commits; None: unknown
    records: Iterable[list[Any]] | None = None  # packed endpoint records; None: the response has none

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        fields: Fields = {KIND: self.kind, REQUESTED_AT: self.requested_at}
        if self.committed_number is not None:
            fields[COMMITTED_NUMBER], fields[AGE] = self.committed_number, self.age_s
        if self.records is not None:
            fields[RECORDS] = self.records
        return fields

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        if COMMITTED_NUMBER not in fields:
            return cls(fields.get(REQUESTED_AT), records=fields.get(RECORDS))
        number = fields[COMMITTED_NUMBER]
        return cls(fields[REQUESTED_AT], (int(number[0]), str(number[1])), fields[AGE], fields.get(RECORDS))


@dataclass(frozen=True, slots=True)
class QuorumContactChange:
    """Announces that the sending replica gained or lost contact with a quorum."""

    kind: ClassVar[str] = "standing"
    in_contact: bool

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {KIND: self.kind, IN_CONTACT: self.in_contact}

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        return cls(bool(fields[IN_CONTACT]))


@dataclass(frozen=True, slots=True)
class ShuffleRequest:
    """Part of the sender's partial view, its own entry first; sent as a datagram."""

    kind: ClassVar[str] = "shuffle"
    node: str
    neighbours: tuple[Neighbour, ...]

    def packed(self) -> Fields:
        """Returns the fields in the order in which they are sent."""
        return {KIND: self.kind, NODE: self.node, VIEW: [each.packed() for each in self.neighbours]}

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        return cls(fields.get(NODE, ""), _neighbours(fields[VIEW]))


@dataclass(frozen=True, slots=True)
class ShuffleResponse(ShuffleRequest):
    """The response to a shuffle request, with the same fields."""

    kind: ClassVar[str] = "shuffled"

    @classmethod
    @_raises_malformed
    def decode(cls, fields: Fields) -> Self:
        """Decodes received fields; raises `MalformedMessageError`."""
        return cls(fields[NODE], _neighbours(fields[VIEW]))


def _neighbours(rows: Iterable[list[Any]]) -> tuple[Neighbour, ...]:
    return tuple(Neighbour.decode(row) for row in rows)


HEARTBEAT_FIELDS = Heartbeat().packed()
# Used by tests only. Received messages are dispatched by `StateSync.handlers`, `PeerLinks._on_message`
# (hello, quorum contact), `PeerLinks._on_datagram` (shuffles) and `PeerConnection` (heartbeats).
DECODERS: dict[str, Callable[[Fields], Message]] = {
    each.kind: each.decode
    for each in (
        *(Hello, Heartbeat, Have, Pull, PullResponse, QuorumContactChange),
        *(ShuffleRequest, ShuffleResponse),
    )
}


def kind_of(fields: Fields) -> str | None:
    """Returns the kind that a received message names, or None."""
    kind = fields.get(KIND)
    return kind if isinstance(kind, str) else None


def decode_shuffle(fields: Fields) -> ShuffleRequest | ShuffleResponse:
    """Decodes a received datagram; as in all versions, any kind but a response is decoded as a request."""
    if KIND not in fields:
        raise MalformedMessageError(f"datagram without the key {KIND!r}")
    return (ShuffleResponse if fields[KIND] == ShuffleResponse.kind else ShuffleRequest).decode(fields)
