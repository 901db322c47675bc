"""Failures as values: a sentinel that is false and carries its reason. Nothing in the mesh raises what a
peer, an operator or a disk can cause; only a broken invariant stops the process (`Broken`).
"""

from dataclasses import dataclass


class InvariantViolation(Exception):
    """An invariant does not hold: going on could do harm, so the process ends."""


@dataclass(frozen=True, slots=True)
class Failure:
    """What did not come about, and why; false in a condition. `status` is what a caller over HTTP is told."""

    reason: str
    status: int = 400

    def __bool__(self) -> bool:
        return False


def invalid(reason: str) -> Failure:
    """For good: nothing of it is or will be in force."""
    return Failure(reason, 400)


def conflict(reason: str) -> Failure:
    """For good: another content holds that version."""
    return Failure(reason, 409)


def outcome_unknown(reason: str) -> Failure:
    """Not known whether it came about: the caller asks again, here or elsewhere."""
    return Failure(reason, 503)
