"""Items: the units in which the configuration is changed, agreed on and stored.

Each route, each service and the single `limits` item has a name, a version and a content, or is a tombstone,
which means that it was dropped at that version. The highest version is in force, whether it sets or drops. A
tombstone is kept, since an older change may still arrive (last writer wins by version, as in a key-value
store).

The rows that `packed` returns are sent and stored: their kinds, order and spelling are fixed.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

Key = tuple[str, str]  # kind and name

# Kinds that the operator sets.
ROUTE, SERVICE, LIMITS = "route", "service", "limits"
OPERATOR_KINDS = frozenset({ROUTE, SERVICE, LIMITS})
# Kinds that the mesh sets itself. COMPACTION items tell which tombstones and refusals have been removed.
MEMBERS, LEASE, REFUSED, COMPACTION = "members", "lease", "refused", "kept"
SIDECAR_KINDS = OPERATOR_KINDS | {MEMBERS}  # sent to sidecars, as is the COMPACTION item of tombstones

# Names of the COMPACTION items, and the keys of their contents.
TOMBSTONES, REFUSALS = "dropped", "refused"
FLOOR, COLLECTED_AT = "floor", "at"  # keys of TOMBSTONES: a version, and a proposal number
REFUSED_BEFORE = "t"  # key of REFUSALS: seconds of the agreed clock


class SupersededVersions(NamedTuple):
    """Confirmed contents of the versions of an item below its current one.

    `digests` has each confirmed version above `floor` with the digest of its content, in ascending order;
    nothing is known of versions up to `floor`.
    """

    floor: int = 0
    digests: tuple[tuple[int, str], ...] = ()

    def digest_of(self, version: int) -> str | None:
        """Returns the digest confirmed under this version; None if there is none or it is not known."""
        return dict(self.digests).get(version)


NONE_SUPERSEDED = SupersededVersions()


@dataclass(frozen=True, slots=True)
class Item:
    """One version of one part of the configuration."""

    kind: str
    name: str
    version: int
    content: Any  # JSON as the operator sent it, for a route with its host added; None: dropped
    superseded: SupersededVersions = NONE_SUPERSEDED  # on replicas only, since only they admit changes

    @property
    def key(self) -> Key:
        """Kind and name, which identify the item across its versions."""
        return self.kind, self.name

    @property
    def without_history(self) -> "Item":
        """The item without its superseded versions, as it is sent to sidecars."""
        if self.superseded == NONE_SUPERSEDED:
            return self
        return Item(self.kind, self.name, self.version, self.content)

    def packed(self) -> list:
        """Returns the row that is sent and stored."""
        row = [self.kind, self.name, self.version, self.content]
        return row if self.superseded == NONE_SUPERSEDED else [*row, list(self.superseded)]


class Refusal(NamedTuple):
    """Content of a REFUSED item; the order of the fields is that of the row on the wire and on disk."""

    status: int
    reason: str
    refused_at: float  # seconds of the agreed clock

    @classmethod
    def from_item(cls, item: Item) -> "Refusal":
        """Returns the refusal in the content of a REFUSED item."""
        return cls(*item.content[:3])


def unpack_item(row: list) -> Item:
    """Returns the item for a row made by `Item.packed`."""
    if len(row) <= 4:
        return Item(*row)
    floor, digests = row[4][:2]
    return Item(*row[:4], SupersededVersions(floor, tuple((version, digest) for version, digest in digests)))


def is_for_sidecars(item: Item) -> bool:
    """Returns whether the item is sent to sidecars."""
    return item.kind in SIDECAR_KINDS or (item.kind == COMPACTION and item.name == TOMBSTONES)
