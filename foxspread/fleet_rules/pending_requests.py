"""Lease requests that wait for a linearizable read, and rollout steps that were proposed.

A lease is granted only on state that was committed after its request came. One read through the leader serves
all requests that wait when the read starts (like ReadIndex in D. Ongaro, "Consensus: bridging theory and
practice" (2014), 6.4). `fleet_rules.lease_manager` and `singleton.lease_manager` both use this module.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.raft import RaftNode
from foxspread.consensus.wire import encode

MAX_REQUESTS = 8192  # waiting for a read; further ones are rejected at once
BATCH_DELAY_SECONDS = 0.02  # requests within it share one read and one report
PROPOSAL_RETRY_SECONDS = 0.5  # a step that is not applied by then is proposed again


@dataclass(frozen=True)
class PendingRequest:
    """A request, and the deadline for its response."""

    request: Any
    deadline: float


class PendingRequests:
    """Requests of one kind by call token, and the reads that they wait for."""

    def __init__(self) -> None:
        self.by_token: dict[int, PendingRequest] = {}
        self.reads: dict[int, list[int]] = {}  # tokens of the waiting requests, by read

    def __len__(self) -> int:
        return len(self.by_token)

    def add(self, token: int, request: Any, deadline: float) -> None:
        """Adds a request. All requests have the same timeout, so deadlines are added in ascending order."""
        self.by_token[token] = PendingRequest(request, deadline)

    def get(self, token: int) -> PendingRequest | None:
        """Returns a request, None if it was answered or its caller has gone."""
        return self.by_token.get(token)

    def remove(self, token: int) -> PendingRequest | None:
        """Removes and returns a request, None if there is none."""
        return self.by_token.pop(token, None)

    def tokens_without_read(self) -> list[int]:
        """Returns the tokens of the requests that do not wait for a read yet."""
        reading = {token for tokens in self.reads.values() for token in tokens}
        return [token for token in self.by_token if token not in reading]

    def overdue(self, now: float) -> list[int]:
        """Returns the tokens of the requests whose deadline has passed."""
        return [token for token, pending in self.by_token.items() if pending.deadline <= now]

    def first_deadline(self) -> float:
        """Returns the earliest deadline, infinity if no request waits."""
        first = next(iter(self.by_token.values()), None)
        return first.deadline if first else float("inf")


class Proposals:
    """Steps that the leader has proposed. A step is proposed once, and again if it is not applied in time."""

    def __init__(self) -> None:
        self.retry_at: dict[str, float] = {}

    def propose(self, now: float, raft: RaftNode, step: str, command: Any) -> None:
        """Proposes `command` for the log, unless the same step is already in progress."""
        if self.retry_at.get(step, 0.0) > now:
            return
        try:
            raft.propose(now, encode(command))
        except RequestRejected:
            return
        self.retry_at[step] = now + PROPOSAL_RETRY_SECONDS

    def applied(self, step: str) -> None:
        """Records that a step was applied, so that the next one of this name may be proposed."""
        self.retry_at.pop(step, None)


def batches(rows: list[Any], size: int) -> Iterator[list[Any]]:
    """Yields the rows in batches of at most `size`."""
    for start in range(0, len(rows), size):
        yield rows[start : start + size]
