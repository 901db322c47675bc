"""Limits how long refusals and tombstones are kept, so that the agreed state stays bounded.

Both are items of the agreed state, and a COMPACTION item tells which of them are removed, so that all
replicas remove the same ones. docs/design/orders.md explains why these limits suffice.
"""

from collections.abc import Mapping

from foxspread.mesh.configuration.items import (
    COLLECTED_AT,
    COMPACTION,
    FLOOR,
    OPERATOR_KINDS,
    REFUSALS,
    REFUSED,
    REFUSED_BEFORE,
    TOMBSTONES,
    Item,
    Key,
    Refusal,
)
from foxspread.mesh.errors import Failure, OutcomeUnknown

MAX_REFUSALS = 4096  # refused changes kept; when all are in use, the next one is answered as unknown
REFUSALS_BEFORE_COLLECTION = MAX_REFUSALS // 8
REFUSAL_RETENTION_S = 3600.0  # by the agreed clock; no copy of a change can be delayed for longer
MAX_REASON_CHARACTERS = 200  # stored part of the reason of a refusal
MAX_TOMBSTONES = 20_000
TOMBSTONES_AFTER_COLLECTION = 15_000  # lower, so that not every further tombstone starts a collection

ProposalNumber = tuple[int, str]  # as in `replication.learner`


def tombstone_floor(current: Mapping[Key, Item]) -> int:
    """Returns the highest version of the removed tombstones; up to it an unknown name may be one of them."""
    compaction = current.get((COMPACTION, TOMBSTONES))
    return compaction.content[FLOOR] if compaction is not None else 0


def _next_version(current: Mapping[Key, Item], key: Key) -> int:
    before = current.get(key)
    return before.version + 1 if before is not None else 1


def items_of_refusal(
    current: Mapping[Key, Item], digest: str, failure: Failure, agreed_clock: float
) -> dict[Key, Item] | OutcomeUnknown:
    """Returns the items that record a refused change, and the removal of old refusals if it is due.

    Returns a failure if too many refusals are kept: a refusal that is not recorded would not be final.
    """
    content = [failure.status, failure.reason[:MAX_REASON_CHARACTERS], round(agreed_clock, 3)]
    items = {(REFUSED, digest): Item(REFUSED, digest, 1, content)}
    refused_at = [Refusal.from_item(item).refused_at for item in current.values() if item.kind == REFUSED]
    retained_since = agreed_clock - REFUSAL_RETENTION_S
    if len(refused_at) >= REFUSALS_BEFORE_COLLECTION and min(refused_at) < retained_since:
        key = COMPACTION, REFUSALS
        items[key] = Item(*key, _next_version(current, key), {REFUSED_BEFORE: round(retained_since, 3)})
        refused_at = [at for at in refused_at if at >= retained_since]
    if len(refused_at) >= MAX_REFUSALS:
        return OutcomeUnknown("too many changes were refused within the last hour to record another refusal")
    return items


def tombstone_collection(
    current: Mapping[Key, Item], changed_at: Mapping[Key, ProposalNumber]
) -> dict[Key, Item]:
    """Returns the COMPACTION item that removes the oldest tombstones, if there are too many of them.

    `changed_at` has the proposal number at which each item changed. A change of an unknown name is no longer
    confirmed or refused if its version is not above the floor of the COMPACTION item.
    """
    tombstones = [item for item in current.values() if item.kind in OPERATOR_KINDS and item.content is None]
    if len(tombstones) <= MAX_TOMBSTONES:
        return {}
    tombstones.sort(key=lambda item: (changed_at[item.key], item.version))
    oldest = tombstones[: len(tombstones) - TOMBSTONES_AFTER_COLLECTION]
    key = COMPACTION, TOMBSTONES
    floor = max(tombstone_floor(current), *(item.version for item in oldest))
    collected_at = max(changed_at[item.key] for item in oldest)
    content = {FLOOR: floor, COLLECTED_AT: list(collected_at)}
    return {key: Item(*key, _next_version(current, key), content)}
