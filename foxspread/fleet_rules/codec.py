"""JSON encodings of fleet rules: HTTP calls between sidecars and coordinators, and a sidecar's state file.

Keys keep the spelling of the first release, because other builds and state files of earlier starts use them.
They are defined only here. Records of the replicated log are encoded by position instead.
"""

import json
from dataclasses import dataclass
from typing import Any

from foxspread.fleet_rules.flat_rules import FlatRules

# Request of POST /lease.
HOLDER, PHASE, REFUSED_PHASE, REFUSAL_REASON = "holder", "phase", "refused", "why"
# Response of POST /lease, and of GET /course.
GRANT, IN_FORCE, ANNOUNCED = "grant", "settled", "next"
LEASE, ALONE, DRIFT, MAX_REFUSALS = "lease", "alone", "drift", "refusals"
# State file of a sidecar.
BOOT, ALONE_UNTIL = "boot", "alone_until"


@dataclass(frozen=True)
class LeaseRequest:
    """A sidecar's request for a lease.

    phase: the phase that the sidecar applies; reporting it confirms the phase.
    refused_phase: a phase that the sidecar can't apply, 0 for none; `refusal_reason` says why.
    sent_at: by the sidecar's clock. It is not transmitted; the sidecar matches it with the response.
    """

    holder_id: str
    sent_at: float
    phase: int
    refused_phase: int = 0
    refusal_reason: str = ""


@dataclass(frozen=True)
class LeaseGrant:
    """A coordinator's response to a `LeaseRequest`.

    in_force, announced: version numbers, 0 for none.
    lease: seconds from when the request was sent, for which the sidecar may apply the rules.
    alone: seconds from when the request was sent, for which it may apply the alone part after the lease.
    drift: relative clock drift that the fleet's lease terms allow for.
    """

    phase: int
    in_force: int
    announced: int
    lease: float
    alone: float
    drift: float = 0.0


@dataclass(frozen=True)
class AloneState:
    """State that a sidecar keeps across a restart.

    A lease is never kept: how long the process was down is known only by the same clock.
    boot_id: identifies the boot of the machine; its clock restarts with each boot.
    """

    boot_id: str
    in_force: int
    alone: FlatRules
    alone_until: float


def encode_request(request: LeaseRequest) -> bytes:
    """Returns the request body of POST /lease."""
    return json.dumps(
        {
            HOLDER: request.holder_id,
            PHASE: request.phase,
            REFUSED_PHASE: request.refused_phase,
            REFUSAL_REASON: request.refusal_reason,
        }
    ).encode()


def encode_grant(grant: LeaseGrant) -> dict[str, Any]:
    """Returns the grant as a field of the response to POST /lease."""
    return {
        PHASE: grant.phase,
        IN_FORCE: grant.in_force,
        ANNOUNCED: grant.announced,
        LEASE: grant.lease,
        ALONE: grant.alone,
        DRIFT: grant.drift,
    }


def decode_grant(row: dict[str, Any]) -> LeaseGrant:
    """Reads a grant from the response to POST /lease. Builds without drift in their lease terms send none.

    Raises `KeyError`, `TypeError` or `ValueError` if the grant is malformed.
    """
    return LeaseGrant(
        int(row[PHASE]),
        int(row[IN_FORCE]),
        int(row[ANNOUNCED]),
        float(row[LEASE]),
        float(row[ALONE]),
        float(row.get(DRIFT, 0.0)),
    )


def encode_alone_state(state: AloneState) -> str:
    """Returns the contents of a sidecar's state file."""
    return json.dumps(
        {
            BOOT: state.boot_id,
            IN_FORCE: state.in_force,
            ALONE: state.alone,
            ALONE_UNTIL: state.alone_until,
        }
    )


def decode_alone_state(text: str) -> AloneState:
    """Reads a sidecar's state file. Raises `KeyError`, `TypeError` or `ValueError` if it is malformed."""
    row = json.loads(text)
    return AloneState(str(row[BOOT]), int(row[IN_FORCE]), dict(row[ALONE]), float(row[ALONE_UNTIL]))
