"""The operator's resource: changes of the configuration, and the whole of it."""

import asyncio
from collections.abc import Callable

from foxspread.mesh.control_api.handlers import Elsewhere
from foxspread.mesh.configuration.items import Item, laid_out
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure, outcome_unknown
from foxspread.mesh.replication.replica_server import ReplicaServer

STOOD_STILL = "this process stood still: the call may be an old copy"


class ConfigurationResource:
    """On a machine with a disk it settles calls; elsewhere it names one that does. `stale`: whether what is
    read now may have been sent long ago, by a caller that has gone elsewhere since; nothing comes of it."""

    def __init__(
        self,
        replica_server: ReplicaServer | None,
        elsewhere: Callable[[], str | None],
        stale: Callable[[], bool] = lambda: False,
    ) -> None:
        self.replica_server, self.elsewhere, self.stale = replica_server, elsewhere, stale

    async def post_patch(self, id: str, body: bytes) -> dict | Failure | Elsewhere:
        if self.replica_server is None:
            return self._on("Config.Patch")
        if self.stale():
            return outcome_unknown(STOOD_STILL)
        from foxspread.mesh.configuration.validation import (
            parse_call,
        )  # and with it cerberus: not for sidecars without a disk

        items: list[Item] = []
        for step in parse_call(body):  # in slices: a large call must not hold up what else comes
            if isinstance(step, Failure):
                log_event("config_refused", why=step.reason)
                return step
            if step is None:
                await asyncio.sleep(0)
            else:
                items.append(step)
        if self.stale():
            return outcome_unknown(STOOD_STILL)
        outcome = await self.replica_server.submit(items)
        log_event(
            "config",
            items=len(items),
            outcome="settled" if outcome is True else outcome.reason,
            first=f"{items[0].name}@r{items[0].version}" if items else "",
        )
        return {} if outcome is True else outcome

    async def get_get(self, id: str, body: bytes) -> dict | Failure | Elsewhere:
        if self.replica_server is None:
            return self._on("Config.Get")
        if self.stale():
            return outcome_unknown(STOOD_STILL)
        outcome = await self.replica_server.submit([])
        return laid_out(self.replica_server.acceptor.learner.items.values()) if outcome is True else outcome

    def _on(self, call: str) -> Failure | Elsewhere:
        place = self.elsewhere()
        return (
            Elsewhere(f"http://{place}/api/{call}")
            if place
            else outcome_unknown("no machine with a disk is known")
        )
