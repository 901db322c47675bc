"""The configuration of a soak: two routes for requests, and further ones that the operator changes."""

from typing import Any

from foxspread.mesh.local_cluster.layout import SERVICES

HOST = "soak.example"
SAFE_ROUTE, UNSAFE_ROUTE = "r-safe", "r-unsafe"
SAFE_PREFIX, UNSAFE_PREFIX = "/safe/", "/unsafe/"
TARGET_S, DEADLINE_S = 0.5, 2.5
IDLE_S = 15
MAX_BODY_BYTES = 4 * 1024 * 1024


def rule(name: str, prefix: str, idempotent: bool, version: int) -> dict[str, Any]:
    """Returns a route, which leads to the first service."""
    return {
        "name": name,
        "mail_class": "safe" if idempotent else "unsafe",
        "target_s": TARGET_S,
        "priority": 1,
        "edition": f"r{version}",
        "sorting": {"postcode": prefix},
        "dispatch": {"service": SERVICES[0], "deadline_s": DEADLINE_S, "delivery_attempts": 2},
    }


def change(rules: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns an operator's call that sets these routes."""
    return {"lodge": {"gates": [{"destination": HOST, "regulations": rules}]}}


def first_configuration(version: int) -> dict[str, Any]:
    """Returns the operator's first call."""
    edition = f"r{version}"
    routes = [
        rule(SAFE_ROUTE, SAFE_PREFIX, True, version),
        rule(UNSAFE_ROUTE, UNSAFE_PREFIX, False, version),
    ]
    call = change(routes)
    call["lodge"]["limits"] = {
        "envelope_bytes": 16384,
        "contents_bytes": 64 * 1024 * 1024,
        "envelope_s": 3,
        "idle_s": IDLE_S,
        "edition": edition,
    }
    call["lodge"]["fleets"] = [
        {
            "name": service,
            "health": "/health",
            "connection_cap": 130,
            "protocol": "h1",
            "sealed": False,
            "edition": edition,
        }
        for service in SERVICES
    ]
    return call


def route_versions(content: dict[str, Any]) -> dict[str, int]:
    """Returns the version of each route of a configuration that was read."""
    return {
        each["name"]: int(each["edition"][1:])
        for gate in content.get("gates", [])
        for each in gate["regulations"]
    }
