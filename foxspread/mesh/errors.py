"""The kinds of failure of the mesh: return values for expected failures, one exception for broken invariants.

What a peer, an operator or a disk can cause is an ordinary outcome. It is returned as a `Failure`, which is
false in a condition, so that no caller can miss it as it could miss an exception. Only a broken invariant is
raised, as `InvariantViolation`: continuing could do harm, so the process exits.

The status of a failure is an HTTP status (RFC 9110), which the control API responds with.
"""

from dataclasses import dataclass


class InvariantViolation(Exception):
    """A broken invariant: continuing could do harm, so the process exits."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Result of an operation that failed; false in a condition.

    `reason` is a text for people that names the offending value; `status` is the HTTP status that the control
    API responds with.
    """

    reason: str
    status: int = 400

    def __bool__(self) -> bool:
        return False


@dataclass(frozen=True, slots=True)
class InvalidRequest(Failure):
    """Final failure: the request is malformed or contradicts the configuration; no part of it is applied."""

    status: int = 400


@dataclass(frozen=True, slots=True)
class InvalidSettings(Failure):
    """Failure to read the settings file of a process, or an invalid value in it."""

    status: int = 400


@dataclass(frozen=True, slots=True)
class Conflict(Failure):
    """Final failure: the version already belongs to another content."""

    status: int = 409


@dataclass(frozen=True, slots=True)
class InstanceEnded(Failure):
    """Final failure: this incarnation of a server has reported that it ended."""

    status: int = 410


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(Failure):
    """Failure that leaves open whether the request takes effect; the caller retries it, here or elsewhere."""

    status: int = 503


# Spelled out, since `status` of a class with slots is a descriptor and not the default value.
_KIND_OF_STATUS: dict[int, type[Failure]] = {
    400: InvalidRequest,
    409: Conflict,
    410: InstanceEnded,
    503: OutcomeUnknown,
}


def failure_from_status(status: int, reason: str) -> Failure:
    """Returns the failure of the kind that has this status, as when it is read from storage."""
    return _KIND_OF_STATUS.get(status, Failure)(reason, status)
