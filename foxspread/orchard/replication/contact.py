"""Whether this machine is in contact with a majority, and how old what it holds may be. Without I/O.

What a majority answers bounds what may have been acknowledged before it was asked: each tells the newest
ballot that it has accepted or settled. Once all of that is held here, nothing is missing that was
acknowledged before the asking. An age counts from the asking, on this machine's own steady clock.
"""

from dataclasses import dataclass

from foxspread.orchard.replication.copy import NONE, Ballot

TELL_S = 1.5  # older than that, nothing of the settled set is told to sidecars


@dataclass(frozen=True, slots=True)
class Report:
    """What a keeper says of itself when it is asked."""

    member: str  # its control address
    votes: bool = False  # its promises and acceptances are all known to it
    epoch: int = 0  # of the members that it holds settled
    settled: Ballot = NONE
    seen: Ballot = NONE  # the newest that it has accepted or settled
    zone: str = ""
    leaving: bool = False
    hears: tuple[str, ...] = ()  # keepers that it has heard within the last second, itself included
    disk: tuple = (0, "")  # the identity of its disk

    def packed(self) -> dict:
        return {
            "member": self.member,
            "votes": self.votes,
            "epoch": self.epoch,
            "s": self.settled,
            "seen": self.seen,
            "zone": self.zone,
            "leaving": self.leaving,
            "hears": self.hears,
            "disk": self.disk,
        }


def report(told: dict) -> Report:
    return Report(
        str(told["member"]),
        bool(told["votes"]),
        int(told["epoch"]),
        (int(told["s"][0]), str(told["s"][1])),
        (int(told["seen"][0]), str(told["seen"][1])),
        str(told["zone"]),
        bool(told["leaving"]),
        tuple(map(str, told["hears"])),
        (int(told["disk"][0]), str(told["disk"][1])),
    )
