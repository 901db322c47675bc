"""What a copy lacks, asked for piece by piece: one at a time, of the peer with the newest, and of another
where it does not come. Nothing of it is shown before the whole has come: rows are staged here, and whoever
leaves off at a place goes on there with any peer. A core without I/O; docs/design/catching-up.md says why a
whole that was put together from several tellers is one.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

import orjson

from foxspread.mesh.replication.learner import (
    NONE,
    START,
    ProposalNumber,
    Learner,
    Offset,
    Row,
    unpack_proposal_number,
    pack_offset,
    unpack_offset,
    offset_of,
    chunk_digest,
    end_of_proposal,
)

Message = dict[str, Any]
ASKED_S = 0.5  # for a piece, at first: 64 KiB take 0.26 s on a link of 2 Mbit/s
ASKED_MOST_S = 8.0  # doubling with each that does not come
TIMES_LAST = 3.0  # the time that the last piece took is what the next may take, so many times
SHUNNED_S = 1.0  # a peer whose piece did not come, or was spoilt, while there are others
CEILING_S = 2.0  # without any peer that holds as much as one that told a piece: begun anew
ASKINGS_MOST = 4  # that an answer is still taken for


@dataclass(frozen=True, slots=True)
class ReceivedRows:
    """The whole of what was lacking."""

    committed_number: ProposalNumber
    rows: list[Row]
    replaced: bool  # it is the whole set, in the place of what is held: `Copy.replace`
    age: float | None  # seconds for which something newer that was acknowledged may be missing


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    peer: Hashable
    after: Offset
    at: float


class SnapshotTransfer:
    def __init__(
        self, learner: Learner, draw: Callable[[], float], bytes_a_second: float = float("inf")
    ) -> None:
        """`copy`: what is held here; whoever is handed a `Taken` folds it in there. `bytes_a_second`: of rows
        as JSON, asked for at the most."""
        self.learner, self.draw, self.bytes_a_second = learner, draw, bytes_a_second
        self.has: dict[Hashable, ProposalNumber] = {}
        self.shunned: dict[Hashable, float] = {}
        self.count = 0
        self.askings: dict[int, ChunkRequest] = {}
        self.waiting: ChunkRequest | None = None  # for its answer, until `until`
        self.until = self.next_at = 0.0
        self.patience = ASKED_S
        self._begin(anew=False)

    def _begin(self, anew: bool) -> None:
        """`anew`: from nothing, in the place of what is held."""
        self.anew, self.staged = anew, {}
        self.started = False
        self.cursor = START
        self.since: ProposalNumber | None = (
            None  # no teller of what is staged, and not what is held here, was older
        )
        self.ceiling = NONE  # the newest of these tellers
        self.below_since: float | None = None  # no peer holds as much as that
        self.waiting = None
        self.askings.clear()

    def told(self, peer: Hashable, committed_number: ProposalNumber) -> None:
        """What that peer says it holds, of late."""
        self.has[peer] = committed_number

    def left(self, peer: Hashable) -> None:
        self.has.pop(peer, None)
        self.shunned.pop(peer, None)
        if self.waiting is not None and self.waiting.peer == peer:
            self.waiting = None

    @property
    def behind(self) -> bool:
        return max(self.has.values(), default=NONE) > self.learner.committed_number

    def wake_at(self) -> float | None:
        if self.waiting is not None:
            return self.until
        times = [self.next_at] if self.behind and self._useful() else []
        if self.below_since is not None:
            times.append(self.below_since + CEILING_S)
        return min(times, default=None)

    def step(self, now: float) -> list[tuple[Hashable, Message]]:
        """What to ask now, and of whom: after each `told`, `left` and `heard`, and at `wake_at`."""
        if self.waiting is not None:
            if now < self.until:
                return []
            self._failed(now, self.waiting.peer)
        if self.started and self.learner.committed_number >= self.ceiling:
            self._begin(anew=False)  # learnt meanwhile by another way
        self._look_for_ceiling(now)
        if not self.behind or now < self.next_at:
            return []
        if not self.started:
            self.cursor = START if self.anew else end_of_proposal(self.learner.committed_number)
            self.since = None if self.cursor == START else self.learner.committed_number
        peer = self._peer(now)
        if peer is None:
            return []
        self.count += 1
        self.waiting = self.askings[self.count] = ChunkRequest(peer, self.cursor, now)
        self.askings.pop(self.count - ASKINGS_MOST, None)
        self.until = now + self.patience
        message = {"t": "piece", "n": self.count, "after": pack_offset(self.cursor)}
        if self.since is not None and self.since != self.cursor[0]:
            message["since"] = self.since
        return [(peer, message)]

    def heard(self, now: float, peer: Hashable, message: Message) -> ReceivedRows | None:
        """A piece; once nothing is lacking any more, the whole."""
        asking = self.askings.get(message["n"])
        if asking is None or asking.peer != peer or asking.after != self.cursor:
            return None  # of what was asked of another meanwhile, or begun anew since
        committed_number = unpack_proposal_number(message["upto"])
        if peer in self.has:
            self.has[peer] = committed_number
        if message.get("again"):
            self._begin(anew=True)
            return None
        rows, more = message["rows"], message["more"]
        horizon = unpack_proposal_number(message.get("horizon", NONE))
        if (
            message["digest"] != chunk_digest(rows, self.cursor, committed_number, more, horizon)
            or more
            and not rows
        ):
            self._failed(now, peer)
            if self.shunned.keys() >= set(self._useful()):
                self.next_at = now + self.draw() * self.patience
            return None
        if committed_number < self.cursor[0]:
            self.waiting = None
            return None
        if self.since is not None and horizon > self.since:
            self._begin(anew=True)
            return None
        self.waiting, self.started = None, True
        self.patience = min(ASKED_MOST_S, max(ASKED_S, TIMES_LAST * (now - asking.at)))
        if self.bytes_a_second < float("inf"):
            self.next_at = asking.at + len(orjson.dumps(rows)) / self.bytes_a_second
        self.since = committed_number if self.since is None else min(self.since, committed_number)
        self.ceiling = max(self.ceiling, committed_number)
        for each in rows:
            self.staged[each[0], each[1]] = each
        self.cursor = offset_of(rows[-1]) if more else end_of_proposal(committed_number)
        if more or committed_number < self.ceiling:
            return None
        told, replaced = list(self.staged.values()), self.anew
        self._begin(anew=False)
        if committed_number <= self.learner.committed_number:
            return None
        age = message.get("age")
        return ReceivedRows(committed_number, told, replaced, None if age is None else age + now - asking.at)

    @staticmethod
    def answer(learner: Learner, message: Message, age: float | None, for_keeper: bool) -> Message:
        """What a teller says to `piece`. A machine without a disk holds too little for one with a disk."""
        after = unpack_offset(message["after"])
        since = unpack_proposal_number(message.get("since", after[0]))
        told = {"t": "rows", "n": message["n"]}
        if after != START and learner.horizon > since:
            return {**told, "upto": learner.committed_number, "again": True}
        return {**told, **learner.piece(after, bare=not for_keeper).packed(), "age": age}

    def _failed(self, now: float, peer: Hashable) -> None:
        self.waiting = None
        self.shunned[peer] = now + SHUNNED_S * (1 + self.draw())
        self.patience = min(ASKED_MOST_S, 2 * self.patience)

    def _look_for_ceiling(self, now: float) -> None:
        """What is staged becomes a whole only with a teller no older than any before; where there is none,
        it is left after a while for one that can be had."""
        if not self.started or any(
            committed_number >= self.ceiling for committed_number in self.has.values()
        ):
            self.below_since = None
        elif self.below_since is None:
            self.below_since = now
        elif now - self.below_since >= CEILING_S:
            self._begin(self.anew)

    def _useful(self) -> list[Hashable]:
        if not self.started:
            return [
                peer
                for peer, committed_number in self.has.items()
                if committed_number > self.learner.committed_number
            ]
        return [
            peer
            for peer, committed_number in self.has.items()
            if end_of_proposal(committed_number) > self.cursor
        ]

    def _peer(self, now: float) -> Hashable | None:
        """One with the newest that did not fail of late, or the one that failed longest ago."""
        for peer in [each for each, until in self.shunned.items() if until <= now]:
            del self.shunned[peer]
        useful = self._useful()
        if not useful:
            return None
        sound = [each for each in useful if each not in self.shunned]
        if not sound:
            return min(useful, key=self.shunned.__getitem__)
        newest = max(self.has[each] for each in sound)
        first = [each for each in sound if self.has[each] == newest]
        return first[int(self.draw() * len(first))]
