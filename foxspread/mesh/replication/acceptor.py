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

Who the members are is part of the value, with an epoch. What names an epoch that is over here is answered
with what it lacks, and neither promised nor accepted.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.configuration.items import MEMBERS, Item, Key, unpack_item
from foxspread.mesh.replication.learner import (
    NONE,
    ProposalNumber,
    Learner,
    unpack_proposal_number,
    pack_row,
    unpack_row,
)
from foxspread.mesh.replication.membership import MemberSet, enrolment_quorum, member_set_of

Message = dict[str, Any]
Write = tuple  # ("meta", name, value), ("items", rows) or ("drop", keys of items)
Identity = ProposalNumber  # of a disk: a number, 0 on the first start of all, and chance
Answer = tuple[list[Write], Message | None, list[Item]]  # written, then sent; settled items that are new here
AHEAD_MOST = 256  # rows that a message brings along; whoever lacks more takes them in pieces
DISKS_MOST = 64  # identities noted of machines, members first
MEMBERS_KEY = (MEMBERS, MEMBERS)


@dataclass
class Saved:
    """What was found on a disk."""

    disk: Identity
    members: tuple[str, ...]  # those of epoch 0, or seeds
    promised: ProposalNumber = NONE
    committed: ProposalNumber = NONE
    accepted: ProposalNumber = NONE
    rows: list = field(default_factory=list)
    delta: list = field(default_factory=list)
    disks: dict[str, Identity] = field(default_factory=dict)
    voting: bool = False
    known: bool = False  # who the members are is known for sure, not only from seeds
    start_count: int = (
        0  # how often this disk has been opened, this time included; 0: by an older release only
    )

    @classmethod
    def found(cls, meta: dict[str, Any], rows: list) -> "Saved":
        """What `Write`s have left behind."""
        accepted, delta = meta.get("accepted", [[0, ""], []])
        return cls(
            unpack_proposal_number(meta["disk"]),
            tuple(meta["members"]),
            tuple(meta.get("promised", NONE)),
            tuple(meta.get("settled", NONE)),
            tuple(accepted),
            rows,
            delta,
            {member: unpack_proposal_number(disk) for member, disk in meta.get("disks", {}).items()},
            meta["voting"],
            meta["known"],
            meta.get("boots", 0),
        )


def sound(answers: Mapping[str, Message]) -> dict[str, Message]:
    """Without those of disks that another of them knows to be gone."""
    newest: dict[str, Identity] = {}
    for each in answers.values():
        for member, disk in each["disks"].items():
            newest[member] = max(newest.get(member, NONE), unpack_proposal_number(disk))
    return {m: each for m, each in answers.items() if unpack_proposal_number(each["disks"][m]) == newest[m]}


class Acceptor:
    def __init__(self, me: str, saved: Saved) -> None:
        self.me, self.disk, self.seeds = me, saved.disk, MemberSet(0, tuple(sorted(saved.members)))
        self.promised, self.accepted = saved.promised, saved.accepted
        self.learner = Learner()
        self.learner.fold(saved.committed, map(unpack_row, saved.rows))
        self.delta: dict[Key, Item] = {item.key: item for item in map(unpack_item, saved.delta)}
        self.disks, self.voting, self.known = dict(saved.disks), saved.voting, saved.known
        self.enrolled: dict[str, Message] = {}
        self.start_count = saved.start_count
        self.target: ProposalNumber | None = (
            None  # enrolled: it votes once it holds what was settled up to this
        )

    @property
    def members(self) -> MemberSet:
        """The set that was settled last, as far as known here."""
        held = self.learner.items.get(MEMBERS_KEY)
        return member_set_of(held) if held is not None else self.seeds

    @property
    def epoch(self) -> int:
        held = self.learner.items.get(MEMBERS_KEY)
        return held.version if held is not None else 0

    @property
    def serves(self) -> bool:
        """It may speak for the state: all that it ever promised is known to it."""
        return self.known and self.voting

    @property
    def disks_known(self) -> dict[str, Identity]:
        return {**self.disks, self.me: self.disk}

    @property
    def uncommitted(self) -> bool:
        return self.accepted > self.learner.committed_number

    def first(self) -> list[Write]:
        """What a new disk is to hold before anything else."""
        return [
            ("meta", "disk", self.disk),
            ("meta", "members", list(self.seeds.of)),
            ("meta", "voting", self.voting),
            ("meta", "known", self.known),
        ]

    # As an acceptor.

    def prepare(self, message: Message) -> Answer:
        if not self.voting:
            return [], None, []
        asked = unpack_proposal_number(message["b"])
        if message["e"] < self.epoch:
            return [], self._stale(message), []
        if asked < self.promised:
            return [], self._nack(asked), []
        writes = self._promise(asked)
        return (
            writes,
            {
                "t": "promise",
                "b": asked,
                "acc": self.accepted,
                "s": self.learner.committed_number,
                "disks": self.disks_known,
                "delta": [item.packed() for item in self.delta.values()],
                "ahead": self.rows(unpack_proposal_number(message["s"])),
            },
            [],
        )

    def accept(self, message: Message) -> Answer:
        if not self.voting:
            return [], None, []
        asked, base = unpack_proposal_number(message["b"]), unpack_proposal_number(message["s"])
        if message["e"] < self.epoch:
            return [], self._stale(message), []
        promised_by = {member: unpack_proposal_number(disk) for member, disk in message["disks"].items()}
        if asked < self.promised or any(promised_by.get(m, d) < d for m, d in self.disks_known.items()):
            return [], self._nack(asked), []
        writes: list[Write] = []
        new: list[Item] = []
        if self.learner.committed_number < base:
            if (
                message.get("ahead") is None
                or unpack_proposal_number(message["since"]) > self.learner.committed_number
            ):
                return [], {"t": "behind", "b": asked, "s": self.learner.committed_number}, []
            writes, new = self.learn(base, map(unpack_row, message["ahead"]))
        writes += self._promise(asked)
        if asked > self.learner.committed_number:
            self.accepted = asked
            self.delta = {item.key: item for item in map(unpack_item, message["delta"])}
            writes.append(self._accepted())
        return writes, {"t": "accepted", "b": asked, "disks": self.disks_known}, new

    def enrol(self, sender: str, message: Message) -> Answer:
        """Notes the new identity of a disk that came back empty, and tells what is promised and accepted, as
        of after that; a later identity than the one that asks is told as well."""
        if not self.voting:
            return [], None, []
        disk = max(unpack_proposal_number(message["disk"]), self.disks.get(sender, NONE))
        return (
            [self._note({sender: disk})],
            {
                "t": "enrolled",
                "disk": disk,
                "promised": self.promised,
                "s": self.learner.committed_number,
                "acc": self.accepted,
                "delta": [item.packed() for item in self.delta.values()],
                "rows": self.rows(NONE),
                "disks": self.disks_known,
                "epoch": self.epoch,
                "members": list(self.members.of),
            },
            [],
        )

    def _note(self, disks: Mapping[str, Identity]) -> Write:
        for member, disk in disks.items():
            if member != self.me:
                self.disks[member] = max(disk, self.disks.pop(member, NONE))
        if len(self.disks) > DISKS_MOST:
            members = self.members
            others = [member for member in self.disks if member not in members]
            for member in others[: len(self.disks) - DISKS_MOST]:
                del self.disks[member]  # noted longest ago; it is agreed anew before it may be a member
        return ("meta", "disks", dict(self.disks))

    def _promise(self, asked: ProposalNumber) -> list[Write]:
        if asked <= self.promised:
            return []
        self.promised = asked
        return [("meta", "promised", asked)]

    def _accepted(self) -> Write:
        return ("meta", "accepted", [self.accepted, [item.packed() for item in self.delta.values()]])

    def _nack(self, asked: ProposalNumber) -> Message:
        return {"t": "nack", "b": asked, "promised": self.promised}

    def _stale(self, message: Message) -> Message:
        """To one that names an epoch that is over."""
        return {
            "t": "stale",
            "b": unpack_proposal_number(message["b"]),
            "s": self.learner.committed_number,
            "ahead": self.rows(unpack_proposal_number(message["s"])),
        }

    def rows(self, since: ProposalNumber) -> list | None:
        """What has changed since then; None where that is too much for a message."""
        if NONE < since < self.learner.horizon:
            return None  # what was dropped since may be gone without a trace
        found = self.learner.since(since) if self.learner.committed_number > since else []
        return [pack_row(*each) for each in found] if len(found) <= AHEAD_MOST else None

    # As one that learns what is settled.

    def learn(
        self,
        committed_number: ProposalNumber,
        rows: Iterable[tuple[Item, ProposalNumber]],
        whole: bool = False,
    ) -> tuple[list[Write], list[Item]]:
        """All that changed in the settled set since this copy, at the least. An older acceptance yields to
        it. With it, one that has enrolled may hold all that it waits for. `whole`: the rows are the whole
        set, in the place of this copy, which knows too little of what was dropped."""
        if committed_number <= self.learner.committed_number:
            return [], []
        rows = list(rows)
        new = (
            self.learner.replace(committed_number, rows)
            if whole
            else self.learner.fold(committed_number, rows)
        )
        held = [pack_row(*each) for each in rows if each[0].key in self.learner.items]
        writes: list[Write] = [("items", held), ("meta", "settled", committed_number)]
        if self.learner.collected:
            writes.append(("drop", [list(key) for key in self.learner.collected]))
        writes += self._promise(committed_number)
        if self.accepted <= committed_number:
            self.accepted, self.delta = committed_number, {}
            writes.append(self._accepted())
        for item in new:
            if item.key == MEMBERS_KEY:
                told = item.content.get("disks", {})
                writes.append(
                    self._note({member: unpack_proposal_number(disk) for member, disk in told.items()})
                )
        return [*writes, *self._caught_up()], new

    def _caught_up(self) -> list[Write]:
        if self.target is None or self.learner.committed_number < self.target:
            return []
        self.target, self.voting, self.known, self.enrolled = None, True, True, {}
        return self.first()

    def commit(self, at: ProposalNumber) -> tuple[list[Write], list[Item]] | None:
        """What was accepted here at that ballot is settled; None where something else was accepted last."""
        if self.accepted != at or at <= self.learner.committed_number:
            return None
        return self.learn(at, [(item, at) for item in self.delta.values()])

    # As one whose disk came back empty.

    def take_in(self, sender: str, message: Message) -> tuple[list[Write], list[Item]] | None:
        """An answer to `enrol`; None until enough have come. Then what it may have promised and accepted is
        known again; it votes from when it holds all that was settled by then."""
        noted = unpack_proposal_number(message["disk"])
        if self.known or self.target is not None or noted < self.disk:
            return None
        if noted > self.disk:  # of this machine's earlier disk: this one has to stand above it
            self.disk, self.enrolled = (noted[0] + 1, self.disk[1]), {}
            return [("meta", "disk", self.disk)], []
        self.enrolled[sender] = message
        others = {member: each for member, each in self.enrolled.items() if member != self.me}
        sets = self.to_enrol_with()
        for members in sets:
            if sum(member in others for member in members.of) < self.enough(members):
                return None
        best = max(others.values(), key=lambda each: unpack_proposal_number(each["s"]))
        writes = self._promise(max(unpack_proposal_number(each["promised"]) for each in others.values()))
        last = max(others.values(), key=lambda each: unpack_proposal_number(each["acc"]))
        if unpack_proposal_number(last["acc"]) > max(self.learner.committed_number, self.accepted):
            self.accepted = unpack_proposal_number(last["acc"])
            self.delta = {item.key: item for item in map(unpack_item, last["delta"])}
            writes.append(self._accepted())
        for each in others.values():
            writes.append(
                self._note({member: unpack_proposal_number(disk) for member, disk in each["disks"].items()})
            )
        if sets[0].epoch == 0:
            self.seeds = sets[0]
        self.target, new = unpack_proposal_number(best["s"]), []
        if best["rows"] is not None:
            more, new = self.learn(self.target, map(unpack_row, best["rows"]))
            writes += more
        return [*writes, *self._caught_up()], new

    def enough(self, members: MemberSet) -> int:
        """So many others that have noted this disk meet each majority that a forgotten one was part of."""
        return enrolment_quorum(members, self.me)

    def forget(self, chance: str) -> list[Write]:
        """This disk is a copy from before: what was promised and accepted since is forgotten, as if it were
        empty, but for what it holds settled."""
        self.disk, self.enrolled, self.target = (self.disk[0] + 1, chance), {}, None
        self.voting = self.known = False
        return self.first()

    def to_enrol_with(self) -> list[MemberSet]:
        """The newest set of members that was told, and those that it may be changing to."""
        told = [MemberSet(each["epoch"], tuple(each["members"])) for each in self.enrolled.values()]
        newest = max([*told, self.members], key=lambda each: each.epoch)  # told before own: seeds may change
        rows = [unpack_item(each) for message in self.enrolled.values() for each in message["delta"]]
        nexts = [member_set_of(each) for each in rows if each.key == MEMBERS_KEY]
        return [newest, *(each for each in nexts if each.epoch > newest.epoch)]
