"""Compares two versions: merges them for the transition, and finds what one allows and the other forbids.

Between two versions sidecars go through a transition (docs/design/fleet-rules.md). During it they apply only
what both versions allow: the lower of two limits, the longer of two periods, the semantics that allow fewer
repeats. A key without an intermediate value changes when the new version comes into force; two sidecars may
then contradict each other for up to one lease (`LeaseTerms.contradiction_bound`). `key_rules` has the merge
rule of each key.
"""

from collections.abc import Iterator
from typing import Any

from foxspread.fleet_rules.flat_rules import (
    ROW_PREFIXES,
    SERVERS,
    FlatRules,
    UnsupportedRuleError,
    flatten,
    is_row,
    row_prefix,
)
from foxspread.fleet_rules.key_rules import (
    EFFECTS_BY_STRICTNESS,
    KEY_RULES,
    KeyRule,
    Merge,
    is_switch,
    rule_of,
)


def with_defaults(rules: dict[str, Any]) -> FlatRules:
    """Returns the rules by path, with defaults for keys that are not set, as another version may set them.

    Raises `UnsupportedRuleError` with key and value.
    """
    flat = flatten(rules)
    for path in flat:
        rule_of(path)
    rows = [path for path in flat if is_row(path)]
    for pattern, rule in KEY_RULES.items():
        if rule.merge is Merge.INDEPENDENT:
            continue
        for path in _matching_paths(pattern, rows):
            if path in flat:
                continue
            if rule.default is None:
                raise UnsupportedRuleError(f"'{path}' must be set: it limits what other sidecars may do")
            flat[path] = rule.default
    return flat


def _matching_paths(pattern: str, rows: list[str]) -> list[str]:
    """Returns the paths that match a key of `KEY_RULES`, given the rows of a version."""
    section, star, key = pattern.partition(".*.")
    if not star:
        return [pattern]
    return [row + key for row in rows if row.startswith(section + ".")]


def alone_rules(rules: FlatRules, alone: dict[str, Any]) -> FlatRules:
    """Returns the rules of a sidecar whose lease has expired; empty if the version has no alone part.

    These are the version's rules, restricted to the rows of its alone part and overridden by its values.
    If the version contains the endpoint list, the sidecar uses only the servers that `lists.alone` names.
    Raises `UnsupportedRuleError` with key and value.
    """
    overrides = flatten(alone)
    if not overrides:
        return {}
    rows = [path for path in overrides if is_row(path)]
    if rules["lists.source"] == "here":
        servers = overrides.setdefault("lists.only", [])
        for server in servers:
            if f"{SERVERS}{server}." not in rules:
                raise UnsupportedRuleError(f"'lists.alone': {server!r} is not in 'lists.servers'")
        rows += [f"{SERVERS}{server}." for server in servers]
        overrides |= {row: True for row in rows}
    for path in overrides:
        rule_of(path)
        if is_row(path) and path not in rules:
            raise UnsupportedRuleError(f"'alone': {path.rstrip('.')!r} is not in the settings")
    inherited = {
        path: value
        for path, value in rules.items()
        if row_prefix(path) == path and not is_row(path) or row_prefix(path) in rows
    }
    return inherited | overrides


def stricter_value(rule: KeyRule, one: Any, other: Any) -> Any:
    """Returns what both of two values allow; for `INDEPENDENT`, `SWITCH` and `SAME` the first value."""
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
    """Returns whether `rules` allow everything that `value` of this key allows."""
    rule = rule_of(path)
    if rule is None:
        return path in rules
    if rule.merge is Merge.INDEPENDENT:
        return True
    if path not in rules:
        return False
    if rule.merge in (Merge.SWITCH, Merge.SAME):
        return value == rules[path]
    merged = stricter_value(rule, value, rules[path])
    return merged == value or isinstance(value, list) and merged == sorted(value)


def transition(old: FlatRules, new: FlatRules) -> FlatRules:
    """Returns the rules that two versions have in common.

    A category or tenant that only one of them has is left out: its requests are rejected with a Retry-After,
    like all requests of unknown categories during the transition.
    """
    merged: FlatRules = {}
    changed_servers = _changed_servers(old, new)
    source_changes = old.get("lists.source") != new.get("lists.source")
    for path, value in old.items():
        if source_changes and path.startswith(SERVERS):
            merged[path] = value  # the old endpoint list applies until the new version is in force
            continue
        row = row_prefix(path)
        if path.startswith(ROW_PREFIXES) and row not in new or row in changed_servers:
            continue
        rule = rule_of(path)
        merged[path] = stricter_value(rule, value, new[path]) if rule is not None and path in new else value
    return merged


def _changed_servers(old: FlatRules, new: FlatRules) -> set[str]:
    """Returns the rows of servers whose address, zone or group differs between the versions."""
    return {
        row_prefix(path)
        for path, value in old.items()
        if path.startswith(SERVERS)
        and path in new
        and value != new[path]
        and rule_of(path).merge is Merge.SAME
    }


def changes_without_transition(old: FlatRules, new: FlatRules) -> list[str]:
    """Returns the keys that change without an intermediate value; sidecars may contradict each other on these
    for up to one lease."""
    return [
        path
        for path in sorted({*old, *new})
        if is_switch(path)
        and old.get(path) != new.get(path)
        and row_prefix(path) in old
        and row_prefix(path) in new
    ]


def usable_servers(rules: FlatRules) -> dict[str, str] | None:
    """Returns the servers that may receive requests, with their zones; None if discovery decides."""
    only, disabled = rules.get("lists.only", "all"), rules.get("lists.taken_out", [])
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
        if server not in disabled and (only == "all" or server in only)
    }


def violations(active: FlatRules, rules: FlatRules) -> Iterator[tuple[str, str]]:
    """Yields what the rules `active` allow and `rules` forbid: the key, and a description with both values.

    The keys of endpoint lists are compared together, by the servers that may receive requests: a sidecar need
    not disable a server that it does not use.
    """
    used_servers = usable_servers(active)
    yield from _server_violations(active, rules, used_servers)
    for path, value in active.items():
        if path in ("lists.taken_out", "lists.only"):
            continue
        if path.startswith(SERVERS):
            if is_row(path) or path not in rules:
                continue  # checked by `_server_violations`
            if path[len(SERVERS) :].rpartition(".")[0] not in used_servers:
                continue
        if not allows(path, value, rules):
            limit = repr(rules[path]) if path in rules else "a version without this key"
            yield path, f"is {value!r}, which {limit} does not allow"


def _server_violations(
    active: FlatRules, rules: FlatRules, used_servers: dict[str, str] | None
) -> Iterator[tuple[str, str]]:
    allowed, disabled = usable_servers(rules), rules.get("lists.taken_out", [])
    if used_servers is None:
        if used := sorted({*disabled} - {*active.get("lists.taken_out", [])}):
            yield "lists.taken_out", f"{used[0]!r} may receive requests, but is disabled"
        if rules.get("lists.only", "all") != "all":
            yield "lists.only", "allows all servers, not only those named"
    for server in sorted(used_servers or ()):
        if server in disabled:
            yield "lists.taken_out", f"{server!r} may receive requests, but is disabled"
        elif allowed is not None and server not in allowed:
            yield f"{SERVERS}{server}.", "may receive requests, but is not in the endpoint list"


def alone_violations(alone: FlatRules, rules: FlatRules) -> Iterator[str]:
    """Yields what a sidecar whose lease has expired may do, but a version forbids.

    An empty `alone` allows nothing; otherwise a version without an alone part could not disable any server.
    """
    if not alone:
        return
    for path, text in violations(alone, rules):
        in_alone_part = "in the alone part" if text.startswith("'") else "in the alone part it"
        yield f"'{path}': {in_alone_part} {text}"
