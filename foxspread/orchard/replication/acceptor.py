"""What a machine with a disk promises and holds: an acceptor of one register whose value is the whole set of
items. docs/design/orchard.md has the argument. Everything returned under `writes` has to be on disk before
any message returned with it or later goes out; the adapter keeps that order and decides nothing.

The register's value at a ballot is the settled set and a delta over it. A settled ballot is one that a
majority has accepted; each later value extends it, so a delta over an older settled set may be laid over a
newer one.

A disk that comes back empty has forgotten promises and acceptances. It gets a new identity, above any that
others have noted for its machine, and takes part again only when so many others have noted that one that each
majority it may have been part of is met: what they told while noting holds all that it may have promised and
accepted. Each answer names the identities that are known where it was given; one that another answer knows to
be gone counts for nothing, so that no majority is made of what was told before a wipe and after.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from foxspread.orchard.configuration.items import Item, Key, unpacked
from foxspread.orchard.replication.copy import NONE, Ballot, Copy, ballot, row, unrow

Message = dict[str, Any]
Write = tuple  # ("meta", name, value), ("items", rows) or ("drop", keys of items)
Identity = Ballot  # of a disk: a number, 0 on the first start of all, and chance
Answer = tuple[list[Write], Message | None, list[Item]]  # written, then sent; settled items that are new here


@dataclass
class Saved:
    """What was found on a disk."""

    disk: Identity
    members: tuple[str, ...]
    promised: Ballot = NONE
    settled: Ballot = NONE
    accepted: Ballot = NONE
    rows: list = field(default_factory=list)
    delta: list = field(default_factory=list)
    disks: dict[str, Identity] = field(default_factory=dict)
    voting: bool = False
    known: bool = False  # who the members are is known for sure, not only from seeds
    boots: int = 0  # how often this disk has been opened, this time included; 0: by an older release only

    @classmethod
    def found(cls, meta: dict[str, Any], rows: list) -> "Saved":
        """What `Write`s have left behind."""
        accepted, delta = meta.get("accepted", [[0, ""], []])
        return cls(
            ballot(meta["disk"]),
            tuple(meta["members"]),
            tuple(meta.get("promised", NONE)),
            tuple(meta.get("settled", NONE)),
            tuple(accepted),
            rows,
            delta,
            {member: ballot(disk) for member, disk in meta.get("disks", {}).items()},
            meta["voting"],
            meta["known"],
            meta.get("boots", 0),
        )


def sound(answers: Mapping[str, Message]) -> dict[str, Message]:
    """Without those of disks that another of them knows to be gone."""
    newest: dict[str, Identity] = {}
    for each in answers.values():
        for member, disk in each["disks"].items():
            newest[member] = max(newest.get(member, NONE), ballot(disk))
    return {m: each for m, each in answers.items() if ballot(each["disks"][m]) == newest[m]}


class Acceptor:
    def __init__(self, me: str, saved: Saved) -> None:
        self.me, self.disk, self.members = me, saved.disk, tuple(sorted(saved.members))
        self.promised, self.accepted = saved.promised, saved.accepted
        self.copy = Copy()
        self.copy.fold(saved.settled, map(unrow, saved.rows))
        self.delta: dict[Key, Item] = {item.key: item for item in map(unpacked, saved.delta)}
        self.disks, self.voting, self.known = dict(saved.disks), saved.voting, saved.known
        self.enrolled: dict[str, Message] = {}

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    @property
    def enough_to_enrol(self) -> int:
        """So many others meet each majority that one's forgotten disk was part of."""
        return len(self.members) - self.majority + 1

    @property
    def serves(self) -> bool:
        """It may speak for the state: it votes, or is a mere copy beside those that do."""
        return self.known and (self.voting or self.me not in self.members)

    @property
    def disks_known(self) -> dict[str, Identity]:
        return {**self.disks, self.me: self.disk}

    @property
    def unsettled(self) -> bool:
        return self.accepted > self.copy.upto

    def first(self) -> list[Write]:
        """What a new disk is to hold before anything else."""
        return [
            ("meta", "disk", self.disk),
            ("meta", "members", list(self.members)),
            ("meta", "voting", self.voting),
            ("meta", "known", self.known),
        ]

    # As an acceptor.

    def prepare(self, message: Message) -> Answer:
        if not self.voting:
            return [], None, []
        asked = ballot(message["b"])
        if asked < self.promised:
            return [], self._nack(asked), []
        writes = self._promise(asked)
        return (
            writes,
            {
                "t": "promise",
                "b": asked,
                "acc": self.accepted,
                "s": self.copy.upto,
                "disks": self.disks_known,
                "delta": [item.packed() for item in self.delta.values()],
                "ahead": self._ahead(ballot(message["s"])),
            },
            [],
        )

    def accept(self, message: Message) -> Answer:
        if not self.voting:
            return [], None, []
        asked, base = ballot(message["b"]), ballot(message["s"])
        promised_by = {member: ballot(disk) for member, disk in message["disks"].items()}
        if asked < self.promised or any(promised_by.get(m, d) < d for m, d in self.disks_known.items()):
            return [], self._nack(asked), []
        writes: list[Write] = []
        new: list[Item] = []
        if self.copy.upto < base:
            if ballot(message.get("since", NONE)) > self.copy.upto or "ahead" not in message:
                return [], {"t": "behind", "b": asked, "s": self.copy.upto}, []
            writes, new = self.learn(base, map(unrow, message["ahead"]))
        writes += self._promise(asked)
        if asked > self.copy.upto:
            self.accepted = asked
            self.delta = {item.key: item for item in map(unpacked, message["delta"])}
            writes.append(self._accepted())
        return writes, {"t": "accepted", "b": asked, "disks": self.disks_known}, new

    def enrol(self, sender: str, message: Message) -> Answer:
        """Notes the new identity of a disk that came back empty, and tells all that is held, as of after
        that; a later identity than the one that asks is told as well."""
        if not self.voting:
            return [], None, []
        disk = max(ballot(message["disk"]), self.disks.get(sender, NONE))
        if sender in self.members:
            self.disks[sender] = disk
        return (
            [("meta", "disks", dict(self.disks))],
            {
                "t": "enrolled",
                "disk": disk,
                "promised": self.promised,
                "s": self.copy.upto,
                "acc": self.accepted,
                "delta": [item.packed() for item in self.delta.values()],
                "rows": [row(*each) for each in self.copy.since(NONE)],
                "disks": self.disks_known,
                "members": list(self.members),
            },
            [],
        )

    def _promise(self, asked: Ballot) -> list[Write]:
        if asked <= self.promised:
            return []
        self.promised = asked
        return [("meta", "promised", asked)]

    def _accepted(self) -> Write:
        return ("meta", "accepted", [self.accepted, [item.packed() for item in self.delta.values()]])

    def _nack(self, asked: Ballot) -> Message:
        return {"t": "nack", "b": asked, "promised": self.promised}

    def _ahead(self, since: Ballot) -> list:
        return [row(*each) for each in self.copy.since(since)] if self.copy.upto > since else []

    # As one that learns what is settled.

    def learn(self, upto: Ballot, rows: Iterable[tuple[Item, Ballot]]) -> tuple[list[Write], list[Item]]:
        """All that changed in the settled set since this copy, at the least. An older acceptance yields to
        it."""
        if upto <= self.copy.upto:
            return [], []
        rows = list(rows)
        new = self.copy.fold(upto, rows)
        writes: list[Write] = [("items", [row(*each) for each in rows]), ("meta", "settled", upto)]
        writes += self._promise(upto)
        if self.accepted <= upto:
            self.accepted, self.delta = upto, {}
            writes.append(self._accepted())
        return writes, new

    def settle(self, at: Ballot) -> tuple[list[Write], list[Item]] | None:
        """What was accepted here at that ballot is settled; None where something else was accepted last."""
        if self.accepted != at or at <= self.copy.upto:
            return None
        return self.learn(at, [(item, at) for item in self.delta.values()])

    # As one whose disk came back empty.

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        """An answer to `enrol`; None until enough have come. Then it is caught up, and votes from then on."""
        noted = ballot(message["disk"])
        if self.known or noted < self.disk:
            return None
        if noted > self.disk:  # of this machine's earlier disk: this one has to stand above it
            self.disk, self.enrolled = (noted[0] + 1, self.disk[1]), {}
            return [("meta", "disk", self.disk)], []
        self.members = tuple(sorted(message["members"]))
        if self.me not in self.members:
            self.known = True
            writes, new = self.learn(ballot(message["s"]), map(unrow, message["rows"]))
            return [*self.first(), *writes], new
        self.enrolled[sender] = message
        others = [
            each for member, each in self.enrolled.items() if member in self.members and member != self.me
        ]
        if len(others) < self.enough_to_enrol:
            return None
        best = max(others, key=lambda each: ballot(each["s"]))
        writes, new = self.learn(ballot(best["s"]), map(unrow, best["rows"]))
        writes += self._promise(max(ballot(each["promised"]) for each in others))
        last = max(others, key=lambda each: ballot(each["acc"]))
        if ballot(last["acc"]) > self.copy.upto:
            self.accepted = ballot(last["acc"])
            self.delta = {item.key: item for item in map(unpacked, last["delta"])}
            writes.append(self._accepted())
        for each in others:
            for member, disk in each["disks"].items():
                if member != self.me:
                    self.disks[member] = max(ballot(disk), self.disks.get(member, NONE))
        self.voting, self.known, self.enrolled = True, True, {}
        return [*self.first(), *writes, ("meta", "disks", dict(self.disks))], new
