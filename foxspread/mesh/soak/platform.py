"""The platform's part towards clients: readiness probes, and which machines' clients get work."""

import asyncio
import time
from collections.abc import Sequence

from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.client import Client
from foxspread.mesh.local_cluster.layout import Machine

PROBE_INTERVAL_S = 1.0


class ClientPlatform:
    """Probes each sidecar; its clients get work while it is in, or while fewer than half of its zone are."""

    def __init__(self, sidecars: Sequence[Machine]) -> None:
        self.sidecars = sidecars
        self.pool = ConnectionPool(time.monotonic, PROBE_INTERVAL_S)
        self.probes = {
            each.node: Client(each.node, each.address("outbound"), each.address("ready"), self.pool)
            for each in sidecars
        }

    def gives_work(self, machine: Machine) -> bool:
        """Returns whether the clients of this machine send new requests."""
        if self.probes[machine.node].is_available:
            return True
        zone = [each for each in self.sidecars if each.zone == machine.zone]
        return 2 * sum(self.probes[each.node].is_available for each in zone) < len(zone)

    async def probe_forever(self) -> None:
        """Probes all sidecars at intervals until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for probe in self.probes.values():
                tasks.create_task(probe.probe_periodically(PROBE_INTERVAL_S))
