"""Flattens the rules of a version to paths such as `settings.categories.docs.benefit`, so that two versions
can be compared value by value.
"""

from typing import Any

# Lists with named rows, and the key that holds a row's name.
ROW_NAMES = {"settings.categories": "name", "settings.tenants": "name", "lists.servers": "id"}
SERVERS = "lists.servers."
ROW_PREFIXES = tuple(each + "." for each in ROW_NAMES)

# Values by path, with rows of lists by name: settings.categories.docs.benefit. Each row also has an entry,
# under its prefix with a final dot: settings.categories.docs.
FlatRules = dict[str, Any]


class UnsupportedRuleError(Exception):
    """A version contains a key or a value that fleet rules do not support; the text names both."""


def flatten(rules: dict[str, Any], path: str = "") -> FlatRules:
    """Returns the rules of a file by path. Raises `UnsupportedRuleError` for rows without a name or with the
    same name."""
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
        raise UnsupportedRuleError(
            f"'{section}': each row must have a {name_key} without a dot, not {name!r}"
        )
    prefix = f"{section}.{name}."
    if prefix in flat:
        raise UnsupportedRuleError(f"'{section}': {name!r} appears twice")
    flat[prefix] = True
    for key, value in row.items():
        if key != name_key:
            flat |= flatten({key: value}, f"{section}.{name}")


def unflatten(flat: FlatRules) -> dict[str, Any]:
    """Returns the rules in the nested form of a file."""
    tree: dict[str, Any] = {}
    rows: dict[str, dict[str, Any]] = {}
    for path, value in flat.items():
        section = section_of(path)
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


def section_of(path: str) -> str:
    """Returns the list with named rows that a path belongs to, empty for none."""
    return next((section for section in ROW_NAMES if path.startswith(section + ".")), "")


def row_prefix(path: str) -> str:
    """Returns the prefix of the row that a path belongs to, or the path itself if it belongs to none."""
    return path.rpartition(".")[0] + "." if section_of(path) else path


def is_row(path: str) -> bool:
    """Returns whether a path is the entry of a row itself."""
    return path.endswith(".")
