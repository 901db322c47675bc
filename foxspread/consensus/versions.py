"""What the log makes: versions of the rules, each written once. Pure; the same entries give the same
versions.

A version has a number, the digest of its content, who wrote it and why, what it follows and the id of the
request that asked for it. Numbers rise by one. A put may name the number that it expects to be the latest
(compare-and-set); where it is not, it is turned down and told whose version stands there. A put that comes
again with an id that a version has gives that version, and none that is new.
"""

import hashlib

import msgspec

from foxspread.consensus.messages import Row, encoded

CONTENT_MOST = 32 * 1024  # bytes of a version's content
TEXT_MOST = 300  # characters of who and why
KEPT = 20_000  # versions; older ones go, their numbers are not used again


class Put(Row, frozen=True, tag="put"):
    request: str  # drawn by the writer, once for all tries of one put
    content: bytes
    if_version: int = -1  # what must be the latest; -1: whatever is
    who: str = ""
    why: str = ""
    at: float = 0.0  # wall clock of who took it in, for people only
    refusals: int = 0  # how many may turn it down without it being withdrawn


class Version(Row, frozen=True):
    number: int
    digest: str
    content: bytes
    follows: int
    request: str
    who: str
    why: str
    at: float
    refusals: int = 0


class Done(Row, frozen=True):
    version: Version


class Conflict(Row, frozen=True):
    """Not written: `latest` stands where another was expected (None: there is no version yet)."""

    expected: int
    latest: Version | None


class Misused(Row, frozen=True):
    """Not written: the request's id was used for another content."""

    version: Version


class State(Row):
    latest: int
    versions: list[Version]


def digest(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


class Versions:
    def __init__(self) -> None:
        self.latest = 0
        self.by_number: dict[int, Version] = {}
        self.by_request: dict[str, int] = {}

    def apply(self, body: bytes) -> Done | Conflict | Misused:
        return self.put(msgspec.msgpack.decode(body, type=Put))

    def put(self, put: Put) -> Done | Conflict | Misused:
        found = self.by_number.get(self.by_request.get(put.request, 0))
        if found is not None:
            return Done(found) if found.digest == digest(put.content) else Misused(found)
        if put.if_version not in (-1, self.latest):
            return Conflict(put.if_version, self.by_number.get(self.latest))
        version = Version(
            self.latest + 1,
            digest(put.content),
            put.content,
            self.latest,
            put.request,
            put.who,
            put.why,
            put.at,
            put.refusals,
        )
        self._add(version)
        return Done(version)

    def _add(self, version: Version) -> None:
        self.latest = version.number
        self.by_number[version.number] = version
        self.by_request[version.request] = version.number
        if (old := self.by_number.pop(version.number - KEPT, None)) is not None:
            self.by_request.pop(old.request, None)

    def get(self, number: int = 0) -> Version | None:
        """The latest (0) or the one with this number."""
        return self.by_number.get(number or self.latest)

    def saved(self) -> bytes:
        return encoded(State(self.latest, list(self.by_number.values())))

    def restore(self, data: bytes) -> None:
        state = msgspec.msgpack.decode(data, type=State) if data else State(0, [])
        self.__init__()
        for version in state.versions:
            self._add(version)
        self.latest = state.latest
