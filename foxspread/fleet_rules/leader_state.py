"""The leader's knowledge of lease holders, and the reports that other members send to it."""

from dataclasses import dataclass, field

from foxspread.consensus.records import ArrayStruct
from foxspread.fleet_rules.pending_requests import Proposals


class HolderStatus(ArrayStruct):
    """Latest report of a holder: the phase that it applies, the phase that it refuses (0: none), and why."""

    phase: int
    refused_phase: int = 0
    refusal_reason: str = ""


class HolderReport(ArrayStruct, frozen=True, tag="report"):
    """Statuses of holders that a member received, as sent to the leader."""

    statuses: dict[str, HolderStatus]


@dataclass
class LeaderState:
    """What a leader has learnt about holders since its election."""

    term: int
    since: float
    last_received_at: dict[str, float] = field(default_factory=dict)
    statuses: dict[str, HolderStatus] = field(default_factory=dict)
    unadmitted: dict[str, None] = field(default_factory=dict)  # holders to be admitted, in order of arrival
    refusing: dict[str, HolderStatus] = field(default_factory=dict)  # holders that refused a phase
    next_timeout_check: float = 0.0
    checked_phase: int = 0  # the announced version of this phase was checked for incompatibilities
    incompatibility: str = ""  # the result of that check, empty for none
    proposals: Proposals = field(default_factory=Proposals)
