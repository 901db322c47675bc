"""Documents that others name are there: in Markdown links, and as paths in code spans and comments."""

import pathlib
import re
import tempfile

import testtools

ROOT = pathlib.Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
DOCUMENT = re.compile(r"(?<![\w/])docs/[\w/.-]+\.(?:md|json|txt)\b")  # from the root
SIBLING = re.compile(r"`((?:[\w-]+/)?[\w-]+\.md)`")  # beside the page, or in one of PLACES
SOURCE = re.compile(r"`((?:foxspread|bench|deploy|tests|scenarios)/[\w/.-]+)`")  # from the root
WITH_FORMER_NAMES = ("CHANGELOG.md", "glossary.md")  # the glossary's terms have a test of their own
PLACES = (ROOT, ROOT / "docs", ROOT / "docs/design", ROOT / "docs/operators")
INCIDENTS = ROOT / "docs/incidents"  # written once; names are those of their day


def pages() -> list[pathlib.Path]:
    """All Markdown pages that are kept up to date."""
    found = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    return [page for page in found if INCIDENTS not in page.parents]


def sources() -> list[pathlib.Path]:
    """Programs, tests and deploy files; this module names pages that are not there."""
    modules = [path for folder in ("foxspread", "tests", "bench") for path in (ROOT / folder).rglob("*.py")]
    return [*(path for path in modules if path != pathlib.Path(__file__)), *(ROOT / "deploy").glob("*.toml")]


def broken_links(page: pathlib.Path) -> list[str]:
    """The links and paths of a page that lead nowhere, each once."""
    text = page.read_text()
    links = [link for link in LINK.findall(text) if "://" not in link and not link.startswith("mailto:")]
    broken = [link for link in links if not (page.parent / link).exists()]
    broken += [name for name in DOCUMENT.findall(text) if not (ROOT / name).exists()]
    places = (page.parent, *PLACES)
    broken += [name for name in SIBLING.findall(text) if not any((each / name).exists() for each in places)]
    if page.name not in WITH_FORMER_NAMES:
        broken += [name for name in SOURCE.findall(text) if not is_source(name)]
    return [f"{page.relative_to(ROOT)}: {name}" for name in dict.fromkeys(broken)]


def is_source(name: str) -> bool:
    """Whether there is such a file or folder, or such a module."""
    return (ROOT / name).exists() or (ROOT / f"{name}.py").exists()


class Links(testtools.TestCase):
    def test_pages_name_what_is_there(self) -> None:
        found = pages()
        self.assertGreater(len(found), 30)
        self.assertEqual([], [fault for page in found for fault in broken_links(page)])

    def test_sources_and_deploy_files_name_pages_that_are_there(self) -> None:
        faults = [
            f"{path.relative_to(ROOT)}: {name}"
            for path in sources()
            for name in DOCUMENT.findall(path.read_text())
            if not (ROOT / name).exists()
        ]
        self.assertEqual([], faults)

    def test_a_broken_link_is_found(self) -> None:
        folder = tempfile.TemporaryDirectory(dir=ROOT / "tests")  # inside the root, as all pages are
        self.addCleanup(folder.cleanup)
        page = pathlib.Path(folder.name) / "page.md"
        page.write_text(
            "[here](none.md), `docs/none.md`, `design/none-either.md`, `bench/none`, [fine](page.md#part)"
        )
        self.assertEqual(4, len(broken_links(page)))
