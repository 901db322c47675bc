"""Every key of the rules, in one place: what two values of it contradict, and what neither forbids.

A change goes through a state between two versions (docs/design/agreed.md). In it a sidecar acts on what
neither of both forbids: the stricter of two limits, the longer of two spells, the effect that allows fewer
repeats. A key for which nothing lies between changes at the moment at which the new version is in force: then
two sidecars may contradict each other for as long as a lease (`bound`). A key that is not here is refused in
a version.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from foxspread.config import EFFECTS
from foxspread.model import FEWER


class Kind(enum.Enum):
    LEAST = "the smaller of both"
    MOST = "the larger of both"
    BOTH = "on only where it is on in both"
    EFFECT = "the effect that allows fewer repeats"
    FREE = "either: two values of it contradict nothing outside of one sidecar"
    SWITCH = "nothing: it changes when the new version is in force"
    SAME = "the row only where it is the same in both"
    UNION = "all that either names"
    ONLY = "what both name"


# Effects as a version writes them, each allowing fewer repeats than the one before.
STRICTER = tuple(sorted(EFFECTS, key=lambda each: FEWER.index(EFFECTS[each])))


@dataclass(frozen=True)
class Key:
    kind: Kind
    seen: str  # how a contradiction is seen from outside
    default: Any = None  # as `config.settings` has it; None: it has to be stated, or (FREE) it doesn't matter


# Paths of the rules; * stands for each row of a list, known by its name.
KEYS: dict[str, Key] = {
    "settings.siblings": Key(Kind.MOST, "sums over all sidecars: each keeps to its part of a limit", 1),
    "settings.surplus_benefit": Key(Kind.FREE, "which lookups are dismissed first, in one sidecar"),
    "settings.period_us": Key(Kind.FREE, "when a sidecar looks again"),
    "settings.discovery": Key(Kind.FREE, "how one sidecar asks for its list"),
    "settings.categories.*.expected_time_us": Key(Kind.FREE, "when one sidecar tries again"),
    "settings.categories.*.abandon_time_us": Key(Kind.LEAST, "answers after a client's time"),
    "settings.categories.*.benefit": Key(Kind.FREE, "which lookups are dismissed first, in one sidecar"),
    "settings.categories.*.late_benefit": Key(Kind.FREE, "as benefit"),
    "settings.categories.*.semantics": Key(
        Kind.EFFECT, "a lookup that must not run twice is repeated by another", "single_shot"
    ),
    "settings.categories.*.key_scope": Key(
        Kind.SWITCH, "a labelled lookup goes to servers of two groups", "cell"
    ),
    "settings.categories.*.repeat_window_us": Key(
        Kind.LEAST, "a repeat after servers have forgotten the first", 0
    ),
    "settings.categories.*.stream": Key(Kind.SWITCH, "how a body is passed", False),
    "settings.tenants.*.share": Key(Kind.LEAST, "a customer gets more than its share from all together", 0),
    "settings.tenants.*.quota_per_s": Key(Kind.LEAST, "a customer's lookups a second, over all sidecars", 0),
    "settings.limits.max_hand_offs": Key(Kind.LEAST, "further hand-offs at servers, over all sidecars", 1),
    "settings.limits.parallel_tries": Key(Kind.BOTH, "copies of one lookup at two servers", False),
    "settings.limits.cancelling": Key(Kind.BOTH, "hand-offs that are called off", False),
    "settings.limits.retry_after": Key(Kind.BOTH, "return times told to clients", False),
    "settings.limits.max_retry_after_us": Key(Kind.LEAST, "return times told to clients", 0),
    "settings.limits.multiplex": Key(Kind.LEAST, "lookups on one connection", 1),
    "settings.contract.cold_from": Key(Kind.LEAST, "what a cold server gets from all together", 1.0),
    "settings.contract.cold_us": Key(Kind.MOST, "as cold_from", 0),
    "settings.contract.fall_multiple": Key(Kind.LEAST, "as cold_from", 1.0),
    "settings.specifics.warm_keys": Key(Kind.FREE, "where one sidecar sends keys that it knows"),
    "settings.tariffs.waste": Key(Kind.FREE, "what one sidecar calls off"),
    "lists.source": Key(Kind.SWITCH, "lookups at servers that another's list doesn't hold", "discovery"),
    "lists.taken_out": Key(Kind.UNION, "lookups at a server that is taken out", []),
    "lists.only": Key(Kind.ONLY, "lookups at a server that isn't named", "all"),
    "lists.servers.*.addr": Key(Kind.SAME, "lookups at an address that another server has by now"),
    "lists.servers.*.zone": Key(Kind.SAME, "a labelled lookup goes to servers of two groups", ""),
    "lists.servers.*.cell": Key(Kind.SAME, "a labelled lookup goes to servers of two groups", 0),
    "lists.servers.*.weight": Key(Kind.FREE, "how much one sidecar sends where"),
    "lists.servers.*.kind": Key(Kind.FREE, "how one sidecar spreads what it sends"),
    "lists.servers.*.started_ms": Key(Kind.FREE, "for how long one sidecar takes a server for cold"),
}
# What each sidecar has for itself: its place, its zone, its seed. A version that holds one is refused.
OWN = {"settings.az", "settings.position", "settings.seed"}
LISTS = {"settings.categories": "name", "settings.tenants": "name", "lists.servers": "id"}
SERVERS = "lists.servers."
ROWS = tuple(each + "." for each in LISTS)

Flat = dict[str, Any]  # values by path, rows of lists by name: settings.categories.docs.benefit


class NoRule(Exception):
    """A key can't stand in a version, or a change can't be made; the text names key and value."""


def flat(rules: dict[str, Any], path: str = "") -> Flat:
    """Raises `NoRule` for rows without a name, or with one that stands twice."""
    found: Flat = {}
    for key, value in rules.items():
        here = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            found |= flat(value, here)
        elif here in LISTS:
            for row in value:
                word = LISTS[here]
                name = row.get(word) if isinstance(row, dict) else None
                if not isinstance(name, str) or not name or word == "name" and "." in name:
                    raise NoRule(f"'{here}': a row needs a {word} without a dot, not {name!r}")
                if f"{here}.{name}." in found:
                    raise NoRule(f"'{here}': {name!r} stands there twice")
                found[f"{here}.{name}."] = True
                for key, each in row.items():
                    if key != word:
                        found |= flat({key: each}, f"{here}.{name}")
        else:
            found[here] = value
    return found


def tree(found: Flat) -> dict[str, Any]:
    """The rules as they stand in a file again."""
    told: dict[str, Any] = {}
    rows: dict[str, dict[str, Any]] = {}
    for path, value in found.items():
        section = next((each for each in LISTS if path.startswith(each + ".")), "")
        if section:
            name, _, key = path[len(section) + 1 :].rpartition(".")
            mark = f"{section}.{name}"
            if mark not in rows:
                rows[mark] = {LISTS[section]: name}
                _within(told, section.rpartition(".")[0]).setdefault(section.rpartition(".")[2], []).append(
                    rows[mark]
                )
            if key:
                rows[mark][key] = value
        else:
            _within(told, path.rpartition(".")[0])[path.rpartition(".")[2]] = value
    return told


def _within(told: dict[str, Any], path: str) -> dict[str, Any]:
    for key in path.split("."):
        told = told.setdefault(key, {})
    return told


def key_of(path: str) -> Key | None:
    """None for the mark of a row itself. Raises `NoRule` for a path without a rule."""
    if path.endswith("."):
        return None
    for each in LISTS:
        if path.startswith(each + "."):
            path = f"{each}.*.{path.rpartition('.')[2]}"
    if path in OWN:
        raise NoRule(f"'{path}' is each sidecar's own and can't stand in a version")
    if path not in KEYS:
        raise NoRule(f"'{path}' has no rule for how it changes, and can't stand in a version")
    return KEYS[path]


def checked(rules: dict[str, Any]) -> Flat:
    """All values by path, with the defaults of those that are not stated: what isn't said is a value too, and
    another version may say it. Raises `NoRule` with key and value."""
    found = flat(rules)
    for path in found:
        key_of(path)
    rows = [path for path in found if path.endswith(".")]
    for path, key in KEYS.items():
        section = path.partition(".*.")[0]
        for here in (
            [path]
            if "*" not in path
            else [row + path.rpartition(".")[2] for row in rows if row.startswith(section + ".")]
        ):
            if here in found or key.kind is Kind.FREE:
                continue
            if key.default is None:
                raise NoRule(f"'{here}' must be stated: it changes what others may do")
            found[here] = key.default
    return found


def alone_of(rules: Flat, alone: dict[str, Any]) -> Flat:
    """What one whose lease has run out acts on: the version's rules, for the rows that stand in its `alone`
    part and with the values that stand there. Nothing where it has no such part. Where the version holds the
    list of servers, it sends to those only that the version names for it."""
    told = flat(alone)
    if not told:
        return {}
    rows = [path for path in told if path.endswith(".")]
    if rules["lists.source"] == "here":
        only = told.setdefault("lists.only", [])
        for each in only:
            if f"{SERVERS}{each}." not in rules:
                raise NoRule(f"'lists.alone': {each!r} does not stand in 'lists.servers'")
        rows += [f"{SERVERS}{each}." for each in only]
        told |= {row: True for row in rows}
    for path in told:
        key_of(path)
        if path.endswith(".") and path not in rules:
            raise NoRule(f"'alone': {path.rstrip('.')!r} does not stand in the settings")
    found = {
        path: value
        for path, value in rules.items()
        if _row(path) == path and not path.endswith(".") or _row(path) in rows
    }
    return found | told


def stricter(key: Key, one: Any, other: Any) -> Any:
    """What neither of two values forbids; for `FREE` and `SWITCH` the first."""
    if key.kind is Kind.LEAST:
        return min(one, other)
    if key.kind is Kind.MOST:
        return max(one, other)
    if key.kind is Kind.BOTH:
        return one and other
    if key.kind is Kind.EFFECT:
        return max(one, other, key=STRICTER.index)
    if key.kind is Kind.UNION:
        return sorted({*one, *other})
    if key.kind is Kind.ONLY:
        return other if one == "all" else one if other == "all" else sorted({*one} & {*other})
    return one


def allows(path: str, value: Any, rules: Flat) -> bool:
    """Whether an act under `value` of this key is one that `rules` allow."""
    key = key_of(path)
    if key is None or path not in rules:
        return path in rules or key is not None and key.kind is Kind.FREE
    if key.kind in (Kind.FREE, Kind.SWITCH, Kind.SAME):
        return key.kind is Kind.FREE or value == rules[path]
    both = stricter(key, value, rules[path])
    return both == value or isinstance(value, list) and both == sorted(value)


def between(old: Flat, new: Flat) -> Flat:
    """What neither of two versions forbids. A category or customer that only one of them has is not there:
    its lookups are dismissed with a return time, as those that no version knows."""
    found: Flat = {}
    other = {
        _row(path)
        for path, value in old.items()
        if path.startswith(SERVERS) and path in new and value != new[path] and key_of(path).kind is Kind.SAME
    }
    moved = old.get("lists.source") != new.get("lists.source")  # the list of old until new is in force
    for path, value in old.items():
        if moved and path.startswith(SERVERS):
            found[path] = value
        elif (not path.startswith(ROWS) or _row(path) in new) and _row(path) not in other:
            key = key_of(path)
            found[path] = stricter(key, value, new[path]) if key is not None and path in new else value
    return found


def switches(old: Flat, new: Flat) -> list[str]:
    """Keys that change between two versions and have nothing between: for these the bound is a lease."""
    return [
        path
        for path in sorted({*old, *new})
        if not path.endswith(".")
        and key_of(path).kind is Kind.SWITCH
        and old.get(path) != new.get(path)
        and _row(path) in old
        and _row(path) in new
    ]


def _row(path: str) -> str:
    """The mark of the row that a path belongs to; for others a path that is in all."""
    for each in LISTS:
        if path.startswith(each + "."):
            return path.rpartition(".")[0] + "."
    return path


def usable(rules: Flat) -> dict[str, str] | None:
    """The servers that may be sent to, and their zones; None: whoever discovery says is there."""
    only, out = rules.get("lists.only", "all"), rules.get("lists.taken_out", [])
    if rules.get("lists.source") == "here":
        rows = [path[len(SERVERS) : -1] for path in rules if path.startswith(SERVERS) and path.endswith(".")]
        zones = {each: rules[f"{SERVERS}{each}.zone"] for each in rows}
    elif only != "all":
        zones = dict.fromkeys(only, "")  # discovery knows their zones
    else:
        return None
    return {each: zone for each, zone in zones.items() if each not in out and (only == "all" or each in only)}


def against(mine: Flat, rules: Flat) -> Iterator[tuple[str, str]]:
    """What acts under these rules may do that others forbid: the key, and both values. Lists are looked at
    together, by who may be sent to: whom one doesn't use, it need not take out."""
    sent, theirs = usable(mine), usable(rules)
    out = rules.get("lists.taken_out", [])
    if sent is None:
        if left := sorted({*out} - {*mine.get("lists.taken_out", [])}):
            yield "lists.taken_out", f"{left[0]!r} may be sent to, which is taken out"
        if rules.get("lists.only", "all") != "all":
            yield "lists.only", "all may be sent to, not only those that are named"
    for server in sorted(sent or ()):
        if server in out:
            yield "lists.taken_out", f"{server!r} may be sent to, which is taken out"
        elif theirs is not None and server not in theirs:
            yield f"{SERVERS}{server}.", "may be sent to, and is not in the list"
    for path, value in mine.items():
        if path in ("lists.taken_out", "lists.only"):
            continue
        if path.startswith(SERVERS) and (path.endswith(".") or path not in rules):
            continue  # looked at above
        if path.startswith(SERVERS) and path[len(SERVERS) :].rpartition(".")[0] not in sent:
            continue
        if not allows(path, value, rules):
            yield path, f"is {value!r}, which {rules.get(path, 'a version without it')!r} doesn't allow"


def faults(alone: Flat, rules: Flat) -> Iterator[str]:
    """What one whose lease has run out may do that a version forbids."""
    if not alone:  # it does nothing: without this guard a version without that part could take nobody out
        return
    for path, text in against(alone, rules):
        yield f"'{path}': alone it {text}" if not text.startswith("'") else f"'{path}': alone {text}"
