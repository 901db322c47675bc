"""Runs scenarios with the decision engine of an earlier commit in another folder. The lab is the present
one; `engine`, `balancer`, `decisions`, `model`, `statistics` and `config` come from that folder. A commit
without `engine.py` uses its own lab. `experiments.at_revision` starts this program, with JSON as input and
output.
"""

import importlib
import json
import pathlib
import sys

import foxspread


def main() -> int:
    folder = pathlib.Path(sys.argv[1], "foxspread")
    if (folder / "engine.py").exists():
        importlib.import_module(
            "foxspread.lab"
        )  # the present lab, loaded before the other folder takes precedence

        foxspread.__path__.insert(0, str(folder))
    else:
        foxspread.__path__[:] = [str(folder)]
        for name in [each for each in sys.modules if each.startswith("foxspread.")]:
            del sys.modules[name]  # unloads `foxspread.lab`, imported when this module started
    import msgspec

    from foxspread.lab import scenario
    from foxspread.lab.experiments import runs as experiments

    asked = json.load(sys.stdin)
    it = scenario.decoded(asked["scenario"].encode())
    sys.stdout.buffer.write(msgspec.json.encode([experiments.play(it, seed) for seed in asked["seeds"]]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
