"""A whole sidecar with one thing broken, for the judge to be tried on:

python -m foxspread.lab.processes.end_to_end_child MUTANT --operator FILE
"""

import sys
from collections.abc import Callable
from typing import Any

from foxspread import __main__ as sidecar
from foxspread import change
from foxspread.fleet_rules import sidecar_rules
from foxspread.lab.processes.fleet_rules_mutants import FromAnswer, Newest
from foxspread.net.sidecar import Sidecar


def holder(kind: type) -> Callable[[], None]:
    def broken() -> None:
        sidecar_rules.Holder = kind

    return broken


def own_file() -> None:
    """Acts by its own file's rules until it hears of others."""
    started = Sidecar.__init__

    def begun(self: Sidecar, *told: Any, **more: Any) -> None:
        started(self, *told, **more)
        self.facade.change(self.clock(), self.config.decisions)
        self.counts.know(self.facade.categories)

    Sidecar.__init__ = begun
    present = sidecar_rules.Party.present
    sidecar_rules.Party.present = lambda self: present(self) or not self.holder.settled


def old_lookups() -> None:
    """Lookups that were taken before a change go on as before it."""
    change._lookups = lambda it, now: None


def late_change() -> None:
    """Confirms what it will act on half a second later."""
    ruled = Sidecar._ruled
    Sidecar._ruled = lambda self, told: self.loop.call_later(0.5, ruled, self, told)


def out_unheard() -> None:
    """Sends on to what is taken out for all."""
    change.lists = lambda it, now, taken_out, only: None


def list_kept() -> None:
    """Goes on by the first list that it had."""
    ruled = Sidecar._ruled_list
    Sidecar._ruled_list = lambda self, told: None if self.list_ruled else ruled(self, told)


def regroups() -> None:
    """Repeats labelled lookups by groups that are other ones than when they were first sent."""
    change.regrouped = lambda it, entries: None


def older_build() -> None:
    """Not broken: it knows no more than four hand-offs, and says so."""
    check = sidecar_rules.Party._check

    def picky(self: sidecar_rules.Party, text: bytes) -> Any:
        found = check(self, text)
        if found.rules["settings.limits.max_hand_offs"] > 4:
            raise ValueError("'settings.limits.max_hand_offs' must be at most 4")
        return found

    sidecar_rules.Party._check = picky


MUTANTS: dict[str, Callable[[], None]] = {
    "newest": holder(Newest),
    "from_answer": holder(FromAnswer),
    "own_file": own_file,
    "old_lookups": old_lookups,
    "late_change": late_change,
    "out_unheard": out_unheard,
    "list_kept": list_kept,
    "regroups": regroups,
    "older_build": older_build,
}

if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(sidecar.main(sys.argv[2:]))
