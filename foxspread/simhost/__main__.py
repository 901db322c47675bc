"""Reads batches of events from standard input and writes one reply a line."""

import json
import sys

from foxspread.simhost import codec
from foxspread.simhost.host import Host


def main() -> int:
    """Returns the exit status: 2 after a malformed line."""
    host = Host()
    for number, line in enumerate(sys.stdin, 1):
        try:
            now, groups = codec.read_batch(line)
            reply = host.reply(now, groups)
        except codec.MalformedLineError as error:
            print(f"foxspread: line {number}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
