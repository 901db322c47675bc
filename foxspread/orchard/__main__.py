"""Runs `python -m foxspread.mesh ...` under its former name and prints the present one."""

import sys

from foxspread.mesh.__main__ import main

if __name__ == "__main__":
    print("foxspread.orchard is now foxspread.mesh: use `foxspread mesh ...`", file=sys.stderr)
    main()
