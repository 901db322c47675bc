"""The Debian packages that the deploy files ask the platform for."""

import pathlib
import re
import tomllib
from typing import Any

import testtools

ROOT = pathlib.Path(__file__).parents[2]
DEBIAN_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")  # Debian Policy 5.6.1
# Which package holds a program that a build calls; `[` and `exec` are the shell's own.
PACKAGE_OF = {
    "cmp": "diffutils", "sed": "sed", "paste": "coreutils", "dirname": "coreutils", "cp": "coreutils",
    "mv": "coreutils", "flock": "util-linux",
}  # fmt: skip


def deploy_file(name: str) -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / name).read_text())


class Packages(testtools.TestCase):
    def test_names_are_those_of_debian_and_stand_once(self) -> None:
        for name in ("system.toml", "balancer.toml"):
            packages = deploy_file(name)["packages"]
            self.assertEqual(sorted(set(packages)), sorted(packages), name)
            self.assertEqual([], [each for each in packages if not DEBIAN_NAME.fullmatch(each)], name)

    def test_programs_of_the_builds_are_named(self) -> None:
        balancer, mesh = deploy_file("balancer.toml"), deploy_file("system.toml")
        words = set(re.findall(r"\w+", (ROOT / "deploy/build.sh").read_text()))
        called = {package for program, package in PACKAGE_OF.items() if program in words}
        self.assertEqual(set(PACKAGE_OF.values()), called)
        self.assertEqual(set(), (called | {"dash", "python3", "python3-venv"}) - set(balancer["packages"]))
        self.assertIn("python3 -m pip", mesh["build"])
        self.assertEqual(set(), {"dash", "python3", "python3-pip", "ca-certificates"} - set(mesh["packages"]))

    def test_readme_names_the_same(self) -> None:
        line = re.search(
            r"apt-get install --no-install-recommends ([^\n#]+)", (ROOT / "README.md").read_text()
        )
        assert line is not None, "README.md says how to install the packages"
        named = set(line[1].split())
        wanted = set(deploy_file("system.toml")["packages"]) | set(deploy_file("balancer.toml")["packages"])
        self.assertEqual(wanted, named)
