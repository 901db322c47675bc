"""A whole sidecar with one thing broken, for the judge to be tried on.

python -m foxspread.lab.processes.end_to_end_child MUTANT --operator FILE
"""

import sys
from collections.abc import Callable
from typing import Any

from foxspread import __main__ as sidecar
from foxspread import reconfiguration
from foxspread.fleet_rules import sidecar_rules
from foxspread.fleet_rules.lease_holder import LeaseHolder
from foxspread.fleet_rules.sidecar_rules import SidecarRules
from foxspread.fleet_rules.version_content import VersionContent
from foxspread.lab.processes.fleet_rules_mutants import FromAnswer, Newest
from foxspread.net.sidecar import Sidecar

OLDER_BUILD_LIMIT = 4  # hand-offs that the older build knows


def with_holder(kind: type[LeaseHolder]) -> Callable[[], None]:
    """A broken lease holder in place of the sound one."""

    def install() -> None:
        sidecar_rules.LeaseHolder = kind

    return install


def own_file() -> None:
    """Acts by its own file's rules until it hears of others."""
    sound_init = Sidecar.__init__

    def broken_init(self: Sidecar, *arguments: Any, **options: Any) -> None:
        sound_init(self, *arguments, **options)
        self.engine.apply_settings(self.clock(), self.config.decisions)
        self.counts.add_categories(self.engine.categories)

    Sidecar.__init__ = broken_init
    sound_refresh = SidecarRules.refresh
    SidecarRules.refresh = lambda self: sound_refresh(self) or not self.holder.in_force


def old_lookups() -> None:
    """Lookups that were accepted before a change go on as before it."""
    reconfiguration._update_requests = lambda balancer: None


def late_change() -> None:
    """Confirms what it will act on half a second later."""
    sound = Sidecar._apply_rules
    Sidecar._apply_rules = lambda self, rules: self.loop.call_later(0.5, sound, self, rules)


def out_unheard() -> None:
    """Sends to servers that are taken out for all."""
    reconfiguration.restrict_servers = lambda it, now, taken_out, only: None


def list_kept() -> None:
    """Goes on by the first list that it had."""
    sound = Sidecar._apply_endpoint_rules
    Sidecar._apply_endpoint_rules = (
        lambda self, rules: None if self.endpoints_from_rules else sound(self, rules)
    )


def regroups() -> None:
    """Repeats labelled lookups by groups that are other ones than when they were first sent."""
    reconfiguration.forbid_repeats_across_groups = lambda it, entries: None


def older_build() -> None:
    """Not broken: it knows no more than four hand-offs, and says so."""
    sound_parse = SidecarRules._parse_content

    def parse_content(self: SidecarRules, text: bytes) -> VersionContent:
        content = sound_parse(self, text)
        if content.rules["settings.limits.max_hand_offs"] > OLDER_BUILD_LIMIT:
            raise ValueError(f"'settings.limits.max_hand_offs' must be at most {OLDER_BUILD_LIMIT}")
        return content

    SidecarRules._parse_content = parse_content


MUTANTS: dict[str, Callable[[], None]] = {
    "newest": with_holder(Newest),
    "from_answer": with_holder(FromAnswer),
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
