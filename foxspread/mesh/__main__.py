"""Runs the commands of `foxspread mesh ...` as `python -m foxspread.mesh ...`."""

from foxspread.mesh.cli import mesh as main

if __name__ == "__main__":
    main(prog_name="python -m foxspread.mesh")
