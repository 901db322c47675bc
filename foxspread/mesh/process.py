"""Runs one process of the mesh: `python -m foxspread.mesh.process`, the command that the platform starts.

`foxspread mesh node` runs the same process.
"""

import signal
import sys


def main() -> int:
    """Runs a node until it has shut down; returns the exit code."""
    # By default SIGHUP ends a process. While this one is loading, it has no settings to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from foxspread.mesh.serving import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
