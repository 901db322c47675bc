"""The replicated state of fleet rules: versions, which one is in force or announced, and the lease holders.

The state is a deterministic function of the entries of the log. The phase rises by one with each step of a
rollout, so that messages about an earlier one are recognised. Records are encoded by position with a tag for
their type; tags keep the spelling of the first release, as the logs of existing fleets contain them.
"""

import msgspec

from foxspread.config import ConfigError
from foxspread.consensus.records import ArrayStruct
from foxspread.consensus.versions import (
    PutVersion,
    RequestIdReused,
    VersionConflict,
    VersionHistory,
    VersionStore,
    VersionWritten,
)
from foxspread.consensus.wire import encode
from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.flat_rules import UnsupportedRuleError
from foxspread.fleet_rules.version_content import parse_version

MAX_HOLDERS = 10_000  # bounds the size of a snapshot
MAX_ALONE_VERSIONS = 64  # alone parts in use; a further version waits until one is dropped


class LeaseTerms(ArrayStruct, frozen=True, tag="terms"):
    """Lease terms that the fleet agrees on, in seconds.

    alone: how long after its last request a sidecar applies the alone part.
    drift: relative error that a clock may have.
    refusals: number of sidecars that may refuse a version without its withdrawal.

    The terms are in the log: if a member waited for shorter leases than another one grants, two sidecars
    could contradict each other.
    """

    lease: float = 10.0
    alone: float = 300.0
    drift: float = 0.02
    refusals: int = 0

    def expired_after(self, seconds: float) -> float:
        """Returns the time on a coordinator's clock after which a grant for `seconds` has expired on any
        other clock."""
        return seconds * (1 + self.drift)

    def contradiction_bound(self) -> float:
        """Returns how long two sidecars may contradict each other on a key without an intermediate value, not
        counting the time of one message."""
        return self.lease * (1 + self.drift)


class AdmitHolders(ArrayStruct, frozen=True, tag="open"):
    """Allows leases for these holders."""

    holders: list[str]


class RemoveHolders(ArrayStruct, frozen=True, tag="close"):
    """Ends new leases for these holders; leases that they hold run on until they expire."""

    holders: list[str]


class Announce(ArrayStruct, frozen=True, tag="announce"):
    """First step of a rollout: sidecars enter the transition to this version."""

    version: int


class PutInForce(ArrayStruct, frozen=True, tag="force"):
    """Second step of a rollout: the version that was announced with this phase comes into force."""

    phase: int


class Withdraw(ArrayStruct, frozen=True, tag="withdraw"):
    """Withdraws the version announced with this phase, because a sidecar refused it or a check failed."""

    phase: int
    reported_by: str
    reason: str


class DropAlonePart(ArrayStruct, frozen=True, tag="drop"):
    """Records that no sidecar can be applying this version's alone part any more."""

    version: int


Command = (
    PutVersion | LeaseTerms | AdmitHolders | RemoveHolders | Announce | PutInForce | Withdraw | DropAlonePart
)


class RolloutSnapshot(ArrayStruct):
    """Snapshot of the replicated state, encoded by position."""

    versions: VersionHistory
    phase: int
    in_force: int
    announced: int
    holders: list[str]
    alone_versions: list[int]
    withdrawn: dict[int, str]
    terms: LeaseTerms | None
    extension: bytes = b""  # of a subclass of `Rollout` (foxspread/singleton)


class Rollout(VersionStore):
    """Versions and the state of their rollout.

    in_force, announced: version numbers, 0 for none.
    alone_versions: versions whose alone part a sidecar may still apply.
    withdrawn: reasons of withdrawals by version number.
    terms: the first lease terms that were proposed; no lease is granted before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.phase, self.in_force, self.announced = 0, 0, 0
        self.holders: set[str] = set()
        self.alone_versions: list[int] = []
        self.withdrawn: dict[int, str] = {}
        self.terms: LeaseTerms | None = None

    def apply(self, body: bytes) -> VersionWritten | VersionConflict | RequestIdReused | None:
        """Applies a command of the log. A command for another than the current phase has no effect."""
        command = msgspec.msgpack.decode(body, type=Command)
        match command:
            case PutVersion():
                return self.put(command)
            case LeaseTerms():
                self.terms = self.terms or command
            case AdmitHolders():
                self.holders |= set(command.holders[: max(0, MAX_HOLDERS - len(self.holders))])
            case RemoveHolders():
                self.holders -= set(command.holders)
            case Announce():
                if not self.announced and command.version == self.next_to_announce():
                    self.phase, self.announced = self.phase + 1, command.version
            case DropAlonePart():
                if command.version not in (self.in_force, self.announced):
                    self.alone_versions = [
                        number for number in self.alone_versions if number != command.version
                    ]
            case PutInForce() | Withdraw():
                self._finish(command)
        return None

    def _finish(self, command: PutInForce | Withdraw) -> None:
        """Ends the current rollout."""
        if command.phase != self.phase or not self.announced:
            return
        version, self.announced, self.phase = self.announced, 0, self.phase + 1
        if isinstance(command, Withdraw):
            self.withdrawn[version] = f"{command.reported_by}: {command.reason}"
            return
        self.in_force = version
        if self._has_alone_part(version):
            self.alone_versions.append(version)

    def next_to_announce(self) -> int:
        """Returns the number of the version to announce next, always the latest one; 0 if there is none."""
        if self.latest <= self.in_force or self.latest in self.withdrawn:
            return 0
        return self.latest if len(self.alone_versions) < MAX_ALONE_VERSIONS else 0

    def _has_alone_part(self, number: int) -> bool:
        try:
            return bool(parse_version(self.by_number[number].content).alone)
        except (ConfigError, UnsupportedRuleError):
            return True

    def incompatibility(self, number: int) -> str:
        """Returns why a version can't be announced now, empty if it can.

        A version must allow everything that sidecars with expired leases may do under the alone parts in use.
        """
        try:
            content = parse_version(self.by_number[number].content)
            older = (parse_version(self.by_number[version].content).alone for version in self.alone_versions)
            for alone in (content.alone, *older):
                for text in compatibility.alone_violations(alone, content.rules):
                    return text
        except (ConfigError, UnsupportedRuleError) as error:
            return str(error)
        return ""

    def encode_snapshot(self) -> bytes:
        """Returns the encoded snapshot of the state."""
        return encode(
            RolloutSnapshot(
                VersionHistory(self.latest, list(self.by_number.values())),
                self.phase,
                self.in_force,
                self.announced,
                sorted(self.holders),
                self.alone_versions,
                self.withdrawn,
                self.terms,
                self.saved_extension(),
            )
        )

    def saved_extension(self) -> bytes:
        """Returns the part of the snapshot that a subclass adds."""
        return b""

    def restore_extension(self, data: bytes) -> None:
        """Restores the part of the snapshot that `saved_extension` returned."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot; empty data stands for the initial state."""
        if not data:
            return super().restore(data)
        snapshot = msgspec.msgpack.decode(data, type=RolloutSnapshot)
        super().restore(encode(snapshot.versions))
        self.phase = snapshot.phase
        self.in_force, self.announced = snapshot.in_force, snapshot.announced
        self.holders, self.withdrawn = set(snapshot.holders), snapshot.withdrawn
        self.alone_versions = snapshot.alone_versions
        self.terms = snapshot.terms
        self.restore_extension(snapshot.extension)
