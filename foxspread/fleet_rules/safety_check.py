"""Guards against operators' mistakes: a version that leaves a zone without servers, or removes many at once,
is accepted only with `--even-so`."""

from foxspread.fleet_rules.compatibility import usable_servers
from foxspread.fleet_rules.flat_rules import FlatRules

MAX_REMOVED_SHARE = 1 / 3  # one of three equal zones may be removed at once


def unsafe_change(old: FlatRules, new: FlatRules) -> str:
    """Returns what is unsafe about changing `old` to `new`, empty if nothing is.

    Endpoint lists that come from discovery can't be checked, and count as safe.
    """
    before, after = usable_servers(old), usable_servers(new)
    if after is None:
        return ""
    if not after:
        return "no server would be left"
    if before is None:
        return ""
    if empty_zones := sorted({*before.values()} - {*after.values()}):
        return f"no server would be left in zone {empty_zones[0]!r}"
    removed = sorted(before.keys() - after.keys())
    if len(removed) > MAX_REMOVED_SHARE * len(before):
        return f"{len(removed)} of {len(before)} servers would be removed, {removed[0]!r} among them"
    return ""
