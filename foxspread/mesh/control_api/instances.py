"""The resource `Instances`: heartbeats and departures of the servers beside this process."""

from collections.abc import Awaitable, Callable, Mapping

import orjson

from foxspread.mesh.control_api.calls import EMPTY, Handler, Request, Response, Route
from foxspread.mesh.errors import Failure, InvalidRequest, OutcomeUnknown
from foxspread.mesh.log import log_event
from foxspread.mesh.registry.heartbeat import DRAINING, parse_heartbeat
from foxspread.mesh.registry.incarnations import InstanceTable


class InstancesResource:
    """Records the state that servers report.

    `publish` announces a change to other processes. `propagate` waits until they have confirmed it, and
    returns whether they did in time.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        instances: InstanceTable,
        publish: Callable[[], None],
        propagate: Callable[[], Awaitable[bool]],
    ) -> None:
        self.clock, self.instances = clock, instances
        self._publish, self._propagate = publish, propagate
        self._handlers = {("post", "beat"): self.heartbeat, ("post", "leave"): self.leave}

    def handlers(self) -> Mapping[Route, Handler]:
        """Returns the handlers of `Instances.Beat` and `Instances.Leave`."""
        return self._handlers

    async def heartbeat(self, request: Request) -> Response:
        """Records a heartbeat. One in the state draining is acknowledged once other processes know it."""
        try:
            data = orjson.loads(request.body)
        except orjson.JSONDecodeError as error:
            return InvalidRequest(f"the body can't be read: {error}")
        if not request.id:
            return InvalidRequest("wants an id in its path")
        heartbeat = parse_heartbeat(data)
        if isinstance(heartbeat, Failure):
            return heartbeat
        changed = self.instances.record_heartbeat(self.clock(), request.id, heartbeat)
        if isinstance(changed, Failure):
            return changed
        if changed:
            log_event(
                "server",
                id=request.id,
                service=heartbeat.service,
                state=heartbeat.state,
                sequence=heartbeat.sequence,
            )
            self._publish()
        if heartbeat.state == DRAINING and not await self._propagate():
            return OutcomeUnknown("nobody else could be told yet")
        return EMPTY

    async def leave(self, request: Request) -> Response:
        """Records that a server has ended; later heartbeats of that incarnation are rejected."""
        if self.instances.record_leave(self.clock(), request.id):
            log_event("server", id=request.id, state="left")
            self._publish()
        return EMPTY
