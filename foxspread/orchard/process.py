"""`python -m foxspread.orchard.process`: starts `python -m foxspread.mesh.process` and names it."""

import sys

from foxspread.mesh.process import serve

if __name__ == "__main__":
    print("foxspread.orchard.process is now foxspread.mesh.process", file=sys.stderr)
    sys.exit(serve())
