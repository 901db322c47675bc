"""Checks linearizability: could a single register of versions have given a history of puts and gets?

After J. M. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (1993), with the states that were
seen kept (G. Lowe, 2017).

An operation takes effect at one moment between its call and its answer; one without an answer at any moment
after its call, or never. All contents of a history differ, so that a version's digest names its put.
"""

from dataclasses import dataclass

NEVER = float("inf")


@dataclass(frozen=True)
class Op:
    """`kind`: put (done), conflict (a put that was turned down), unknown (a put without an answer), get."""

    client: str
    kind: str
    called: float
    answered: float = NEVER
    number: int = 0  # put: the version it gave; conflict, get: the latest there was
    digest: str = ""  # put, unknown: of its content; get: of what it read
    if_version: int = -1


State = tuple[int, str]  # number and digest of the latest version


def after(state: State, op: Op) -> State | None:
    """The state once `op` took effect in `state`; None where its answer would be another one."""
    number, digest = state
    if op.kind == "get":
        return state if (op.number, op.digest) == state else None
    if op.kind == "conflict":
        return state if op.number == number and op.if_version != number else None
    if op.if_version not in (-1, number) or op.kind == "put" and op.number != number + 1:
        return None
    return number + 1, op.digest


def violation(history: list[Op], budget: int = 2_000_000) -> str:
    """ "" where the history is linearizable; otherwise how far it is. Raises `Undecided` beyond the budget of
    steps."""
    ops = sorted(history, key=lambda op: (op.called, op.answered))
    needed = sum(1 << at for at, op in enumerate(ops) if op.kind != "unknown")
    seen: set[tuple[int, State]] = set()
    longest, steps = 0, 0
    stack = [(0, (0, ""), iter(_next(ops, 0)))]  # what has taken effect, as bits; the state; what may be next
    if not needed:
        return ""
    while stack:
        done, state, candidates = stack[-1]
        for at in candidates:
            steps += 1
            then = after(state, ops[at])
            key = (done | 1 << at, then)
            if then is None or key in seen:
                continue
            if key[0] & needed == needed:
                return ""
            seen.add(key)
            longest = max(longest, key[0].bit_count())
            stack.append((*key, iter(_next(ops, key[0]))))
            break
        else:
            stack.pop()
        if steps > budget:
            raise Undecided(f"{steps} steps over {len(ops)} operations")
    return f"at most {longest} of {len(ops)} operations fit one order"


def _next(ops: list[Op], done: int) -> list[int]:
    """What may take effect next: called before the earliest answer that is still to be given."""
    candidates, limit = [], NEVER
    for at in range((~done & (done + 1)).bit_length() - 1, len(ops)):
        if ops[at].called > limit:
            break
        if not done >> at & 1:
            candidates.append(at)
            limit = min(limit, ops[at].answered)
    return candidates


class Undecided(Exception):
    """The history is too wide for the budget."""


def with_outcomes(history: list[Op], final: dict[int, str]) -> list[Op]:
    """The same history, where each put without an answer has the outcome that the complete history of
    versions shows, as a client read it at the end: written under a number, or never."""
    numbers = {digest: number for number, digest in final.items()}
    outcomes = []
    for op in history:
        if op.kind != "unknown":
            outcomes.append(op)
        elif op.digest in numbers:
            outcomes.append(
                Op(op.client, "put", op.called, NEVER, numbers[op.digest], op.digest, op.if_version)
            )
    return outcomes
