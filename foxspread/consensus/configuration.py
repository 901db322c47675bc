"""Reads and validates a coordinator's configuration file (TOML).

deploy/coordinator.toml describes all keys. Operators' files contain them, so their spelling is fixed; no
other module depends on it.
"""

import tomllib
from dataclasses import dataclass, field
from typing import Any

from foxspread.config import Address, ConfigError, Section, address
from foxspread.consensus.coordinator import DEFAULT_ANSWER_TIMEOUT_S
from foxspread.consensus.raft import RaftSettings

CLUSTER_SIZES = (3, 5, 7)  # an even size tolerates no more failures than the odd size below it
MIN_HEARTBEATS_PER_ELECTION = 3  # a single lost heartbeat must not start an election
MIN_SECONDS = 0.001
TOP_KEYS = {"fleet", "name", "listen", "folder", "joins", "members", "reach", "times", "leases"}
TIMES_KEYS = {"beat", "election", "patience"}


@dataclass(frozen=True)
class CoordinatorConfig:
    """The configuration of one coordinator.

    fleet, name: ids of the cluster and of this coordinator.
    listen: the address at which this coordinator accepts connections.
    folder: path of the data folder.
    join_existing: whether this coordinator joins an existing cluster instead of starting a new one.
    members: addresses of a new cluster's initial members, by name.
    address_overrides: addresses that replace those of some members, as seen from this host.
    settings: timing and bounds of Raft.
    answer_timeout_s: seconds within which each call is answered.
    coordinator_options: further keyword arguments of the coordinator's class.
    """

    fleet: str
    name: str
    listen: Address
    folder: str
    join_existing: bool = False
    members: dict[str, str] = field(default_factory=dict)
    address_overrides: dict[str, str] = field(default_factory=dict)
    settings: RaftSettings = RaftSettings()
    answer_timeout_s: float = DEFAULT_ANSWER_TIMEOUT_S
    coordinator_options: dict[str, Any] = field(default_factory=dict)


def read(path: str) -> CoordinatorConfig:
    """Reads the configuration in a file. Raises `ConfigError`, which names key and value."""
    try:
        with open(path, "rb") as file:
            top = Section(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"cannot read the coordinator's configuration file {path}: {error}") from None
    return parse(top)


def parse(top: Section) -> CoordinatorConfig:
    """Validates the configuration in a parsed file. Raises `ConfigError`, which names key and value."""
    times = top.section("times")
    members = _addresses(top.section("members"))
    _check_keys(top, TOP_KEYS)
    _check_keys(times, TIMES_KEYS)
    name, joins = top.text("name"), top.flag("joins")
    if len(members) not in CLUSTER_SIZES:
        raise ConfigError(
            f"'members' must list {', '.join(map(str, CLUSTER_SIZES))} coordinators, not {len(members)}"
        )
    if not joins and name not in members:
        raise ConfigError(f"'members' must list this coordinator ({name!r}) unless 'joins' is true")
    return CoordinatorConfig(
        top.text("fleet"),
        name,
        address(top.text("listen"), "listen"),
        top.text("folder"),
        joins,
        members,
        _addresses(top.section("reach")),
        _raft_settings(times),
        _positive(times, "patience", DEFAULT_ANSWER_TIMEOUT_S),
    )


def _check_keys(section: Section, allowed_keys: set[str]) -> None:
    for key in section.values.keys() - allowed_keys:
        raise ConfigError(f"unknown key '{section.name(key)}'")


def _raft_settings(times: Section) -> RaftSettings:
    defaults = RaftSettings()
    heartbeat_s = _positive(times, "beat", defaults.heartbeat_interval_s)
    election_s = _positive(times, "election", defaults.election_timeout_s)
    minimum_s = MIN_HEARTBEATS_PER_ELECTION * heartbeat_s
    if election_s < minimum_s:
        raise ConfigError(
            f"'times.election' must be at least {MIN_HEARTBEATS_PER_ELECTION} times 'times.beat' "
            f"({minimum_s:g}), not {election_s:g}"
        )
    return RaftSettings(heartbeat_s, election_s)


def _positive(section: Section, key: str, default: float) -> float:
    return section.number(key, default, MIN_SECONDS)


def _addresses(section: Section) -> dict[str, str]:
    addresses: dict[str, str] = {}
    for key in section.values:
        addresses[key] = str(address(section.text(key), section.name(key)))
    if len(set(addresses.values())) != len(addresses):
        raise ConfigError(f"'{section.path}' must not contain an address twice: {addresses}")
    return addresses
