"""Plays scenarios with the decisions of another folder (our own earlier commit): the present lab, and
`facade`, `logic`, `decisions`, `model`, `sums` and `config` from there. Started by `experiments.at_revision`;
JSON in, JSON out."""

import json
import sys

import foxspread
import foxspread.lab  # from here, before all else is taken from there


def main() -> int:
    foxspread.__path__.insert(0, f"{sys.argv[1]}/foxspread")
    import msgspec

    from foxspread.lab import scenario
    from foxspread.lab.experiments import runs as experiments

    asked = json.load(sys.stdin)
    it = scenario.decoded(asked["scenario"].encode())
    sys.stdout.buffer.write(msgspec.json.encode([experiments.play(it, seed) for seed in asked["seeds"]]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
