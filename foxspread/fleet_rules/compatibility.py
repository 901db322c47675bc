"""How each key of the rules changes: what two values of it contradict, and what neither forbids.

A change goes through a transition between two versions (docs/design/agreed.md). In it a sidecar acts on what
neither of both forbids: the stricter of two limits, the longer of two periods, the effect that allows fewer
repeats. A key for which nothing lies between changes at the moment at which the new version is in force: then
two sidecars may contradict each other for as long as a lease (`LeaseTerms.contradiction_bound`). A key that
is not here is refused in a version.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from foxspread.config import EFFECTS
from foxspread.model import FEWER


class Merge(enum.Enum):
    """What neither of two values forbids. The texts are printed by `foxspread rules bound`."""

    MINIMUM = "the smaller of both"
    MAXIMUM = "the larger of both"
    BOTH = "on only where it is on in both"
    STRICTER_EFFECT = "the effect that allows fewer repeats"
    INDEPENDENT = "either: two values of it contradict nothing outside of one sidecar"
    SWITCH = "nothing: it changes when the new version is in force"
    SAME = "the row only where it is the same in both"
    UNION = "all that either names"
    INTERSECTION = "what both name"


# Effects as a version writes them, each allowing fewer repeats than the one before.
EFFECTS_BY_STRICTNESS = tuple(sorted(EFFECTS, key=lambda effect: FEWER.index(EFFECTS[effect])))


@dataclass(frozen=True)
class KeyRule:
    """How one key changes. `contradiction`: how two values are seen to differ from outside. `default`: as
    `config.settings` has it; None where it has to be stated, or (INDEPENDENT) doesn't matter."""

    merge: Merge
    contradiction: str
    default: Any = None


# Paths of the rules; * stands for each row of a list, known by its name.
KEY_RULES: dict[str, KeyRule] = {
    "settings.siblings": KeyRule(
        Merge.MAXIMUM, "sums over all sidecars: each keeps to its part of a limit", 1
    ),
    "settings.surplus_benefit": KeyRule(
        Merge.INDEPENDENT, "which lookups are dismissed first, in one sidecar"
    ),
    "settings.period_us": KeyRule(Merge.INDEPENDENT, "when a sidecar looks again"),
    "settings.discovery": KeyRule(Merge.INDEPENDENT, "how one sidecar asks for its list"),
    "settings.categories.*.expected_time_us": KeyRule(Merge.INDEPENDENT, "when one sidecar tries again"),
    "settings.categories.*.abandon_time_us": KeyRule(Merge.MINIMUM, "answers after a client's time"),
    "settings.categories.*.benefit": KeyRule(
        Merge.INDEPENDENT, "which lookups are dismissed first, in one sidecar"
    ),
    "settings.categories.*.late_benefit": KeyRule(Merge.INDEPENDENT, "as benefit"),
    "settings.categories.*.semantics": KeyRule(
        Merge.STRICTER_EFFECT, "a lookup that must not run twice is repeated by another", "single_shot"
    ),
    "settings.categories.*.key_scope": KeyRule(
        Merge.SWITCH, "a labelled lookup goes to servers of two groups", "cell"
    ),
    "settings.categories.*.repeat_window_us": KeyRule(
        Merge.MINIMUM, "a repeat after servers have forgotten the first", 0
    ),
    "settings.categories.*.stream": KeyRule(Merge.SWITCH, "how a body is passed", False),
    "settings.tenants.*.share": KeyRule(
        Merge.MINIMUM, "a customer gets more than its share from all together", 0
    ),
    "settings.tenants.*.quota_per_s": KeyRule(
        Merge.MINIMUM, "a customer's lookups a second, over all sidecars", 0
    ),
    "settings.limits.max_hand_offs": KeyRule(
        Merge.MINIMUM, "further hand-offs at servers, over all sidecars", 1
    ),
    "settings.limits.parallel_tries": KeyRule(Merge.BOTH, "copies of one lookup at two servers", False),
    "settings.limits.cancelling": KeyRule(Merge.BOTH, "hand-offs that are called off", False),
    "settings.limits.retry_after": KeyRule(Merge.BOTH, "return times told to clients", False),
    "settings.limits.max_retry_after_us": KeyRule(Merge.MINIMUM, "return times told to clients", 0),
    "settings.limits.multiplex": KeyRule(Merge.MINIMUM, "lookups on one connection", 1),
    "settings.contract.cold_from": KeyRule(Merge.MINIMUM, "what a cold server gets from all together", 1.0),
    "settings.contract.cold_us": KeyRule(Merge.MAXIMUM, "as cold_from", 0),
    "settings.contract.fall_multiple": KeyRule(Merge.MINIMUM, "as cold_from", 1.0),
    "settings.specifics.warm_keys": KeyRule(Merge.INDEPENDENT, "where one sidecar sends keys that it knows"),
    "settings.tariffs.waste": KeyRule(Merge.INDEPENDENT, "what one sidecar calls off"),
    "lists.source": KeyRule(Merge.SWITCH, "lookups at servers that another's list doesn't hold", "discovery"),
    "lists.taken_out": KeyRule(Merge.UNION, "lookups at a server that is taken out", []),
    "lists.only": KeyRule(Merge.INTERSECTION, "lookups at a server that isn't named", "all"),
    "lists.servers.*.addr": KeyRule(Merge.SAME, "lookups at an address that another server has by now"),
    "lists.servers.*.zone": KeyRule(Merge.SAME, "a labelled lookup goes to servers of two groups", ""),
    "lists.servers.*.cell": KeyRule(Merge.SAME, "a labelled lookup goes to servers of two groups", 0),
    "lists.servers.*.weight": KeyRule(Merge.INDEPENDENT, "how much one sidecar sends where"),
    "lists.servers.*.kind": KeyRule(Merge.INDEPENDENT, "how one sidecar spreads what it sends"),
    "lists.servers.*.started_ms": KeyRule(
        Merge.INDEPENDENT, "for how long one sidecar takes a server for cold"
    ),
}
# What each sidecar has for itself: its place, its zone, its seed. A version that holds one is refused.
OWN_KEYS = {"settings.az", "settings.position", "settings.seed"}
# Lists whose rows are known by a name, and the key that holds it.
ROW_NAMES = {"settings.categories": "name", "settings.tenants": "name", "lists.servers": "id"}
SERVERS = "lists.servers."
ROW_PREFIXES = tuple(each + "." for each in ROW_NAMES)

# Values by path, rows of lists by name: settings.categories.docs.benefit. A row itself is there as its prefix
# with a dot at the end: settings.categories.docs.
FlatRules = dict[str, Any]


class UnsupportedRuleError(Exception):
    """A key can't stand in a version, or a change can't be made; the text names key and value."""


def flatten(rules: dict[str, Any], path: str = "") -> FlatRules:
    """The rules of a file by path. Raises `UnsupportedRuleError` for rows without a name, or with one that
    stands twice."""
    flat: FlatRules = {}
    for key, value in rules.items():
        here = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            flat |= flatten(value, here)
        elif here in ROW_NAMES:
            for row in value:
                _flatten_row(flat, here, row)
        else:
            flat[here] = value
    return flat


def _flatten_row(flat: FlatRules, section: str, row: Any) -> None:
    name_key = ROW_NAMES[section]
    name = row.get(name_key) if isinstance(row, dict) else None
    if not isinstance(name, str) or not name or name_key == "name" and "." in name:
        raise UnsupportedRuleError(f"'{section}': a row needs a {name_key} without a dot, not {name!r}")
    prefix = f"{section}.{name}."
    if prefix in flat:
        raise UnsupportedRuleError(f"'{section}': {name!r} stands there twice")
    flat[prefix] = True
    for key, value in row.items():
        if key != name_key:
            flat |= flatten({key: value}, f"{section}.{name}")


def unflatten(flat: FlatRules) -> dict[str, Any]:
    """The rules as they stand in a file again."""
    tree: dict[str, Any] = {}
    rows: dict[str, dict[str, Any]] = {}
    for path, value in flat.items():
        section = _section_of(path)
        if not section:
            parent, _, key = path.rpartition(".")
            _subtree(tree, parent)[key] = value
            continue
        name, _, key = path[len(section) + 1 :].rpartition(".")
        row_path = f"{section}.{name}"
        if row_path not in rows:
            rows[row_path] = {ROW_NAMES[section]: name}
            parent, _, list_key = section.rpartition(".")
            _subtree(tree, parent).setdefault(list_key, []).append(rows[row_path])
        if key:
            rows[row_path][key] = value
    return tree


def _subtree(tree: dict[str, Any], path: str) -> dict[str, Any]:
    for key in path.split("."):
        tree = tree.setdefault(key, {})
    return tree


def _section_of(path: str) -> str:
    """The list with named rows that a path belongs to, empty for none."""
    return next((section for section in ROW_NAMES if path.startswith(section + ".")), "")


def row_prefix(path: str) -> str:
    """The prefix of the row that a path belongs to; the path itself where it belongs to none."""
    return path.rpartition(".")[0] + "." if _section_of(path) else path


def is_row(path: str) -> bool:
    """Whether a path stands for a row itself."""
    return path.endswith(".")


def rule_of(path: str) -> KeyRule | None:
    """None for a row itself. Raises `UnsupportedRuleError` for a path without a rule."""
    if is_row(path):
        return None
    if section := _section_of(path):
        path = f"{section}.*.{path.rpartition('.')[2]}"
    if path in OWN_KEYS:
        raise UnsupportedRuleError(f"'{path}' is each sidecar's own and can't stand in a version")
    if path not in KEY_RULES:
        raise UnsupportedRuleError(f"'{path}' has no rule for how it changes, and can't stand in a version")
    return KEY_RULES[path]


def is_switch(path: str) -> bool:
    """Whether nothing lies between two values of this key."""
    rule = rule_of(path)
    return rule is not None and rule.merge is Merge.SWITCH


def with_defaults(rules: dict[str, Any]) -> FlatRules:
    """All values by path, with the defaults of those that are not stated: what isn't said is a value too, and
    another version may say it. Raises `UnsupportedRuleError` with key and value."""
    flat = flatten(rules)
    for path in flat:
        rule_of(path)
    rows = [path for path in flat if is_row(path)]
    for pattern, rule in KEY_RULES.items():
        if rule.merge is Merge.INDEPENDENT:
            continue
        for path in _paths_of(pattern, rows):
            if path in flat:
                continue
            if rule.default is None:
                raise UnsupportedRuleError(f"'{path}' must be stated: it changes what others may do")
            flat[path] = rule.default
    return flat


def _paths_of(pattern: str, rows: list[str]) -> list[str]:
    """The paths that a key of the table stands for, where these rows are there."""
    section, star, key = pattern.partition(".*.")
    if not star:
        return [pattern]
    return [row + key for row in rows if row.startswith(section + ".")]


def alone_rules(rules: FlatRules, alone: dict[str, Any]) -> FlatRules:
    """What a sidecar acts on whose lease has expired: the version's rules, for the rows that stand in its
    `alone` part and with the values that stand there. Nothing where it has no such part. Where the version
    holds the list of servers, it sends to those only that the version names for it."""
    stated = flatten(alone)
    if not stated:
        return {}
    rows = [path for path in stated if is_row(path)]
    if rules["lists.source"] == "here":
        servers = stated.setdefault("lists.only", [])
        for server in servers:
            if f"{SERVERS}{server}." not in rules:
                raise UnsupportedRuleError(f"'lists.alone': {server!r} does not stand in 'lists.servers'")
        rows += [f"{SERVERS}{server}." for server in servers]
        stated |= {row: True for row in rows}
    for path in stated:
        rule_of(path)
        if is_row(path) and path not in rules:
            raise UnsupportedRuleError(f"'alone': {path.rstrip('.')!r} does not stand in the settings")
    inherited = {
        path: value
        for path, value in rules.items()
        if row_prefix(path) == path and not is_row(path) or row_prefix(path) in rows
    }
    return inherited | stated


def stricter(rule: KeyRule, one: Any, other: Any) -> Any:
    """What neither of two values forbids; for `INDEPENDENT`, `SWITCH` and `SAME` the first."""
    match rule.merge:
        case Merge.MINIMUM:
            return min(one, other)
        case Merge.MAXIMUM:
            return max(one, other)
        case Merge.BOTH:
            return one and other
        case Merge.STRICTER_EFFECT:
            return max(one, other, key=EFFECTS_BY_STRICTNESS.index)
        case Merge.UNION:
            return sorted({*one, *other})
        case Merge.INTERSECTION:
            if one == "all":
                return other
            return one if other == "all" else sorted({*one} & {*other})
    return one


def allows(path: str, value: Any, rules: FlatRules) -> bool:
    """Whether an act under `value` of this key is one that `rules` allow."""
    rule = rule_of(path)
    if rule is None:
        return path in rules
    if rule.merge is Merge.INDEPENDENT:
        return True
    if path not in rules:
        return False
    if rule.merge in (Merge.SWITCH, Merge.SAME):
        return value == rules[path]
    merged = stricter(rule, value, rules[path])
    return merged == value or isinstance(value, list) and merged == sorted(value)


def transition(old: FlatRules, new: FlatRules) -> FlatRules:
    """What neither of two versions forbids. A category or customer that only one of them has is not there:
    its lookups are dismissed with a return time, as those that no version knows."""
    merged: FlatRules = {}
    changed_servers = _changed_servers(old, new)
    source_changes = old.get("lists.source") != new.get("lists.source")
    for path, value in old.items():
        if source_changes and path.startswith(SERVERS):
            merged[path] = value  # the list of the old version until the new one is in force
            continue
        row = row_prefix(path)
        if path.startswith(ROW_PREFIXES) and row not in new or row in changed_servers:
            continue
        rule = rule_of(path)
        merged[path] = stricter(rule, value, new[path]) if rule is not None and path in new else value
    return merged


def _changed_servers(old: FlatRules, new: FlatRules) -> set[str]:
    """Rows of servers that are not the same server, or in the same group, in both versions."""
    return {
        row_prefix(path)
        for path, value in old.items()
        if path.startswith(SERVERS)
        and path in new
        and value != new[path]
        and rule_of(path).merge is Merge.SAME
    }


def unbridged_changes(old: FlatRules, new: FlatRules) -> list[str]:
    """Keys that change between two versions and have nothing between: for these the bound is a lease."""
    return [
        path
        for path in sorted({*old, *new})
        if is_switch(path)
        and old.get(path) != new.get(path)
        and row_prefix(path) in old
        and row_prefix(path) in new
    ]


def usable_servers(rules: FlatRules) -> dict[str, str] | None:
    """The servers that may be sent to, and their zones; None: whoever discovery says is there."""
    only, taken_out = rules.get("lists.only", "all"), rules.get("lists.taken_out", [])
    if rules.get("lists.source") == "here":
        ids = [path[len(SERVERS) : -1] for path in rules if path.startswith(SERVERS) and is_row(path)]
        zones = {server: rules[f"{SERVERS}{server}.zone"] for server in ids}
    elif only != "all":
        zones = dict.fromkeys(only, "")  # discovery knows their zones
    else:
        return None
    return {
        server: zone
        for server, zone in zones.items()
        if server not in taken_out and (only == "all" or server in only)
    }


def violations(acting: FlatRules, rules: FlatRules) -> Iterator[tuple[str, str]]:
    """What acts under `acting` may do that `rules` forbid: the key, and a text with both values. Lists are
    judged together, by who may be sent to: whom a sidecar doesn't use, it need not take out."""
    sent_to = usable_servers(acting)
    yield from _server_violations(acting, rules, sent_to)
    for path, value in acting.items():
        if path in ("lists.taken_out", "lists.only"):
            continue
        if path.startswith(SERVERS):
            if is_row(path) or path not in rules:
                continue  # judged with the lists
            if path[len(SERVERS) :].rpartition(".")[0] not in sent_to:
                continue
        if not allows(path, value, rules):
            yield path, f"is {value!r}, which {rules.get(path, 'a version without it')!r} doesn't allow"


def _server_violations(
    acting: FlatRules, rules: FlatRules, sent_to: dict[str, str] | None
) -> Iterator[tuple[str, str]]:
    allowed, taken_out = usable_servers(rules), rules.get("lists.taken_out", [])
    if sent_to is None:
        if left := sorted({*taken_out} - {*acting.get("lists.taken_out", [])}):
            yield "lists.taken_out", f"{left[0]!r} may be sent to, which is taken out"
        if rules.get("lists.only", "all") != "all":
            yield "lists.only", "all may be sent to, not only those that are named"
    for server in sorted(sent_to or ()):
        if server in taken_out:
            yield "lists.taken_out", f"{server!r} may be sent to, which is taken out"
        elif allowed is not None and server not in allowed:
            yield f"{SERVERS}{server}.", "may be sent to, and is not in the list"


def alone_violations(alone: FlatRules, rules: FlatRules) -> Iterator[str]:
    """What a sidecar whose lease has expired may do that a version forbids. An empty `alone` does nothing:
    without that case a version without such a part could take no server out."""
    if not alone:
        return
    for path, text in violations(alone, rules):
        yield f"'{path}': alone {text}" if text.startswith("'") else f"'{path}': alone it {text}"
