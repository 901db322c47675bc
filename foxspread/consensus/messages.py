"""What coordinators say to each other and write to disk: plain records, in msgpack by msgspec.

Every message travels in an `Envelope` with the fleet's id, the format's version and the stamp of its sender,
so that strangers, other versions and disks that are not what they were are found before anything is read
further.
"""

from typing import Any

import msgspec

FORMAT = 1  # of envelopes and of what is on disk; another one is refused by name
PIECE = 24 * 1024  # bytes of a snapshot in one message
BATCH = 48 * 1024  # bytes of entries in one message, unless one alone is longer
BODY_MOST = 40 * 1024  # bytes of one entry


class Row(msgspec.Struct, array_like=True):
    """Written by position: small, and a field more at the end is read by none but those that know it."""


class Seat(Row, frozen=True):
    """A member as all know it. One that is not a voter is catching up. `since`: index of the entry that added
    it; one that is removed and added anew has another."""

    address: str
    voter: bool = True
    since: int = 0


Members = dict[str, Seat]


class Entry(Row, frozen=True):
    """One place of the log: a command for what is agreed on, the members from here on, or neither."""

    term: int
    body: bytes = b""
    members: Members | None = None

    def size(self) -> int:
        return len(self.body) + 32 + (64 * len(self.members) if self.members else 0)


class Stamp(Row, frozen=True):
    """What a disk is known by. `count` rises with each write that was confirmed; a disk that is wiped, copied
    or put back to an earlier state can't show what others have seen of it."""

    identity: str  # drawn once for each disk
    generation: int  # starts of a process on it
    run: str  # drawn at each start
    began: int  # count at that start
    count: int
    since: int = -1  # of the seat that it takes itself to have; -1: it knows of none


class Known(Row, frozen=True):
    """What was last seen of a member's disk, and the seat that it was seen in."""

    stamp: Stamp
    since: int


class AskVote(Row, frozen=True, tag="ask_vote"):
    """Would it be given (pre), is it given: a vote for `term`. `handed`: the leader itself asked for this."""

    term: int
    last: int
    last_term: int
    pre: bool = False
    handed: bool = False


class Vote(Row, frozen=True, tag="vote"):
    term: int
    granted: bool
    pre: bool = False


class Append(Row, frozen=True, tag="append"):
    """A leader's entries after `previous`, and its word that it still leads; `round` comes back in the
    answer."""

    term: int
    previous: int
    previous_term: int
    entries: list[Entry]
    committed: int
    round: int
    seat: int = -1  # of whom it goes to, as the leader knows it...
    identity: str = ""  # ... and that one's disk, once it was heard
    known: dict[str, Known] = {}


class Appended(Row, frozen=True, tag="appended"):
    """Agreed: all up to `index` is the leader's. Otherwise: try again from after `index`."""

    term: int
    agreed: bool
    index: int
    round: int


class Install(Row, frozen=True, tag="install"):
    """A piece of a snapshot that stands for all entries up to `index`."""

    term: int
    index: int
    index_term: int
    members: Members
    members_at: int
    at: int
    data: bytes
    whole: bool  # this is its last piece
    round: int
    seat: int = -1
    identity: str = ""


class Installed(Row, frozen=True, tag="installed"):
    """What of the snapshot has come: the next piece is the one at `at`."""

    term: int
    index: int
    at: int
    round: int


class HandOver(Row, frozen=True, tag="hand_over"):
    """The leader asks this one to be elected at once."""

    term: int


class ReadAsk(Row, frozen=True, tag="read_ask"):
    """A follower's read, asked of the leader: what is committed as of now? `run` and `token` come back."""

    term: int
    run: str
    token: int


class ReadIs(Row, frozen=True, tag="read_is"):
    """All up to `index` was committed when it was asked, and no more; not `led`: this one can't tell."""

    term: int
    run: str
    token: int
    index: int
    led: bool


class Note(Row, frozen=True, tag="note"):
    """Something between the hosts of two members; the core only carries it. It may be lost, late or twice."""

    term: int
    body: bytes


class Hello(Row, frozen=True, tag="hello"):
    """Asked at each start: does anybody know of later writes of mine?"""


class Welcome(Row, frozen=True, tag="welcome"):
    run: str


class Objection(Row, frozen=True, tag="objection"):
    """The sender knows more of this disk than the disk does. Holds for that one run of the process."""

    run: str
    why: str
    members_at: int  # index of the members that the sender knows
    since: int  # as the stamp said that is objected to


Message = (
    AskVote
    | Vote
    | Append
    | Appended
    | Install
    | Installed
    | HandOver
    | ReadAsk
    | ReadIs
    | Note
    | Hello
    | Welcome
    | Objection
)


class Envelope(Row, frozen=True):
    fleet: str
    format: int
    sender: str
    to: str
    stamp: Stamp
    message: Message


class Snapshot(Row, frozen=True):
    """All that the entries up to `index` have made, as bytes of whoever applies them."""

    index: int = 0
    term: int = 0
    members: Members = {}
    members_at: int = 0  # index of the entry that named them
    data: bytes = b""


class Write(Row, frozen=True):
    """One record for the disk. What it holds is to be there whole or not at all, after all earlier ones."""

    number: int
    term: int
    vote: str
    known: dict[str, Known]
    retired: dict[str, str]  # identities of disks whose members were removed
    barred: str
    first: int = 0  # entries replace all from this index on; 0: the log stays
    entries: list[Entry] = []
    snapshot: Snapshot | None = None  # entries up to its index go
    kept: bool = True  # the log after the snapshot's index is kept
    seat: int = -1  # `Seat.since` of the seat that this disk was made for; -1: not known yet


class Saved(msgspec.Struct):
    """What a disk holds when a process starts on it. `generation` already counts this start."""

    identity: str
    generation: int
    count: int = 0
    term: int = 0
    vote: str = ""
    known: dict[str, Known] = {}
    retired: dict[str, str] = {}
    barred: str = ""
    seat: int = -1
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = []

    def apply(self, write: Write) -> None:
        """What the disk does with a record; the simulated disk and the tests' use it, SQLite has its own."""
        self.term, self.vote, self.barred = write.term, write.vote, write.barred
        self.known, self.retired, self.seat = write.known, write.retired, write.seat
        self.count += 1
        base = self.snapshot.index
        if write.snapshot is not None:
            gone = max(0, write.snapshot.index - base)
            self.entries = self.entries[gone:] if write.kept else []
            self.snapshot, base = write.snapshot, write.snapshot.index
        if write.first:
            self.entries = self.entries[: write.first - base - 1] + list(write.entries)


class Foreign(Exception):
    """A message that is not for this member, by its fleet, format or addressee."""


ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)


def encoded(value: Any) -> bytes:
    return ENCODER.encode(value)


def envelope(data: bytes, fleet: str, me: str) -> Envelope:
    """Raises `Foreign` with what is at fault. The format is looked at before the rest is read."""
    try:
        head = msgspec.msgpack.decode(data)
        told_fleet, told_format = head[0], head[1]
    except (msgspec.DecodeError, LookupError, TypeError):
        raise Foreign("no message of ours") from None
    if told_format != FORMAT:
        raise Foreign(f"format {repr(told_format)[:20]}, this member speaks {FORMAT}")
    if told_fleet != fleet:
        raise Foreign(f"fleet {str(told_fleet)[:60]!r}, this one is {fleet!r}")
    try:
        found = DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise Foreign(f"a message that can't be read: {error}") from None
    if found.to != me:
        raise Foreign(f"addressed to {found.to[:60]!r}, this member is {me!r}")
    return found
