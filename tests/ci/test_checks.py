"""What CI passes over, and what it does not: tests that are known to be red."""

import os
import pathlib
import subprocess
import sys
import tempfile

from testtools import TestCase

CHECKS = pathlib.Path(__file__).parents[2] / ".ci" / "checks.py"
TESTS = """import unittest
class A(unittest.TestCase):
    def test_green(self): pass
    def test_red(self): self.fail("x")
"""
RED, GREEN = "tests.test_a.A.test_red, a cause, 55", "tests.test_a.A.test_green, a cause, 55"


class KnownRed(TestCase):
    def ended(self, *listed: str) -> tuple[int, str]:
        """The exit code, and the line that counts."""
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "tests").mkdir()
            (root / "tests" / "__init__.py").touch()
            (root / "tests" / "test_a.py").write_text(TESTS)
            (root / "KNOWN-RED.txt").write_text("\n".join(["# test, cause, issue", *listed]))
            run = subprocess.run(
                [sys.executable, str(CHECKS)],
                cwd=root,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            )
            return run.returncode, run.stdout.splitlines()[-1]

    def test_only_what_is_listed_and_fails_is_passed_over(self) -> None:
        # Guards: a red test that nobody named, a name of none, a green test on the list, more than three.
        self.assertEqual((0, "1 passed, 0 failed"), self.ended(RED))
        self.assertEqual((1, "1 passed, 1 failed"), self.ended())
        self.assertEqual((1, "1 passed, 1 failed"), self.ended(RED, "tests.test_a.A.test_none, a cause, 55"))
        self.assertEqual(1, self.ended(RED, GREEN)[0])
        self.assertEqual(
            (1, "1 passed, 4 failed"), self.ended(RED, *(f"no.test_{n}, c, 1" for n in range(3)))
        )
