"""The fleet rules that a sidecar applies. Loaded only if the operator's file has an `[agreed]` section.

The sidecar calls `refresh` before each decision and right before the first byte of each attempt. `refresh`
compares the rules that the lease allows now with the active ones, and switches at once if they differ. So no
request is sent under rules whose lease expired while the process was suspended.
"""

import asyncio
import os
import pathlib
import secrets
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger

from foxspread.config import AddressedEndpoint, ConfigError, Section, parse_endpoint, settings
from foxspread.fleet_rules import codec, flat_rules
from foxspread.fleet_rules.codec import AloneState
from foxspread.fleet_rules.flat_rules import FlatRules, UnsupportedRuleError
from foxspread.fleet_rules.lease_client import LeaseClient
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder, Mode
from foxspread.fleet_rules.version_content import VersionContent, parse_version
from foxspread.operator_config.file import AgreedRulesConfig
from foxspread.statistics import SeededRandom

MAX_FILE_CHARACTERS = 1 << 20  # read from the state file; a version has at most 32 KiB
MAX_NAME_CHARACTERS = 48  # of a sidecar's name in its holder id; coordinators accept ids of up to 64
LOGGED_DIGEST_CHARACTERS = 12  # of a version's digest in the log


@dataclass
class ActiveRules:
    """Rules that a sidecar applies, in the form that the balancer takes."""

    mode: Mode = Mode.NONE
    phase: int = -1
    settings: dict[str, Any] | None = None  # None: no request may be sent
    servers: list[AddressedEndpoint] | None = None  # None: the list comes from discovery
    disabled_servers: frozenset[str] = frozenset()
    allowed_servers: frozenset[str] | None = None  # None: all servers
    until: float = float("-inf")  # when the rules change by the passage of time

    @property
    def alone(self) -> bool:
        """Whether the lease has expired and only the alone part applies."""
        return self.mode is Mode.ALONE


@dataclass
class SidecarRules:
    """Follows the fleet's rules on behalf of a sidecar.

    section: the `[agreed]` section of the operator's file.
    own: the sidecar's own settings `zone`, `position` and `seed`.
    clock: goes on while the machine is suspended, as leases do.
    """

    section: AgreedRulesConfig
    name: str
    own: dict[str, Any]
    clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    active: ActiveRules = field(default_factory=ActiveRules)
    client: LeaseClient | None = None

    def __post_init__(self) -> None:
        self.holder_id = _holder_id(self.name)
        self.chance = SeededRandom(zlib.crc32(self.holder_id.encode()))
        self.boot_id = _read_boot_id()
        self.holder = LeaseHolder(
            self.clock(),
            self.holder_id,
            self._parse_content,
            self.chance.draw,
            boot_id=self.boot_id,
            restored=self._read_alone_state(),
        )
        self.on_change: Callable[[ActiveRules], None] = lambda active: None
        self.seen_phase = -1  # the holder's phase at the latest check
        self.written_at = float("-inf")  # when the alone state was last written
        self.write_task: asyncio.Task | None = None

    def start(self, changed: Callable[[ActiveRules], None]) -> None:
        """Starts to follow the rules. `changed` is called with new active rules, which must apply when it
        returns."""
        self.on_change = changed
        self.client = LeaseClient(
            self.holder,
            self.clock,
            self.section.coordinators,
            self.chance.draw,
            self._activate,
            self._on_renewal,
        )
        self._activate(self.holder.effective(self.clock()))

    def refresh(self) -> bool:
        """Brings the active rules up to date, and returns whether any request may be sent now."""
        now = self.clock()
        if self.client is None:
            return False  # not started: nothing would apply the changes
        if now >= self.active.until or self.holder.phase != self.seen_phase:
            self._activate(self.holder.effective(now))
        return self.active.settings is not None

    def is_incomplete(self) -> bool:
        """Returns whether the active rules may lack categories of the version in force."""
        return self.active.mode is not Mode.IN_FORCE

    def retry_after_s(self) -> float:
        """Returns the seconds after which a rejected client may retry."""
        return 0.5 + self.chance.draw()

    def _on_renewal(self) -> None:
        now = self.clock()
        if self.section.file and now - self.written_at > self.holder.lease_seconds:
            self._write_alone_state(now)

    def _activate(self, effective: EffectiveRules) -> None:
        until, self.seen_phase = self.holder.next_expiry(self.clock()), self.holder.phase
        if (effective.mode, effective.phase) == (self.active.mode, self.active.phase):
            self.active.until = until
            return
        self.active = ActiveRules(effective.mode, effective.phase, until=until)
        if effective.mode is not Mode.NONE:
            try:
                rules = self._balancer_rules(effective.rules)
                self.active = replace(rules, mode=effective.mode, phase=effective.phase, until=until)
            except ConfigError as error:  # unexpected, as the version was checked; keeps the sidecar running
                logger.error("rules of phase {} can't be applied: {}", effective.phase, error)
        logger.info(
            "rules mode={} phase={} version={} next={} digest={}",
            effective.mode.value,
            effective.phase,
            self.holder.in_force,
            self.holder.announced,
            self._digest()[:LOGGED_DIGEST_CHARACTERS] or "-",
        )
        self.on_change(self.active)
        self.written_at = float("-inf")

    def _digest(self) -> str:
        """Returns the digest of the version in force, empty if its content has not been fetched."""
        content = self.holder.contents.get(self.holder.in_force)
        return content.digest if content is not None else ""

    def _balancer_rules(self, rules: FlatRules) -> ActiveRules:
        """Converts rules to the form that the balancer takes. Raises `ConfigError` with key and value."""
        tree = flat_rules.unflatten(rules)
        lists = tree.get("lists", {})
        own = {"az": self.own["zone"], "position": self.own["position"]}
        arguments = settings(Section(tree.get("settings", {}) | own, "settings"), self.own["seed"])
        servers, only = None, lists.get("only", "all")
        if lists.get("source") == "here":
            rows = Section({"servers": lists.get("servers", [])}, "lists").sections("servers")
            servers = [parse_endpoint(Section(row.values | {"state": "ready"}, row.path)) for row in rows]
        return ActiveRules(
            settings=arguments | {"watch_endpoints": True},
            servers=servers,
            disabled_servers=frozenset(lists.get("taken_out", [])),
            allowed_servers=None if only == "all" else frozenset(only),
        )

    def _parse_content(self, text: bytes) -> VersionContent:
        """Parses a version, and checks that this build on this machine could apply it in all modes.

        Called before the sidecar confirms a phase. Raises `ValueError` with key and reason.
        """
        try:
            content = parse_version(text)
            for rules in (content.rules, content.alone):
                if rules:
                    self._balancer_rules(rules)
        except (ConfigError, UnsupportedRuleError) as error:
            raise ValueError(str(error)) from None
        return content

    def stats(self) -> dict[str, Any]:
        """Returns the fields about rules for `/stats` and the health check of the admin port."""
        now, holder = self.clock(), self.holder
        return {
            "mode": self.active.mode.value,
            "phase": holder.phase,
            "version": holder.in_force,
            "next": holder.announced,
            "digest": self._digest(),
            "holder": self.holder_id,
            "lease_left": round(max(0.0, holder.lease_until - now), 3),
            "alone_left": round(max(0.0, holder.alone_until - now), 3) if holder.alone else 0.0,
            "turned_down": holder.refusal_reason,
            "calls": self.client.calls if self.client else 0,
            "calls_failed": self.client.failed_calls if self.client else 0,
        }

    # State kept across a restart

    def _read_alone_state(self) -> AloneState | None:
        """Reads the state file, None if it is unusable. The lease holder ignores state of an earlier boot."""
        if not self.section.file or not self.boot_id:
            return None
        try:
            with open(self.section.file, encoding="utf-8") as file:
                state = codec.decode_alone_state(file.read(MAX_FILE_CHARACTERS))
            if state.boot_id == self.boot_id and state.alone:
                self._balancer_rules(state.alone)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError, RecursionError, ConfigError) as error:
            logger.warning("'agreed.file': {} is ignored: {}", self.section.file, error)
            return None
        return state

    def _write_alone_state(self, now: float) -> None:
        """Writes the state file in a thread, as the disk may stall; one write at a time."""
        if self.write_task is not None and not self.write_task.done():
            return
        self.written_at = now
        text = codec.encode_alone_state(self.holder.alone_state())
        self.write_task = asyncio.ensure_future(asyncio.to_thread(self._replace_file, text))

    def _replace_file(self, text: str) -> None:
        new = pathlib.Path(self.section.file + ".new")
        try:
            new.write_text(text, encoding="utf-8")
            os.replace(new, self.section.file)
        except OSError as error:
            logger.warning("'agreed.file': {} could not be written: {}", self.section.file, error)

    async def close(self) -> None:
        """Cancels calls to coordinators, and waits for a write of the state file in progress."""
        if self.client is not None:
            await self.client.close()
        if self.write_task is not None:
            await asyncio.gather(self.write_task, return_exceptions=True)


def _holder_id(name: str) -> str:
    """Returns a new holder id for each start, as an earlier process of this name may still hold a lease."""
    safe = "".join(
        character if character.isascii() and (character.isalnum() or character in "._-") else "-"
        for character in name
    )
    return f"{safe[:MAX_NAME_CHARACTERS]}/{secrets.token_hex(4)}"


def _read_boot_id() -> str:
    """Returns the id of the machine's current boot; empty if it can't be read, and then no state is kept."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""
