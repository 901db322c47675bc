"""The operators' build, with an interpreter that writes down what it is asked for instead of installing."""

import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

FAKE = """#!/bin/sh
case "$*" in
    "-m venv"*) rm -rf .venv; mkdir -p .venv/bin; cp "$0" .venv/bin/python; echo venv >>calls ;;
    "-m pip"*) echo pip >>calls; test ! -e offline || exit 1; touch .venv/modules ;;
    -c*) test -e .venv/modules ;;
esac
"""


class Build(unittest.TestCase):
    def test_only_what_is_not_whole_is_built_and_once(self) -> None:
        """Each case: what befalls a first build, how many run at once then, and how often it was built."""
        pins = "echo uvloop==2 >requirements.txt; touch -d @0 requirements.txt"  # a copy that keeps times
        cut_off = "rm -r .venv; touch offline; sh deploy/build.sh; rm offline"
        for befalls, at_once, built in (("true", 1, 1), (pins, 1, 2), ("rm .venv/modules", 1, 2),
                                        ("rm -r .venv", 2, 2), (cut_off, 1, 3)):  # fmt: skip
            root = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
            shutil.copytree(pathlib.Path(__file__).parents[2] / "deploy", root / "deploy")
            for name, text in (("requirements.txt", "uvloop==1\n"), ("python3", FAKE)):
                (root / name).write_text(text)
                (root / name).chmod(0o755)
            more = {"cwd": root, "env": {"PATH": f"{root}:{os.environ['PATH']}"}}
            subprocess.run(["sh", "-c", f"sh deploy/build.sh; {befalls}"], **more, stderr=subprocess.DEVNULL)
            all = [subprocess.Popen(["sh", "deploy/build.sh"], **more) for _ in range(at_once)]
            self.assertEqual([one.wait(30) for one in all], [0] * at_once, befalls)
            self.assertEqual((root / "calls").read_text().split(), ["venv", "pip"] * built, befalls)
