"""What the list source knows, without I/O: the newest run of each server and its state, in numbered
versions."""

from foxspread.lab.world.fleet import Fleet, Server

Entry = tuple[Server, str]


class Roster:
    def __init__(self, fleet: Fleet, capacity: float, timeout: float) -> None:
        self.known: dict[str, Entry] = dict(fleet.listed)
        self.log: list[Entry] = []  # what has changed; its length is the version
        self.runs = {id: server.run for id, (server, _) in self.known.items()}
        self.capacity, self.timeout, self.busy_until = capacity, timeout, 0.0
        self.stale, self.down = 0.0, False

    @property
    def version(self) -> int:
        return len(self.log)

    def learn(self, server: Server, state: str) -> bool:
        """False where it changes nothing: a newer run is listed by now, or it was not listed any more."""
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

    def whole(self) -> list[Entry]:
        return list(self.known.values())

    def since(self, version: int) -> list[Entry]:
        """The last that is known of each server that has changed since."""
        newest = {server.id: (server, state) for server, state in self.log[version:]}
        return list(newest.values())

    def call(self, now: float) -> float | None:
        """When a call that comes now is answered; None where it waits too long. Calls are worked through in
        turn, so that many at once take long."""
        start = max(now, self.busy_until)
        if start - now > self.timeout:
            return None
        self.busy_until = start + 1 / self.capacity
        return self.busy_until
