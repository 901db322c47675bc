"""Starts a real sidecar with one deliberate defect (`mutant:NAME`) or with the decisions of a baseline
policy, for the lab's runs on sockets: `python -m foxspread.lab.experiments.broken NAME`. A sidecar in
production never imports this module."""

import sys

from foxspread import __main__ as start
from foxspread.lab.experiments import policies
from foxspread.lab.experiments.mutants import MUTANTS
from foxspread.net import sidecar


def main(name: str) -> int:
    if name.startswith("mutant:"):
        mutant = MUTANTS[name.removeprefix("mutant:")]
        sidecar.DecisionEngine = mutant.make_engine
        mutant.patch_sidecar()
    else:
        sidecar.DecisionEngine = policies.engine_factory(name)
    return start.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
