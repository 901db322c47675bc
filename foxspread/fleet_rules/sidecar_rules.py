"""A sidecar's part in agreed rules: what its decisions are made under at this moment. Loaded where the
operator's file has an `[agreed]` section, and by nothing else.

`present` is asked before each decision and right before each first byte. It compares what the holder may act
on at that moment with what the sidecar is on, and has it changed at once where these differ: so nothing is
done under rules whose lease ran out while the process stood still.
"""

import asyncio
import json
import os
import pathlib
import secrets
import time
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from loguru import logger

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.lease_client import Follower
from foxspread.fleet_rules.lease_holder import Acting, Content, Holder, Kept, Mode
from foxspread.config import ConfigError, NamedServer, Section, named_server, settings
from foxspread.operator.file import Agreed
from foxspread.sums import Chance

KEPT_MOST = 1 << 20  # characters of the kept file


@dataclass
class Ruled:
    """What a sidecar is on: settings as the balancer takes them, None where nothing may be done."""

    mode: Mode = Mode.NONE
    phase: int = -1
    settings: dict[str, Any] | None = None
    servers: list[NamedServer] | None = None  # None: discovery has the list
    taken_out: frozenset[str] = frozenset()
    only: frozenset[str] | None = None
    until: float = float("-inf")  # by the machine's clock: when this changes by itself

    @property
    def alone(self) -> bool:
        return self.mode is Mode.ALONE


@dataclass
class Party:
    """`own`: what the sidecar has for itself (`zone`, `position`, `seed`)."""

    told: Agreed
    name: str
    own: dict[str, Any]
    clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
    on: Ruled = field(default_factory=Ruled)
    follower: Follower | None = None

    def __post_init__(self) -> None:
        # One of its own for each start: another process under this name may still hold what it was given.
        safe = "".join(
            each if each.isascii() and (each.isalnum() or each in "._-") else "-" for each in self.name
        )
        self.id = f"{safe[:48]}/{secrets.token_hex(4)}"
        self.chance = Chance(zlib.crc32(self.id.encode()))
        self.boot = _boot()
        self.holder = Holder(
            self.clock(), self.id, self._check, self.chance.draw, boot=self.boot, kept=self._read_kept()
        )
        self.changed: Callable[[Ruled], None] = lambda ruled: None
        self.heard = -1  # the holder's phase when that was last looked at
        self.kept_at = float("-inf")
        self.keeping: asyncio.Task | None = None

    def start(self, changed: Callable[[Ruled], None]) -> None:
        """`changed` is called whenever what it is on changes, and has to take that up before it returns."""
        self.changed = changed
        self.follower = Follower(
            self.holder, self.clock, self.told.coordinators, self.chance.draw, self._take_up, self._renewed
        )
        self._take_up(self.holder.acting(self.clock()))

    def present(self) -> bool:
        """Whether anything may be done at this moment; what the sidecar is on is then what it may act on."""
        now = self.clock()
        if self.follower is None:
            return False  # nobody is told yet what it is on
        if now >= self.on.until or self.holder.phase != self.heard:
            self._take_up(self.holder.acting(now))
        return self.on.settings is not None

    def between(self) -> bool:
        """Whether a category that is not there may be there again soon."""
        return self.on.mode is not Mode.SETTLED

    def back_in(self) -> float:
        """Seconds after which a client may come again that nothing can be done for."""
        return 0.5 + self.chance.draw()

    def _renewed(self) -> None:
        now = self.clock()
        if self.told.file and now - self.kept_at > self.holder.lease:
            self._keep(now)

    def _take_up(self, acting: Acting) -> None:
        until, self.heard = self.holder.changes_at(self.clock()), self.holder.phase
        if (acting.mode, acting.phase) == (self.on.mode, self.on.phase):
            self.on.until = until
            return
        self.on = Ruled(acting.mode, acting.phase, until=until)
        if acting.mode is not Mode.NONE:
            try:
                self.on = replace(
                    self._ruled(acting.rules), mode=acting.mode, phase=acting.phase, until=until
                )
            except ConfigError as error:  # it was checked: guards service against a fault of our own
                logger.error("rules of phase {} can't be acted on: {}", acting.phase, error)
        logger.info(
            "rules mode={} phase={} version={} next={} digest={}",
            acting.mode.value,
            acting.phase,
            self.holder.settled,
            self.holder.next,
            self._digest()[:12] or "-",
        )
        self.changed(self.on)
        self.kept_at = float("-inf")

    def _digest(self) -> str:
        held = self.holder.contents.get(self.holder.settled)
        return held.digest if held is not None else ""

    def _ruled(self, rules: compatibility.Flat) -> Ruled:
        """Raises `ConfigError` with key and value."""
        tree = compatibility.tree(rules)
        lists = tree.get("lists", {})
        own = {"az": self.own["zone"], "position": self.own["position"]}
        found = settings(Section(tree.get("settings", {}) | own, "settings"), self.own["seed"])
        servers, only = None, lists.get("only", "all")
        if lists.get("source") == "here":
            rows = Section({"servers": lists.get("servers", [])}, "lists").sections("servers")
            servers = [named_server(Section(row.values | {"state": "ready"}, row.path)) for row in rows]
        return Ruled(
            settings=found | {"asks": True},
            servers=servers,
            taken_out=frozenset(lists.get("taken_out", [])),
            only=None if only == "all" else frozenset(only),
        )

    def _check(self, text: bytes) -> Content:
        """Before it confirms: whether this build, on this machine, could act on it in all modes."""
        try:
            found = content(text)
            for rules in (found.rules, found.alone):
                if rules:
                    self._ruled(rules)
        except (ConfigError, compatibility.NoRule) as error:
            raise ValueError(str(error)) from None
        return found

    def figures(self) -> dict[str, Any]:
        """For the operators' door."""
        now, holder = self.clock(), self.holder
        return {
            "mode": self.on.mode.value,
            "phase": holder.phase,
            "version": holder.settled,
            "next": holder.next,
            "digest": self._digest(),
            "holder": self.id,
            "lease_left": round(max(0.0, holder.until - now), 3),
            "alone_left": round(max(0.0, holder.alone_until - now), 3) if holder.alone else 0.0,
            "turned_down": holder.refused[1],
            "calls": self.follower.calls if self.follower else 0,
            "calls_failed": self.follower.failed if self.follower else 0,
        }

    # What goes over a restart

    def _read_kept(self) -> Kept | None:
        """What the file says where it is one of this boot of the machine; a lease is never kept."""
        if not self.told.file or not self.boot:
            return None
        try:
            with open(self.told.file, encoding="utf-8") as file:
                row = json.loads(file.read(KEPT_MOST))
            kept = Kept(str(row["boot"]), int(row["settled"]), dict(row["alone"]), float(row["alone_until"]))
            if kept.boot == self.boot and kept.alone:
                self._ruled(kept.alone)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError, RecursionError, ConfigError) as error:
            logger.warning("'agreed.file': {} is left out: {}", self.told.file, error)
            return None
        return kept

    def _keep(self, now: float) -> None:
        """In a thread of its own, for a disk may stall; one at a time."""
        if self.keeping is not None and not self.keeping.done():
            return
        self.kept_at = now
        text = json.dumps(asdict(self.holder.kept()))
        self.keeping = asyncio.ensure_future(asyncio.to_thread(self._write, text))

    def _write(self, text: str) -> None:
        aside = pathlib.Path(self.told.file + ".new")
        try:
            aside.write_text(text, encoding="utf-8")
            os.replace(aside, self.told.file)
        except OSError as error:
            logger.warning("'agreed.file': {} is not written: {}", self.told.file, error)

    async def close(self) -> None:
        if self.follower is not None:
            await self.follower.close()
        if self.keeping is not None:
            await asyncio.gather(self.keeping, return_exceptions=True)


def _boot() -> str:
    """Of the machine's present run; "" where it can't be told, and then nothing is kept."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""
