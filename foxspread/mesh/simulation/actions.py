"""Actions that lead from one `ClusterState` to the next; `str` gives each as a step of a path."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True)
class Deliver:
    """Delivers the message in flight at this index; unless `replied`, the reply to it is lost."""

    index: int
    replied: bool = True

    def __str__(self) -> str:
        return f"{'deliver' if self.replied else 'unanswered'} {self.index}"


@dataclass(frozen=True)
class StartAttempt:
    """Starts an attempt of a proposer, which abandons an attempt that is under way."""

    name: str

    def __str__(self) -> str:
        return f"start {self.name}"


@dataclass(frozen=True)
class Crash:
    """Restarts a machine from its storage."""

    name: str

    def __str__(self) -> str:
        return f"crash {self.name}"


@dataclass(frozen=True)
class Wipe:
    """Restarts a machine with empty storage."""

    name: str

    def __str__(self) -> str:
        return f"wipe {self.name}"


@dataclass(frozen=True)
class Gossip:
    """Passes all that `source` has committed to `target`."""

    source: str
    target: str

    def __str__(self) -> str:
        return f"news {self.source} {self.target}"


Action: TypeAlias = Deliver | StartAttempt | Crash | Wipe | Gossip
