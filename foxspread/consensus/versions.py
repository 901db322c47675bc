"""The replicated state machine of the coordinators: immutable, numbered versions of the rules.

The state machine is deterministic: the same log entries produce the same versions on each node. Numbers rise
by one. A put may state the number that it expects to be the latest (compare-and-set); if that is not the
latest, nothing is written and the result contains the latest version. A put is idempotent by its request id:
a repeated put returns the version that the first one wrote.
"""

import hashlib

import msgspec

from foxspread.consensus import wire_tags
from foxspread.consensus.records import ArrayStruct
from foxspread.consensus.wire import encode

MAX_CONTENT_BYTES = 32 * 1024  # so that a version fits into one log entry
MAX_TEXT_CHARACTERS = 300  # of `author` and `comment`
MAX_VERSIONS = 20_000  # older versions are dropped, and their numbers never reused
ANY_VERSION = -1  # `PutVersion.if_version` of an unconditional put


class PutVersion(ArrayStruct, frozen=True, tag=wire_tags.PUT_VERSION):
    """The command that writes a version.

    request_id: id that the writer chooses once for all attempts of one put.
    content: the version's content.
    if_version: number that the latest version must have; 0 if there must be none yet; or `ANY_VERSION`.
    author, comment: texts for human readers.
    written_at: Unix time at which a coordinator received the put.
    max_refusals: number of sidecars that may refuse the version without causing its withdrawal.
    """

    request_id: str
    content: bytes
    if_version: int = ANY_VERSION
    author: str = ""
    comment: str = ""
    written_at: float = 0.0
    max_refusals: int = 0


class Version(ArrayStruct, frozen=True):
    """One version.

    digest: SHA-256 of `content` in hexadecimal.
    previous: number of the version before it; 0 if there is none.
    The other fields are as in `PutVersion`.
    """

    number: int
    digest: str
    content: bytes
    previous: int
    request_id: str
    author: str
    comment: str
    written_at: float
    max_refusals: int = 0


class VersionWritten(ArrayStruct, frozen=True):
    """The put wrote `version`, in this attempt or an earlier one."""

    version: Version


class VersionConflict(ArrayStruct, frozen=True):
    """Nothing was written: the latest version is not `expected`, but `latest` (None: there is none yet)."""

    expected: int
    latest: Version | None


class RequestIdReused(ArrayStruct, frozen=True):
    """Nothing was written: the request id belongs to `version`, which has a different content."""

    version: Version


PutResult = VersionWritten | VersionConflict | RequestIdReused


class VersionHistory(ArrayStruct):
    """The store's state in a snapshot."""

    latest: int
    versions: list[Version]


def digest(content: bytes) -> str:
    """Returns the SHA-256 of a content in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


class VersionStore:
    """The versions that result from the log."""

    def __init__(self) -> None:
        self.latest = 0
        self.by_number: dict[int, Version] = {}
        self.number_by_request_id: dict[str, int] = {}

    def apply(self, body: bytes) -> PutResult:
        """Applies the command of a log entry."""
        return self.put(msgspec.msgpack.decode(body, type=PutVersion))

    def put(self, put: PutVersion) -> PutResult:
        """Writes a version, unless the put is a repetition or conflicts with the latest version."""
        existing = self.by_number.get(self.number_by_request_id.get(put.request_id, 0))
        if existing is not None:
            same_content = existing.digest == digest(put.content)
            return VersionWritten(existing) if same_content else RequestIdReused(existing)
        if put.if_version not in (ANY_VERSION, self.latest):
            return VersionConflict(put.if_version, self.by_number.get(self.latest))
        version = Version(
            self.latest + 1,
            digest(put.content),
            put.content,
            self.latest,
            put.request_id,
            put.author,
            put.comment,
            put.written_at,
            put.max_refusals,
        )
        self._add(version)
        return VersionWritten(version)

    def _add(self, version: Version) -> None:
        self.latest = version.number
        self.by_number[version.number] = version
        self.number_by_request_id[version.request_id] = version.number
        if (dropped := self.by_number.pop(version.number - MAX_VERSIONS, None)) is not None:
            self.number_by_request_id.pop(dropped.request_id, None)

    def get(self, number: int = 0) -> Version | None:
        """Returns the version with this number, or the latest one (0); None if it doesn't exist."""
        return self.by_number.get(number or self.latest)

    def encode_snapshot(self) -> bytes:
        """Returns the encoded state for a snapshot."""
        return encode(VersionHistory(self.latest, list(self.by_number.values())))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; empty `data` stands for a store without versions."""
        history = msgspec.msgpack.decode(data, type=VersionHistory) if data else VersionHistory(0, [])
        self.__init__()
        for version in history.versions:
            self._add(version)
        self.latest = history.latest
