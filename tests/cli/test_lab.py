import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

import tomli_w
from click.testing import CliRunner

from foxspread.cli.main import foxspread
from tests.lab.helpers import plain, small


class TestCommand(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name, "small.toml")
        self.path.write_text(tomli_w.dumps(plain(small())))

    def call(self, *words):
        return CliRunner().invoke(foxspread, [str(word) for word in words])

    def test_a_run_tells_its_figures_to_people_and_to_machines(self):
        done = self.call("lab", "run", self.path, "--json", "--set", "clients.rate=20")
        [played] = json.loads(done.stdout)["foxspread"]
        self.assertEqual((done.exit_code, played["broken"], played["engine"]), (0, 0, "virtual"))
        self.assertIn("hand-offs a lookup", self.call("lab", "run", self.path).stdout)

    def test_what_is_at_fault_in_the_call_or_the_file_is_named_with_code_2(self):
        for words, told in ((["--set", "clients.rte=20"], "rte"), (["--set", "seconds=-1"], "'seconds'"),
                            (["--set", "seconds"], "KEY=VALUE"), (["--policy", "best"], "best")):  # fmt: skip
            done = self.call("lab", "run", self.path, *words)
            self.assertEqual((done.exit_code, told in done.output), (2, True), (words, done.output))
        self.assertEqual(self.call("lab", "run", self.path.with_name("no")).exit_code, 2)

    def test_what_cannot_be_done_is_told_in_a_line_with_code_1(self):
        for words, told in ((["run", self.path, "--set", "max_rows=9"], "more than 9 rows"),
                            (["compare", self.path, "--against", "nonsense"], "no revision")):  # fmt: skip
            done = self.call("lab", *words)
            self.assertEqual((done.exit_code, told in done.output), (1, True), done.output)

    def test_a_kept_ledger_is_judged_again_and_a_breach_in_it_found(self):
        self.call("lab", "run", self.path, "--ledgers", self.folder.name)
        [kept] = pathlib.Path(self.folder.name).glob("*.jsonl")
        self.assertEqual(self.call("lab", "check", kept, self.path).exit_code, 0)
        lines = kept.read_text().splitlines()
        answer = next(line for line in lines if '"answered"' in line)
        kept.write_text("\n".join([*lines, answer]))
        done = self.call("lab", "check", kept, self.path)
        self.assertEqual((done.exit_code, "2 answers" in done.output), (1, True))
        kept.write_text("\n".join([lines[0], lines[1][:9]]))  # as after a crash in the middle of a write
        self.assertIn("line 2 is no row", self.call("lab", "check", kept, self.path).output)

    def test_compare_sweep_and_search_write_what_they_found(self):
        out = pathlib.Path(self.folder.name, "out")
        self.assertEqual(
            self.call("lab", "compare", self.path, "--against", "random", "--report", out).exit_code, 0
        )
        self.assertEqual(
            self.call("lab", "sweep", self.path, "clients.rate", 20, 40, "--report", out).exit_code, 0
        )
        self.assertEqual(len(list(out.iterdir())), 4)
        save = out / "worst.toml"
        fault = '[{"what": "hang_after_read", "at": 0.5, "lasts": 1.0, "part": 1.0}]'
        done = self.call(
            "lab", "search", self.path, "--set", f"faults={fault}", "--timings", 2, "--save", save
        )
        self.assertEqual((done.exit_code, "1 of 1 faults are needed" in done.output), (0, True), done.output)
        self.assertEqual(self.call("lab", "run", save).exit_code, 0)

    def test_serve_is_the_sidecar_and_the_sidecar_loads_none_of_this(self):
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        for words in (["-m", "foxspread"], ["-m", "foxspread.cli.main", "serve"]):
            done = subprocess.run([sys.executable, *words], env=environ, capture_output=True, text=True)
            self.assertEqual((done.returncode, "'EDGE_CONFIG' is missing" in done.stderr), (2, True))
        loaded = subprocess.run([sys.executable, "-c", "import sys, foxspread.__main__; print(*sys.modules)"],
                                capture_output=True, text=True, check=True).stdout.split()  # fmt: skip
        ours = ("click", "rich", "msgspec", "numpy", "matplotlib", "hdrh", "foxspread.lab", "foxspread.cli",
                "foxspread.fleet_rules", "foxspread.consensus", "tomllib")  # fmt: skip
        self.assertEqual([name for name in ours if name in loaded], [])
