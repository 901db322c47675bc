"""`python -m foxspread.mesh ...`: the same commands as `foxspread mesh ...`."""

from foxspread.mesh.cli import mesh as main

if __name__ == "__main__":
    main(prog_name="python -m foxspread.mesh")
