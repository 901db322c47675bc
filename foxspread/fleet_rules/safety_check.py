"""Finds what a person may not have meant: a version that leaves a zone without servers, or removes many at
once. Such a version has to be put with `--even-so`."""

from foxspread.fleet_rules.compatibility import usable_servers
from foxspread.fleet_rules.flat_rules import FlatRules

MAX_REMOVED_SHARE = 1 / 3  # of the servers at once; a rollout of one zone of three stays below


def unsafe_change(old: FlatRules, new: FlatRules) -> str:
    """What is unsafe about going from `old` to `new`; empty where nothing is. Lists that discovery holds
    can't be judged, and count as safe."""
    before, after = usable_servers(old), usable_servers(new)
    if after is None:
        return ""
    if not after:
        return "it leaves no server"
    if before is None:
        return ""
    if empty_zones := sorted({*before.values()} - {*after.values()}):
        return f"it leaves no server in zone {empty_zones[0]!r}"
    removed = sorted(before.keys() - after.keys())
    if len(removed) > MAX_REMOVED_SHARE * len(before):
        return f"it takes out {len(removed)} of {len(before)} servers, {removed[0]!r} among them"
    return ""
