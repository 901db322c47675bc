"""Rules for the number of members and their zones. Pure functions."""

from collections import Counter
from collections.abc import Mapping

from foxspread.mesh.replication.membership import MemberSet

MIN_MEMBERS = 3  # fewer members tolerate no loss; with fewer machines, all are members


def target_size(tolerated_machines: int, tolerated_zones: int, zone_of: Mapping[str, str]) -> int:
    """Returns the number of members that tolerates the loss of so many machines, or of so many zones.

    The loss of n zones can be tolerated only with at least 2 n + 1 zones. With fewer zones, the spread of
    members over zones is not considered. `zone_of` maps replicas to zones.
    """
    size = max(MIN_MEMBERS, 2 * tolerated_machines + 1, 2 * tolerated_zones + 1)
    zone_count = len(set(zone_of.values()))
    if tolerated_zones and zone_count > 2 * tolerated_zones:
        while sum(sorted(_members_per_zone(size, zone_count))[-tolerated_zones:]) > size // 2:
            size += 2
    return size


def _members_per_zone(size: int, zone_count: int) -> list[int]:
    return [size // zone_count + (index < size % zone_count) for index in range(zone_count)]


def without_one_member(
    members: MemberSet, to_replace: list[str], zones: Mapping[str, str], surplus: bool
) -> set[str] | None:
    """Returns the members after the removal of one; None if all are to stay.

    The first of `to_replace` is removed or, if that is empty and there is a surplus, a member of the zone
    with the most members. `zones` maps replicas to zones.
    """
    if len(members.names) <= MIN_MEMBERS or not to_replace and not surplus:
        return None
    if to_replace:
        return set(members.names) - {to_replace[0]}
    per_zone = Counter(zones.get(name, "") for name in members.names)
    return set(members.names) - {max(members.names, key=lambda name: (per_zone[zones.get(name, "")], name))}


def improves_zone_balance(members: MemberSet, standby: str, zones: Mapping[str, str]) -> bool:
    """Tells whether replacing a member of the zone with the most members by a standby improves the balance.

    The zones must differ by at least two members: with a difference of one, the replacement would only
    reverse it, and be undone by the next change. `zones` maps replicas to zones.
    """
    per_zone = Counter(zones.get(name, "") for name in members.names)
    return max(per_zone.values()) - per_zone[zones.get(standby, "")] >= 2
