"""What `make build` installs for the mesh is what the platform installs."""

import pathlib
import tomllib

import testtools

ROOT = pathlib.Path(__file__).parents[2]


class Extras(testtools.TestCase):
    def test_mesh_is_what_the_platform_installs(self) -> None:
        extras = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["optional-dependencies"]
        told = (ROOT / "deploy/mesh-requirements.txt").read_text().split()
        self.assertEqual(sorted(told), sorted(extras["mesh"]))
