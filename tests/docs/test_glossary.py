"""The terms of the glossary name modules and identifiers that the code has."""

import functools
import pathlib
import re
from typing import NamedTuple

import testtools

ROOT = pathlib.Path(__file__).parents[2]
CODE = ROOT / "foxspread"
TERM_ROW = re.compile(r"^\| [^|]* \| [^|]* \| (?P<name>[^|]*) \| [^|]* \| (?P<where>[^|]*) \|$", re.MULTILINE)
IDENTIFIER = re.compile(r"`([A-Za-z_]{3,})`")
MODULE = re.compile(r"`([\w/.]+)`")
CODE_SPAN = re.compile(r"`([^`]+)`")
NAME = re.compile(r"[A-Za-z_]\w*")
NOW_HEADERS = {"now", "name in code", "module"}  # of the column that has today's names


@functools.cache
def source() -> str:
    """All Python sources of the product and its deploy files, as one text."""
    paths = [*CODE.rglob("*.py"), *(ROOT / "deploy").glob("*.toml")]
    return "\n".join(path.read_text() for path in paths)


def terms() -> list[re.Match[str]]:
    """The rows of the tables of terms."""
    page = (ROOT / "docs/glossary.md").read_text()
    section = page[page.index("## Terms") : page.index("## Packages and modules")]
    return [row for row in TERM_ROW.finditer(section) if row["name"] not in ("name in code", "---")]


def is_module(name: str) -> bool:
    """Whether a place of the glossary is a module or package."""
    bases = (ROOT, CODE / "mesh")
    return any((base / name).exists() or (base / f"{name}.py").exists() for base in bases)


class Row(NamedTuple):
    """One row of a table: its line in the page, and its cells by the table's header."""

    line: int
    cells: dict[str, str]


def table_rows(page: str) -> list[Row]:
    """The rows of all tables of a page."""
    rows: list[Row] = []
    headers: list[str] = []
    for line, text in enumerate(page.splitlines(), 1):
        if not text.startswith("|"):
            headers = []
            continue
        cells = [cell.strip() for cell in text.strip().strip("|").split("|")]
        if not headers:
            headers = cells
        elif set(text) - set("|- "):
            rows.append(Row(line, dict(zip(headers, cells, strict=False))))
    return rows


def names_in(cell: str) -> list[str]:
    """The names in the code spans of a cell."""
    return [name for span in CODE_SPAN.findall(cell) for name in NAME.findall(span)]


@functools.cache
def names_in_code() -> frozenset[str]:
    """All words of the sources, and the names of modules and packages."""
    return frozenset(NAME.findall(source())) | {path.stem for path in CODE.rglob("*")}


@functools.cache
def names_at(place: str) -> frozenset[str]:
    """The words of one module or package, its own name included."""
    for base in (ROOT, CODE / "mesh", CODE / "mesh/replication", CODE / "consensus"):
        module = base / f"{place}.py"
        if paths := [module] if module.exists() else [*(base / place).rglob("*.py")]:
            words = {name for path in paths for name in NAME.findall(path.read_text())}
            return frozenset(words | {path.stem for path in paths} | set(NAME.findall(place)))
    return frozenset()


class FormerNames(testtools.TestCase):
    """Each table that maps former names to those of today."""

    def rows(self) -> list[Row]:
        rows = table_rows((ROOT / "docs/glossary.md").read_text())
        self.assertGreater(len(rows), 300)
        return rows

    def test_todays_names_are_in_the_code(self) -> None:
        unknown = [
            (row.line, name)
            for row in self.rows()
            for header in NOW_HEADERS & row.cells.keys()
            for name in names_in(row.cells[header])
            if name not in names_in_code()
        ]
        self.assertEqual([], unknown)

    def test_todays_names_are_where_the_row_says(self) -> None:
        elsewhere = []
        for row in self.rows():
            places = MODULE.findall(row.cells.get("where", ""))
            known = frozenset().union(*map(names_at, places))
            if places:
                elsewhere += [(row.line, name) for name in names_in(row.cells["now"]) if name not in known]
        self.assertEqual([], elsewhere)


class Glossary(testtools.TestCase):
    def test_names_in_code_are_there(self) -> None:
        self.assertGreater(len(terms()), 40)
        names = [name for row in terms() for name in IDENTIFIER.findall(row["name"])]
        self.assertEqual([], [name for name in names if not re.search(rf"\b{name}\b", source())])

    def test_places_are_there(self) -> None:
        places = [place for row in terms() for place in MODULE.findall(row["where"])]
        self.assertEqual([], [place for place in places if not is_module(place)])
