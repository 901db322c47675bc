"""A coordinator's process that gives leases too: `consensus.process` with a `Steward` in it and the calls of
sidecars.

POST /lease   an `Ask` without its moment; answered by a `Grant` on what was committed after it came
GET  /phase   ?known=N&wait=S: the phase once it is later than N, or after S seconds
GET  /course  what is in force, announced, withdrawn; of the one that leads, who acts on what
"""

import tomllib
from dataclasses import asdict, replace
from typing import Any

import msgspec

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.rollout import Terms
from foxspread.fleet_rules.safety_check import drastic
from foxspread.fleet_rules.lease_holder import Ask, Grant
from foxspread.fleet_rules.lease_manager import Steward
from foxspread.config import ConfigError, Section
from foxspread.consensus.coordinator import Status
from foxspread.consensus.file import Told
from foxspread.consensus.process import ID, Process, told, waits
from foxspread.net import http


def check(text: bytes) -> None:
    """What a version must be before it is proposed. Raises `ConfigError` with key and value."""
    try:
        found = content(text)
    except compatibility.NoRule as error:
        raise ConfigError(str(error)) from None
    for fault in compatibility.faults(found.alone, found.rules):
        raise ConfigError(fault)


def with_terms(file: Told, path: str) -> Told:
    """The `leases` section of a coordinator's file: what it proposes where the fleet has agreed on none
    yet."""
    with open(path, "rb") as opened:
        section = Section(tomllib.load(opened)).section("leases")
    for key in section.values.keys() - {"lease", "alone", "drift", "refusals"}:
        raise ConfigError(f"'{section.name(key)}' is not known")
    terms = Terms(
        section.number("lease", 10.0, 0.1),
        section.number("alone", 300.0),
        section.number("drift", 0.02),
        section.whole("refusals", 0),
    )
    if terms.drift > 0.5:
        raise ConfigError(f"'leases.drift' must be at most 0.5, not {terms.drift:g}")
    return replace(file, more={"terms": terms})


class StewardProcess(Process):
    host_kind = Steward

    def look(self, contents: bytes, wish: dict[str, Any]) -> None:
        """Asks about what a person may not have meant; two puts that cross each other may both pass."""
        latest = self.host.course.get()
        if latest is not None and wish.get("even_so") is not True:
            if found := drastic(content(latest.content).rules, content(contents).rules):
                raise ConfigError(f"{found}: put it with --even-so where that is meant")

    async def _call(self, message: http.Message, path: str) -> tuple[int, bytes]:
        call = (message.method, path)
        if call == (b"POST", "/lease"):
            return await self._lease(msgspec.json.decode(message.body, type=dict[str, Any]))
        if call == (b"GET", "/phase"):
            answer = await self._ask(self.host.watch_phase, *waits(message))
            return told(200, status="done", phase=answer.value)
        if call == (b"GET", "/course"):
            return told(200, **self.course())
        return await super()._call(message, path)

    async def _lease(self, wish: dict[str, Any]) -> tuple[int, bytes]:
        holder, phase, refused, why = (wish.get(each) for each in ("holder", "phase", "refused", "why"))
        if not isinstance(holder, str) or ID.fullmatch(holder.replace("/", ":")) is None:
            raise ValueError("'holder' must be an id")
        if not all(isinstance(each, int) and not isinstance(each, bool) for each in (phase, refused)):
            raise ValueError("'phase' and 'refused' must be whole numbers")
        if not isinstance(why, str) or len(why) > 300:
            raise ValueError("'why' must be a text of at most 300 characters")
        answer = await self._ask(self.host.ask, Ask(holder, 0.0, phase, refused, why))
        if answer.status is Status.DONE and isinstance(answer.value, Grant):
            return told(200, status="done", grant=asdict(answer.value))
        return self._answered(answer)

    def course(self) -> dict[str, Any]:
        host, now = self.host, self.clock()
        course, terms = host.course, host.course.terms
        holders = {}
        if host.lead is not None:
            holders = {
                each: {
                    "phase": row.phase,
                    "refused": row.refused,
                    "why": row.why,
                    "heard": round(now - host.lead.heard.get(each, now), 3),
                }
                for each, row in host.lead.told.items()
                if each in course.holders
            }
        return {
            "coordinator": self.told.name,
            "leads": host.lead is not None,
            "phase": course.phase,
            "settled": course.settled,
            "next": course.next,
            "latest": course.latest,
            "withdrawn": {str(each): why for each, why in course.withdrawn.items()},
            "alones": course.alones,
            "terms": msgspec.structs.asdict(terms) if terms else None,
            "holders": holders,
            "silent": sorted(course.holders - holders.keys()) if host.lead is not None else [],
        }

    def status(self) -> dict[str, Any]:
        return super().status() | {"phase": self.host.course.phase, "in_force": self.host.course.settled}
