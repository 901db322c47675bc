"""The commands of the mesh: their present and former names, and which modules listing them imports."""

import asyncio
import os
import subprocess
import sys
from types import SimpleNamespace
from unittest import mock

import testtools
from click.testing import CliRunner

from foxspread.cli.main import foxspread
from foxspread.mesh.cli import ALIASES, mesh

COMMANDS = ["hollow", "node", "simulate", "sizing", "smoke-test", "soak", "up"]


class Names(testtools.TestCase):
    def invoke(self, command, *words):
        return CliRunner().invoke(command, words)

    def test_the_commands_of_the_mesh_are_those_of_foxspread_mesh(self):
        self.assertEqual(COMMANDS, mesh.list_commands(None))
        for name in COMMANDS:
            result = self.invoke(foxspread, "mesh", name, "--help")
            self.assertEqual(0, result.exit_code, result.output)
            self.assertIn(f"mesh {name}", result.output)

    def test_former_names_still_run_the_same_commands(self):
        for former, present in ALIASES.items():
            self.assertIs(mesh.get_command(None, present), mesh.get_command(None, former))
            outputs = [self.invoke(mesh, name, "--help").output for name in (former, present)]
            self.assertEqual(outputs[0], outputs[1])
        self.assertEqual(2, self.invoke(mesh, "weighing").exit_code)

    def test_foxspread_lists_the_mesh(self):
        self.assertIn("\n  mesh ", self.invoke(foxspread, "--help").output)


class SmokeTestCommand(testtools.TestCase):
    """The command line of the smoke test; test_local_cluster runs the smoke test itself."""

    def run_with(self, passed):
        class SmokeTest:
            def __init__(self, layout, echo):
                asyncio.get_running_loop()  # the real class needs a running loop, too
                self.layout = layout

            async def run(self, requests):
                return SimpleNamespace(passed=passed, lines=lambda: [f"{self.layout} {requests}"])

        package = "foxspread.mesh.local_cluster"
        with (
            mock.patch(f"{package}.smoke_test.SmokeTest", SmokeTest),
            mock.patch(f"{package}.layout.read_layout", str),
        ):
            return CliRunner().invoke(mesh, ["smoke-test", "DIR", "--requests", "77"])

    def test_figures_are_printed_and_the_exit_code_reports_success(self):
        for passed, code in ((True, 0), (False, 1)):
            result = self.run_with(passed)
            self.assertEqual((code, "DIR 77\n"), (result.exit_code, result.output))


class Loading(testtools.TestCase):
    def loaded(self, code):
        names = "[name for name in ('uvloop', 'orjson', 'cerberus', 'click') if name in sys.modules]"
        run = subprocess.run(
            [sys.executable, "-c", f"import sys\n{code}\nprint({names})"], capture_output=True, text=True
        )
        self.assertEqual(0, run.returncode, run.stderr)
        return run.stdout.strip()

    def test_listing_commands_imports_no_optional_dependencies_of_the_mesh(self):
        self.assertEqual("['click']", self.loaded("import foxspread.mesh.cli"))

    def test_a_process_of_the_mesh_loads_neither_click_nor_cerberus(self):
        self.assertEqual("['uvloop', 'orjson']", self.loaded("import foxspread.mesh.serving"))

    def test_sighup_while_a_process_loads_does_not_end_it(self):
        # Guards against an end by a signal that says no more than that the settings have changed.
        code = """
import os, runpy, signal, sys

class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signaller())
sys.argv = ["process"]
runpy.run_module("foxspread.mesh.process", run_name="__main__")
"""
        run = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            env={**os.environ, "FOXSPREAD_NODE_FILE": "/nonexistent/node.json"},
        )
        self.assertEqual(2, run.returncode, run.stderr)  # the settings are refused, since there are none
