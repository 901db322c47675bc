"""What a person may not have meant: a version that leaves a zone without servers, or takes many out at once.
Such a one has to be put with `--even-so`."""

from foxspread.fleet_rules.compatibility import Flat, usable

SHARE = 1 / 3  # of the servers that may go at once


def drastic(old: Flat, new: Flat) -> str:
    """Empty where there is nothing to ask about."""
    before, after = usable(old), usable(new)
    if after is None:
        return ""
    if not after:
        return "it leaves no server"
    if before is None:
        return ""
    if empty := sorted({*before.values()} - {*after.values()}):
        return f"it leaves no server in zone {empty[0]!r}"
    gone = sorted(before.keys() - after.keys())
    if len(gone) > SHARE * len(before):
        return f"it takes out {len(gone)} of {len(before)} servers, {gone[0]!r} among them"
    return ""
