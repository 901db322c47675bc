"""The on-call page of the mesh has each event of the log with all its keys, and no other event."""

import ast
import pathlib
import re
from collections.abc import Iterator

import testtools

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs/operators/oncall-mesh.md"
EVENT_ROW = re.compile(r"^\| (`\w+`(?:, `\w+`)*) \| (.*?) \| ")
EVENT_SECTIONS = ("## Replicas", "## All processes", "## Sidecars")
LEVEL = "level"  # a parameter of log_event, no key of the line


def calls(path: pathlib.Path) -> Iterator[ast.Call]:
    """The calls of log_event in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log_event":
            yield node


def logged() -> dict[str, set[str]]:
    """The keys of each event that the code logs."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "foxspread/mesh").rglob("*.py"):
        for call in calls(path):
            name = call.args[0]
            if isinstance(name, ast.Constant) and isinstance(name.value, str):
                keys = {keyword.arg for keyword in call.keywords if keyword.arg and keyword.arg != LEVEL}
                found.setdefault(name.value, set()).update(keys)
    return found


def documented() -> dict[str, set[str]]:
    """The events of the page, each with the code spans of its row's keys."""
    found: dict[str, set[str]] = {}
    for section in re.split(r"^(?=## )", PAGE.read_text(), flags=re.MULTILINE):
        if not section.startswith(EVENT_SECTIONS):
            continue
        for line in section.splitlines():
            if row := EVENT_ROW.match(line):
                for event in re.findall(r"`(\w+)`", row[1]):
                    found[event] = set(re.findall(r"`(\w+)`", row[2]))
    return found


class LogEvents(testtools.TestCase):
    def test_each_event_is_on_the_page_and_no_other(self) -> None:
        self.assertGreater(len(logged()), 20)
        self.assertEqual(sorted(logged()), sorted(documented()))

    def test_each_key_is_on_the_page(self) -> None:
        missing = {event: keys - documented()[event] for event, keys in logged().items()}
        self.assertEqual({}, {event: keys for event, keys in missing.items() if keys})
