"""`foxspread mesh simulate`."""

from click.testing import CliRunner
from testtools import TestCase

from foxspread.mesh.cli import mesh as main


class Command(TestCase):
    def ran(self, *options: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["simulate", "--jobs", "1", *options])
        return result.exit_code, result.output

    def test_what_it_tells(self) -> None:
        # Seeds, calls, faults, and each broken rule with its seed; the exit code says it too.
        code, text = self.ran("--seeds", "1-3", "--faults", "kill,cut")
        self.assertEqual(0, code)
        self.assertIn("seeds=3 calls=", text)
        self.assertIn("broken=0", text)
        code, text = self.ran("--seeds", "1-2", "--broken", "any ballot is accepted")
        self.assertEqual(1, code)
        self.assertIn("BROKEN seed=1 at=", text)
        code, text = self.ran("--trace", "1", "--broken", "any ballot is accepted")
        self.assertEqual((0, True), (code, "broken at" in text))

    def test_what_it_refuses(self) -> None:
        refused = ("faults", "kill,x"), ("seeds", "x"), ("broken", "x"), ("machines", "1")
        for option, value in refused:
            self.assertEqual(2, self.ran(f"--{option}", value)[0], option)
