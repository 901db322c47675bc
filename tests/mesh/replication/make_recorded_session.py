"""Writes tests/data/wire/replication-session.jsonl: three replicas under losses, a wipe and a roll-back.

The file that is committed was written by the code of commit d26c70f, in a copy of that commit with the former
names in `replica_under_test.py`. It is what later code is compared with: write it again only where the
messages or decisions of replicas are to change, and say so in the commit. No test runs this script.
"""

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from tests.mesh.replication.recorded_session import (
    CONNECT,
    MEMBERS,
    PEER_COMMITTED,
    RECEIVE,
    ROLL_BACK,
    SUBMIT,
    TICK,
    WIPE,
    Replicas,
    Result,
    Step,
    save,
)

STEP_S, TICK_S = 0.001, 0.05
Loss = Callable[[str, str, str], bool]  # of a message from, to, of that kind


def no_loss(sender: str, to: str, kind: str) -> bool:
    return False


def service(name: str, version: int) -> list:
    return ["service", name, version, {"name": name, "edition": f"r{version}"}]


def dropped(name: str, version: int) -> list:
    return ["service", name, version, None]


def route(name: str, version: int, to: str) -> list:
    rule = {
        "name": name,
        "mail_class": "safe",
        "edition": f"r{version}",
        "sorting": {"postcode": f"/{name}/"},
        "dispatch": {"service": to, "deadline_s": 2.0, "delivery_attempts": 3},
    }
    return ["route", name, version, {"destination": "h.example", "rule": rule}]


class Session:
    """Plays steps, carries messages and keeps what came of each step."""

    def __init__(self) -> None:
        self.replicas, self.rows, self.now = Replicas(), [], 0.0
        self.lost: Loss = no_loss
        self._under_way: deque[tuple[str, str, str]] = deque()

    def act(self, replica: str, action: str, *arguments: Any) -> Result:
        """One input; what is sent is under way after it."""
        self.now = round(self.now + STEP_S, 3)
        step = Step(replica, self.now, action, list(arguments))
        result = self.replicas.play(step)
        self.rows.append((step, result))
        for to, message in result.sent:
            kind = json.loads(message.partition(":")[2][:-1])["t"]
            if not self.lost(replica, to, kind):
                self._under_way.append((replica, to, message))
        return result

    def deliver(self) -> None:
        """All that is under way, in the order of sending, and what is sent then."""
        while self._under_way:
            sender, to, message = self._under_way.popleft()
            self.act(to, RECEIVE, sender, message)

    def submit(self, replica: str, *items: list) -> None:
        """A call, and all that follows at once."""
        self.act(replica, SUBMIT, *items)
        self.deliver()

    def wait(self, seconds: float) -> None:
        """Timers run on each replica."""
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + TICK_S, 3)
            for name in MEMBERS:
                self.act(name, TICK)
            self.deliver()


def changes(session: Session) -> None:
    """Calls that succeed, are repeated, conflict and are refused."""
    session.submit("a", service("s", 1), route("r", 1, "s"))
    session.submit("b", service("s", 1), route("r", 1, "s"))
    session.submit("b", route("x", 1, "nobody"))
    session.submit("c", route("x", 1, "nobody"))
    session.submit("c", ["service", "s", 1, {"name": "s", "edition": "r1", "health": "/h"}])
    session.submit("c", service("s", 3))
    session.submit("a", service("s", 2))
    session.submit("b")
    session.submit("a", dropped("s", 4))
    session.submit("a", ["route", "r", 2, None], dropped("s", 4))


def rival_proposers(session: Session) -> None:
    """Two calls at once: one proposal is turned down and tried again."""
    session.act("a", SUBMIT, service("t", 1))
    session.submit("c", service("u", 1))
    session.wait(0.5)


def one_cut_off(session: Session) -> None:
    """b misses two changes and then has to be brought up to date by an accept."""
    session.lost = lambda sender, to, kind: "b" in (sender, to)
    session.submit("a", service("t", 2))
    session.submit("c", dropped("u", 2))
    session.act("b", SUBMIT, service("v", 1))
    session.wait(1.0)
    session.lost = lambda sender, to, kind: to == "b" and kind == "prepare"
    session.submit("a", service("t", 3))
    session.lost = no_loss
    session.act("a", CONNECT, "b")
    session.deliver()
    session.wait(0.5)


def uncommitted(session: Session) -> None:
    """One replica alone accepted a change, another commits it later."""
    session.lost = lambda sender, to, kind: kind == "accept" and to != "b" or kind == "accepted"
    session.submit("c", service("w", 1))
    session.lost = lambda sender, to, kind: "c" in (sender, to)
    session.wait(1.0)
    session.lost = lambda sender, to, kind: kind == "accepted"
    session.submit("a", service("w", 2))
    session.act("b", PEER_COMMITTED, *session.replicas.by_name["a"].committed_number())
    session.lost = no_loss
    session.act("a", CONNECT, "c")
    session.deliver()
    session.wait(1.0)


def no_quorum(session: Session) -> None:
    """Calls end without an outcome that is known."""
    session.lost = lambda sender, to, kind: True
    session.submit("a", service("z", 1))
    session.submit("b")
    session.wait(1.0)
    session.lost = no_loss
    session.wait(0.6)


def wipe_and_roll_back(session: Session) -> None:
    """The disk of b comes back empty, and its first requests are lost; then the disk of c is an older one."""
    session.act("b", WIPE)
    session.submit("b", service("y", 1))
    session.lost = lambda sender, to, kind: "b" in (sender, to)
    session.wait(0.6)
    session.lost = no_loss
    session.wait(1.0)
    session.submit("b", service("y", 1))
    session.act("c", ROLL_BACK)
    session.wait(1.0)
    session.submit("c", service("y", 2))


def other_members(session: Session) -> None:
    """c is removed while it is cut off, and still names the former epoch."""
    session.lost = lambda sender, to, kind: "c" in (sender, to)
    disks = {"a": [0, "a-disk"], "b": [1, "b-new-disk"]}
    session.submit("a", ["members", "members", 1, {"of": ["a", "b"], "disks": disks}])
    session.wait(0.5)
    session.lost = no_loss
    session.submit("c", service("y", 3))
    session.wait(1.0)


def main() -> None:
    """Plays the session on the code of this tree."""
    session = Session()
    session.wait(0.2)
    for part in (
        changes,
        rival_proposers,
        one_cut_off,
        uncommitted,
        no_quorum,
        wipe_and_roll_back,
        other_members,
    ):
        part(session)
    save(session.rows, session.replicas.items())


if __name__ == "__main__":
    main()
