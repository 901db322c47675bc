import pathlib
import subprocess
import sys
import tempfile
import unittest

from foxspread.config import ConfigError
from foxspread.operator.file import Operator, read

EXAMPLE = pathlib.Path(__file__).parents[2] / "deploy/operator.toml"


class TestOperatorsFile(unittest.TestCase):
    def test_the_example_changes_nothing_and_faults_name_the_key_and_end_the_start(self):
        self.assertEqual(read(EXAMPLE), Operator())
        with tempfile.NamedTemporaryFile("w+") as file:
            for text, fault in (("[learnt]\nfile = '/x'", ""), ("[learnt]\nfile = 3", "'learnt.file' must"),
                                ("[learned]", "'learned' is not known"), ("[", "cannot be read"),
                                ("[learnt]\nflie = ''", "'learnt.flie' is not known")):
                pathlib.Path(file.name).write_text(text)
                if not fault:
                    self.assertEqual(read(file.name), Operator("/x"))
                    continue
                with self.subTest(text), self.assertRaisesRegex(ConfigError, fault):
                    read(file.name)
            start = [sys.executable, "-m", "foxspread"]
            done = [subprocess.run([*start, *args], capture_output=True, timeout=60)
                    for args in (["--operator", file.name], ["--oprator", str(EXAMPLE)])]
        self.assertEqual([(it.returncode, it.stderr[:11]) for it in done], [(2, b"foxspread: ")] * 2)
