"""The configuration that the runs send and read back."""

from typing import Any

from foxspread.mesh.local_cluster.layout import SERVICES

HOST = "mixed.example"
FIRST_SERVICE, SECOND_SERVICE = SERVICES
DEADLINE_S, TARGET_S = 2.0, 0.5

Content = dict[str, Any]  # a configuration, as the operator sends and reads it


def route(name: str, prefix: str, service: str, version: int, safe: bool = True) -> Content:
    rule = {
        "name": name,
        "mail_class": "safe" if safe else "unsafe",
        "target_s": TARGET_S,
        "priority": 1,
        "edition": f"r{version}",
        "sorting": {"postcode": prefix},
        "dispatch": {"service": service, "deadline_s": DEADLINE_S, "delivery_attempts": 2},
    }
    return {"destination": HOST, "regulations": [rule]}


def first_configuration() -> Content:
    limits = {
        "envelope_bytes": 16384,
        "contents_bytes": 1 << 20,
        "envelope_s": 3,
        "idle_s": 30,
        "edition": "r1",
    }
    service = {"health": "/health", "connection_cap": 100, "protocol": "h1", "sealed": False, "edition": "r1"}
    routes = [
        route("read", "/read/", FIRST_SERVICE, 1),
        route("write", "/write/", SECOND_SERVICE, 1, safe=False),
        route("moving", "/moving/", FIRST_SERVICE, 1),
    ]
    services = [{"name": name, **service} for name in SERVICES]
    return {"lodge": {"limits": limits, "gates": routes, "fleets": services}}


def change(number: int) -> Content:
    """A route of its own, and a new version of one that stands."""
    routes = [
        route(change_name(number), f"/{change_name(number)}/", FIRST_SERVICE, 1),
        route("moving", "/moving/", FIRST_SERVICE, 1 + number),
    ]
    return {"lodge": {"gates": routes}}


def change_name(number: int) -> str:
    return f"change-{number:03d}"


def item_versions(configuration: Content) -> dict[str, int]:
    items = [rule for gate in configuration.get("gates", []) for rule in gate["regulations"]]
    items += configuration.get("fleets", [])
    found = {each["name"]: int(each["edition"][1:]) for each in items}
    if "limits" in configuration:
        found["limits"] = int(configuration["limits"]["edition"][1:])
    return found


def lost_items(expected: dict[str, int], held: dict[str, int]) -> list[str]:
    """Those that are missing or of an older version than expected."""
    return [name for name, version in expected.items() if held.get(name, 0) < version]
