"""Runs `python -m foxspread.mesh.process` under its former name and prints the present one."""

import sys

from foxspread.mesh.process import main

if __name__ == "__main__":
    print("foxspread.orchard.process is now foxspread.mesh.process", file=sys.stderr)
    sys.exit(main())
