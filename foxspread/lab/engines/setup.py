"""Settings and endpoint entries of one instance, in the platform's format, for both engines."""

import zlib
from typing import Any

from foxspread.lab.scenario import Scenario
from foxspread.lab.world.fleet import Server

SEMANTICS = {"redoable": "free", "labelled": "guarded", "irreversible": "single_shot"}


def instance_name(number: int) -> str:
    return f"i{number}"


def instance_zone(scenario: Scenario, number: int) -> str:
    return scenario.network.zones[number % len(scenario.network.zones)]


def instance_seed(number: int, seed: int) -> int:
    return zlib.crc32(b"instance:%d:%d" % (seed, number))


def settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Returns the `settings` section of an instance's configuration file; foxspread/config.py checks it."""
    rules, clients = scenario.rules, scenario.clients
    slowest_start = min(scenario.groups, key=lambda group: group.cold_from)
    cold_time = max(group.cold_time for group in scenario.groups)
    return {
        "az": instance_zone(scenario, number),
        "siblings": scenario.instances,
        "period_us": 5000,
        "surplus_benefit": 0.2,
        "discovery": "ask",
        "limits": {
            "max_hand_offs": rules.max_hand_offs,
            "parallel_tries": rules.copies,
            "cancelling": rules.calling_off,
            "retry_after": False,
            "connect_timeout_us": round(scenario.network.connect_timeout * 1e6),
            "conn_idle_us": round(scenario.network.idle_timeout * 1e6),
        },
        "contract": {
            "cold_from": slowest_start.cold_from,
            "cold_us": round(cold_time * 1e6),
            "fall_multiple": rules.fall_multiple,
        },
        "tariffs": {"waste": 0.2},
        "specifics": {"warm_keys": any(group.key_gain for group in scenario.groups)},
        "categories": [
            {
                "name": kind.name,
                "expected_time_us": round(kind.expected_time * 1e6),
                "abandon_time_us": round(kind.abandon_time * 1e6),
                "benefit": kind.benefit,
                "late_benefit": kind.late_benefit,
                "semantics": SEMANTICS[kind.effect],
                "key_scope": kind.scope,
                "repeat_window_us": round(kind.repeat_window * 1e6),
            }
            for kind in scenario.categories
        ],
        "tenants": [
            {"name": tenant.name, "share": tenant.of_service, "quota_per_s": tenant.quota}
            for tenant in clients.tenants
        ],
    }


def entry(server: Server, state: str, address: str, epoch: float) -> dict[str, Any]:
    """Returns a server's entry in the endpoint list. `epoch` is the Unix time at which the run started."""
    started = round((epoch + server.started) * 1e3) if server.started else 0
    return {
        "id": server.id,
        "addr": address,
        "zone": server.zone,
        "cell": server.cell,
        "kind": server.group.name,
        "state": state,
        "weight": server.group.cores * server.group.speed,
        "started_ms": started,
    }
