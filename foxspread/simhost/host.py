"""The instance table: feeds each balancer its events and pulls its decisions."""

from typing import Any

from foxspread.balancer import Balancer
from foxspread.model import Endpoint
from foxspread.simhost import codec
from foxspread.simhost.codec import Malformed, need


class Instance:
    def __init__(self, now: float, event: dict) -> None:
        options = need(event, "options", dict)
        self.balancer = Balancer(now, **codec.parts(options, need(event, "random_seed", int)))
        self.alarm: float | None = None

    def feed(self, now: float, kind: str, event: dict) -> None:
        balancer = self.balancer
        match kind:
            case "DEMAND":
                balancer.request_received(
                    now,
                    need(event, "op_id", str),
                    need(event, "lane", str),
                    need(event, "budget_us", int) / 1e6,
                    event.get("customer") or "",
                    event.get("name_key") or "",
                    bool(event.get("retry")),
                )
            case "VERDICT":
                balancer.attempt_ended(
                    now,
                    need(event, "op_id", str),
                    need(event, "shot", int) if "shot" in event else 0,
                    outcome(event),
                    bool(event.get("last")),
                )
            case "STATUS_BACK" | "FROM_PEER":
                pass  # no decision sends probes or messages: measured, neither paid (docs/status.md)
            case "FLOWING":
                if need(event, "op_id", str) in balancer.requests:  # as what passes: no more is decided
                    balancer.body_streaming(now, event["op_id"], 0, False)
            case "CANCELLED_BY_CLIENT":
                balancer.client_left(now, need(event, "op_id", str))

    def decide(self, now: float) -> list[dict]:
        done = []
        while (decision := self.balancer.next_decision(now)) is not None:
            done.append(codec.action(decision))
        wake = self.balancer.wake_at()
        if self.alarm is not None and self.alarm <= now + 1e-6:  # the wire counts whole microseconds
            self.alarm = None
        if wake is not None and (self.alarm is None or wake < self.alarm):
            self.alarm = max(wake, now)
            done.append(
                {"event_type": "SET_ALARM", "name": "wake", "wait_us": codec.micros(self.alarm - now)}
            )
        return done


def outcome(event: dict) -> Any:
    how = need(event, "how", str)
    if how not in codec.OUTCOMES:
        raise Malformed(f"unknown outcome '{how}'")
    return codec.OUTCOMES[how]


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[Endpoint]] = {}

    def reply(self, now: float, groups: list) -> dict:
        out = []
        for group in groups:
            if not isinstance(group, dict):
                raise Malformed("a group must be an object")
            number = group.get("sidecar_id")
            try:
                for event in need(group, "events", list):
                    if not isinstance(event, dict):
                        raise Malformed("an event must be an object")
                    self.take(now, number, need(event, "event_type", str), event)
                actions = self.instances[number].decide(now) if number in self.instances else []
            except Malformed:
                raise
            except Exception as error:  # the decisions failed: the wire has a word for it
                actions = [{"event_type": "BUG", "body_text": f"{type(error).__name__}: {error}"}]
            if actions:
                out.append({"sidecar_id": number, "do": actions})
        return {"groups": out}

    def take(self, now: float, number: Any, kind: str, event: dict) -> None:
        if kind == "DEFINE_LIST":
            records = need(event, "records", list)
            self.lists[event.get("slot") or 0] = [codec.listed(record) for record in records]
            return
        if not isinstance(number, int):
            raise Malformed("'sidecar_id' is missing or is not a int")
        if kind == "POWER_ON":
            self.instances[number] = Instance(now, event)
        elif kind == "SHUTDOWN":
            self.instances.pop(number, None)
        elif number not in self.instances:
            raise Malformed(f"'{kind}' for sidecar {number}, which is not running")
        elif kind == "ENDPOINTS":
            balancer, scope = self.instances[number].balancer, event.get("scope") or 0
            if scope == 0:
                balancer.endpoint_watch_failed(now)
            else:
                balancer.update_endpoints(now, self.lists.get(event.get("slot") or 0, []), scope != 1)
        else:
            self.instances[number].feed(now, kind, event)
