"""Table of the keys that a version may contain: how two values of a key contradict each other, how they are
merged in the transition, and the default. A version with any other key is rejected.
"""

import enum
from dataclasses import dataclass
from typing import Any

from foxspread.config import IDEMPOTENCY_BY_SEMANTICS
from foxspread.fleet_rules.flat_rules import UnsupportedRuleError, is_row, section_of
from foxspread.model import IDEMPOTENCY_BY_STRICTNESS


class Merge(enum.Enum):
    """How two values of a key are merged into one that both versions allow. `foxspread rules bound` prints
    the values of this enum."""

    MINIMUM = "the smaller of both"
    MAXIMUM = "the larger of both"
    BOTH = "on only where it is on in both"
    STRICTER_EFFECT = "the effect that allows fewer repeats"
    INDEPENDENT = "either: two values of it contradict nothing outside of one sidecar"
    SWITCH = "nothing: it changes when the new version is in force"
    SAME = "the row only where it is the same in both"
    UNION = "all that either names"
    INTERSECTION = "what both name"


# Values of `semantics`, each of which allows fewer repeats than the one before.
EFFECTS_BY_STRICTNESS = tuple(
    sorted(
        IDEMPOTENCY_BY_SEMANTICS,
        key=lambda effect: IDEMPOTENCY_BY_STRICTNESS.index(IDEMPOTENCY_BY_SEMANTICS[effect]),
    )
)


@dataclass(frozen=True)
class KeyRule:
    """How one key may change.

    contradiction: what clients or servers observe while sidecars apply different values.
    default: the default of `config.settings`; None if the key must be set, or if it is `INDEPENDENT`.
    """

    merge: Merge
    contradiction: str
    default: Any = None


# By path; * stands for the name of a row of a list.
KEY_RULES: dict[str, KeyRule] = {
    "settings.siblings": KeyRule(
        Merge.MAXIMUM, "limits summed over all sidecars, each of which applies its share", 1
    ),
    "settings.surplus_benefit": KeyRule(Merge.INDEPENDENT, "which requests one sidecar rejects first"),
    "settings.period_us": KeyRule(Merge.INDEPENDENT, "when one sidecar recomputes its decisions"),
    "settings.discovery": KeyRule(Merge.INDEPENDENT, "how one sidecar requests its endpoint list"),
    "settings.categories.*.expected_time_us": KeyRule(Merge.INDEPENDENT, "when one sidecar retries"),
    "settings.categories.*.abandon_time_us": KeyRule(Merge.MINIMUM, "answers after a client's deadline"),
    "settings.categories.*.benefit": KeyRule(Merge.INDEPENDENT, "which requests one sidecar rejects first"),
    "settings.categories.*.late_benefit": KeyRule(Merge.INDEPENDENT, "like benefit"),
    "settings.categories.*.semantics": KeyRule(
        Merge.STRICTER_EFFECT, "another sidecar retries a request that must not run twice", "single_shot"
    ),
    "settings.categories.*.key_scope": KeyRule(
        Merge.SWITCH, "a retry reaches servers that do not deduplicate it", "cell"
    ),
    "settings.categories.*.repeat_window_us": KeyRule(
        Merge.MINIMUM, "a retry after servers have forgotten the first attempt", 0
    ),
    "settings.categories.*.stream": KeyRule(
        Merge.SWITCH, "whether a request body is streamed or buffered", False
    ),
    "settings.tenants.*.share": KeyRule(
        Merge.MINIMUM, "a tenant gets more than its share from all sidecars together", 0
    ),
    "settings.tenants.*.quota_per_s": KeyRule(
        Merge.MINIMUM, "a tenant's requests per second, summed over all sidecars", 0
    ),
    "settings.limits.max_hand_offs": KeyRule(
        Merge.MINIMUM, "retries at servers, summed over all sidecars", 1
    ),
    "settings.limits.parallel_tries": KeyRule(
        Merge.BOTH, "hedged attempts of one request at two servers", False
    ),
    "settings.limits.cancelling": KeyRule(Merge.BOTH, "attempts that are cancelled", False),
    "settings.limits.retry_after": KeyRule(Merge.BOTH, "Retry-After values sent to clients", False),
    "settings.limits.max_retry_after_us": KeyRule(Merge.MINIMUM, "Retry-After values sent to clients", 0),
    "settings.limits.multiplex": KeyRule(Merge.MINIMUM, "concurrent requests on one connection", 1),
    "settings.contract.cold_from": KeyRule(
        Merge.MINIMUM, "load on a server in slow start, from all sidecars together", 1.0
    ),
    "settings.contract.cold_us": KeyRule(Merge.MAXIMUM, "like cold_from", 0),
    "settings.contract.fall_multiple": KeyRule(Merge.MINIMUM, "like cold_from", 1.0),
    "settings.specifics.warm_keys": KeyRule(
        Merge.INDEPENDENT, "where one sidecar sends requests for keys that it knows"
    ),
    "settings.tariffs.waste": KeyRule(Merge.INDEPENDENT, "what one sidecar cancels"),
    "lists.source": KeyRule(
        Merge.SWITCH, "requests at servers that are not in another sidecar's list", "discovery"
    ),
    "lists.taken_out": KeyRule(Merge.UNION, "requests at a disabled server", []),
    "lists.only": KeyRule(Merge.INTERSECTION, "requests at a server that is not named", "all"),
    "lists.servers.*.addr": KeyRule(Merge.SAME, "requests at an address that now belongs to another server"),
    "lists.servers.*.zone": KeyRule(Merge.SAME, "a retry reaches servers that do not deduplicate it", ""),
    "lists.servers.*.cell": KeyRule(Merge.SAME, "a retry reaches servers that do not deduplicate it", 0),
    "lists.servers.*.weight": KeyRule(Merge.INDEPENDENT, "how one sidecar distributes its requests"),
    "lists.servers.*.kind": KeyRule(
        Merge.INDEPENDENT, "how one sidecar distributes its requests over kinds of servers"
    ),
    "lists.servers.*.started_ms": KeyRule(
        Merge.INDEPENDENT, "for how long one sidecar treats a server as in slow start"
    ),
}
# Settings of a single sidecar; a version that contains one is rejected.
PER_SIDECAR_KEYS = {"settings.az", "settings.position", "settings.seed"}


def rule_of(path: str) -> KeyRule | None:
    """Returns the rule of a path, None for the entry of a row itself. Raises `UnsupportedRuleError` for a
    path without a rule."""
    if is_row(path):
        return None
    if section := section_of(path):
        path = f"{section}.*.{path.rpartition('.')[2]}"
    if path in PER_SIDECAR_KEYS:
        raise UnsupportedRuleError(f"'{path}' is each sidecar's own setting, and not allowed in a version")
    if path not in KEY_RULES:
        raise UnsupportedRuleError(f"'{path}' has no merge rule, and is not allowed in a version")
    return KEY_RULES[path]


def is_switch(path: str) -> bool:
    """Returns whether the key changes without an intermediate value."""
    rule = rule_of(path)
    return rule is not None and rule.merge is Merge.SWITCH
