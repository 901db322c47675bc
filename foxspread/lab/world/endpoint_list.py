"""State of the endpoint list source, without I/O: the newest run and state of each server, by version."""

from foxspread.lab.world.fleet import Fleet, Server

Entry = tuple[Server, str]


class EndpointList:
    def __init__(self, fleet: Fleet, capacity: float, timeout: float) -> None:
        self.known: dict[str, Entry] = dict(fleet.listed)
        self.log: list[Entry] = []  # all changes; their number is the version
        self.runs = {id: server.run for id, (server, _) in self.known.items()}
        self.capacity, self.timeout, self.busy_until = capacity, timeout, 0.0
        self.extra_delay, self.down = 0.0, False

    @property
    def version(self) -> int:
        return len(self.log)

    def apply(self, server: Server, state: str) -> bool:
        """Applies a change; returns False if a newer run is listed or the server has already been removed."""
        if self.runs.get(server.id, -1) > server.run:
            return False
        if state == "gone" and server.id not in self.known:
            return False
        self.runs[server.id] = server.run
        if state == "gone":
            del self.known[server.id]
        else:
            self.known[server.id] = (server, state)
        self.log.append((server, state))
        return True

    def snapshot(self) -> list[Entry]:
        return list(self.known.values())

    def since(self, version: int) -> list[Entry]:
        """Returns the newest entry of each server that has changed since a version."""
        newest = {server.id: (server, state) for server, state in self.log[version:]}
        return list(newest.values())

    def admit_call(self, now: float) -> float | None:
        """Returns when a call that arrives now is answered, or None if it would wait longer than the timeout.
        Calls are served one after another, so that many at once take long."""
        start = max(now, self.busy_until)
        if start - now > self.timeout:
            return None
        self.busy_until = start + 1 / self.capacity
        return self.busy_until
