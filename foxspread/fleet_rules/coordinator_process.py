"""The coordinator process that grants leases on fleet rules: the HTTP calls of sidecars and operators.

POST /lease   takes a `LeaseRequest`, returns a `LeaseGrant` on the state committed after the request came
GET  /phase   ?known=N&wait=S: returns the phase once it is later than N, or after S seconds
GET  /course  returns the state of the rollout; the leader adds which sidecar applies which phase

`fleet_rules.codec` encodes these bodies, `consensus.process` does the rest.
"""

import tomllib
from dataclasses import replace
from typing import Any

import msgspec

from foxspread.config import ConfigError, Section
from foxspread.consensus.configuration import CoordinatorConfig
from foxspread.consensus.coordinator import Status
from foxspread.consensus.http_api import IDENTIFIER, json_reply, watch_parameters
from foxspread.consensus.process import CoordinatorProcess
from foxspread.fleet_rules import codec, compatibility
from foxspread.fleet_rules.codec import LeaseGrant, LeaseRequest
from foxspread.fleet_rules.flat_rules import UnsupportedRuleError
from foxspread.fleet_rules.leader_state import LeaderState
from foxspread.fleet_rules.lease_manager import MAX_REASON_CHARACTERS, LeaseManager
from foxspread.fleet_rules.rollout import LeaseTerms, Rollout
from foxspread.fleet_rules.safety_check import unsafe_change
from foxspread.fleet_rules.version_content import parse_version
from foxspread.net import http

MAX_CLOCK_DRIFT = 0.5  # a larger relative drift means a broken clock
MAX_SHOWN_CHARACTERS = 60  # of a wrong value in an error message


def check_version(text: bytes) -> None:
    """Checks the text of a version before it is proposed. Raises `ConfigError` with key and value."""
    try:
        content = parse_version(text)
    except UnsupportedRuleError as error:
        raise ConfigError(str(error)) from None
    for violation in compatibility.alone_violations(content.alone, content.rules):
        raise ConfigError(violation)


def with_lease_terms(file: CoordinatorConfig, path: str) -> CoordinatorConfig:
    """Adds the `leases` section of the file at `path`: the lease terms that this coordinator proposes if the
    fleet has not agreed on any yet. Raises `ConfigError` with key and value."""
    with open(path, "rb") as opened:
        section = Section(tomllib.load(opened)).section("leases")
    for key in section.values.keys() - {codec.LEASE, codec.ALONE, codec.DRIFT, codec.MAX_REFUSALS}:
        raise ConfigError(f"'{section.name(key)}' is not known")
    terms = LeaseTerms(
        section.number(codec.LEASE, 10.0, 0.1),
        section.number(codec.ALONE, 300.0),
        section.number(codec.DRIFT, 0.02),
        section.whole(codec.MAX_REFUSALS, 0),
    )
    if terms.drift > MAX_CLOCK_DRIFT:
        raise ConfigError(f"'leases.drift' must be at most {MAX_CLOCK_DRIFT}, not {terms.drift:g}")
    return replace(file, coordinator_options={"terms": terms})


def show_short(value: Any) -> str:
    """Returns a value of a request as an error message shows it."""
    return repr(value)[:MAX_SHOWN_CHARACTERS]


def decode_lease_request(fields: dict[str, Any]) -> LeaseRequest:
    """Reads the body of POST /lease. Raises `ValueError` with the wrong field and its value."""
    holder, phase = fields.get(codec.HOLDER), fields.get(codec.PHASE)
    refused_phase, reason = fields.get(codec.REFUSED_PHASE), fields.get(codec.REFUSAL_REASON)
    if not isinstance(holder, str) or IDENTIFIER.fullmatch(holder.replace("/", ":")) is None:
        raise ValueError(f"'{codec.HOLDER}' must be an id, not {show_short(holder)}")
    for number in (phase, refused_phase):
        if not isinstance(number, int) or isinstance(number, bool):
            raise ValueError(
                f"'{codec.PHASE}' and '{codec.REFUSED_PHASE}' must be whole numbers, not {show_short(number)}"
            )
    if not isinstance(reason, str) or len(reason) > MAX_REASON_CHARACTERS:
        raise ValueError(
            f"'{codec.REFUSAL_REASON}' must be a text of at most {MAX_REASON_CHARACTERS} characters, "
            f"not {show_short(reason)}"
        )
    return LeaseRequest(holder, 0.0, phase, refused_phase, reason)


class LeaseManagerProcess(CoordinatorProcess):
    """Coordinator process that runs a `LeaseManager`."""

    coordinator_type = LeaseManager

    def check_against_latest(self, content: bytes, fields: dict[str, Any]) -> None:
        """Rejects a version that an operator may not have intended, unless the request has `even_so`.

        Two concurrent requests may both pass. Raises `ConfigError`.
        """
        latest = self.coordinator.rollout.get()
        if latest is None or fields.get("even_so") is True:
            return
        if danger := unsafe_change(parse_version(latest.content).rules, parse_version(content).rules):
            raise ConfigError(f"{danger}: use --even-so if that is intended")

    async def _handle_call(self, message: http.Message, path: str) -> tuple[int, bytes]:
        call = (message.method, path)
        if call == (b"POST", "/lease"):
            return await self._lease(msgspec.json.decode(message.body, type=dict[str, Any]))
        if call == (b"GET", "/phase"):
            answer = await self._submit(self.coordinator.watch_phase, *watch_parameters(message))
            return json_reply(200, status="done", phase=answer.value)
        if call == (b"GET", "/course"):
            return json_reply(200, **self.rollout_status())
        return await super()._handle_call(message, path)

    async def _lease(self, fields: dict[str, Any]) -> tuple[int, bytes]:
        answer = await self._submit(self.coordinator.request_lease, decode_lease_request(fields))
        if answer.status is Status.DONE and isinstance(answer.value, LeaseGrant):
            return json_reply(200, status="done", **{codec.GRANT: codec.encode_grant(answer.value)})
        return self._reply(answer)

    def rollout_status(self) -> dict[str, Any]:
        """Returns the response to GET /course."""
        rollout: Rollout = self.coordinator.rollout
        leader_state: LeaderState | None = self.coordinator.leader_state
        holders = self._holder_statuses(rollout, leader_state) if leader_state is not None else {}
        return {
            "coordinator": self.config.name,
            "leads": leader_state is not None,
            codec.PHASE: rollout.phase,
            codec.IN_FORCE: rollout.in_force,
            codec.ANNOUNCED: rollout.announced,
            "latest": rollout.latest,
            "withdrawn": {str(number): reason for number, reason in rollout.withdrawn.items()},
            "alones": rollout.alone_versions,
            "terms": msgspec.structs.asdict(rollout.terms) if rollout.terms else None,
            "holders": holders,
            "silent": sorted(rollout.holders - holders.keys()) if leader_state is not None else [],
        }

    def _holder_statuses(self, rollout: Rollout, leader_state: LeaderState) -> dict[str, dict[str, Any]]:
        now = self.clock()
        return {
            holder: {
                codec.PHASE: status.phase,
                codec.REFUSED_PHASE: status.refused_phase,
                codec.REFUSAL_REASON: status.refusal_reason,
                "heard": round(now - leader_state.last_received_at.get(holder, now), 3),
            }
            for holder, status in leader_state.statuses.items()
            if holder in rollout.holders
        }

    def status(self) -> dict[str, Any]:
        """Returns the response to GET /status."""
        rollout = self.coordinator.rollout
        return super().status() | {codec.PHASE: rollout.phase, "in_force": rollout.in_force}
