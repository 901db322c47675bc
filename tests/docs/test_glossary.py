"""The terms of the glossary name modules and identifiers that the code has."""

import functools
import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parents[2]
CODE = ROOT / "foxspread"
TERM_ROW = re.compile(r"^\| [^|]* \| [^|]* \| (?P<name>[^|]*) \| [^|]* \| (?P<where>[^|]*) \|$", re.MULTILINE)
IDENTIFIER = re.compile(r"`([A-Za-z_]{3,})`")
MODULE = re.compile(r"`([\w/.]+)`")


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


class Glossary(testtools.TestCase):
    def test_names_in_code_are_there(self) -> None:
        self.assertGreater(len(terms()), 40)
        names = [name for row in terms() for name in IDENTIFIER.findall(row["name"])]
        self.assertEqual([], [name for name in names if not re.search(rf"\b{name}\b", source())])

    def test_places_are_there(self) -> None:
        places = [place for row in terms() for place in MODULE.findall(row["where"])]
        self.assertEqual([], [place for place in places if not is_module(place)])
