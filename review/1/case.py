"""Each zone's sidecars are stopped and started in turn, 1 s apart; clients go on where the platform sends them."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import GRACE_S, TROUBLE, CannotRun, Mesh, http_call, run_case  # noqa: E402

# `rsvp-charge` of kongeaa-mesh.toml: unsafe, 2.5 s, at most 1.6 s of work.
WORK_S, DEADLINE_S = 1.6, 2.5
HOST, PREFIX, SERVICE = "halls.example", "/rsvp/", "invitations"
ROLLED, KEPT = "holbaek-hall", "koege-hall"
GAP_S = 1.0
REQUESTS_PER_S = 4  # of the clients on each machine


class Client:
    """The clients on one machine: each request once, on a connection of its own."""

    def __init__(self, mesh, machine):
        self.mesh, self.machine, self.tries = mesh, machine, []

    async def send_forever(self):
        while True:
            if self.mesh.gets_work(self.machine):
                self.tries.append(asyncio.create_task(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def send(self):
        record, id = self.mesh.record, os.urandom(8).hex()
        sent_at = record.now()
        record.add("sent", id=id, to=self.machine.node)
        headers = [f"Host: {HOST}", f"X-Request-Id: {id}", f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}"]
        status, _, body = await http_call(
            self.machine.address("outbound"), "POST", PREFIX + "pay", headers, id.encode(), DEADLINE_S
        )
        ended_at = record.now()
        record.add("answered", id=id, status=status, why="" if status else body.decode(), after=ended_at - sent_at)
        return id, sent_at, ended_at, status, body


def is_lost(tried, machine, apps):
    """LOST: handed to a server, closed with no complete answer, around the SIGTERM of the machine that took it."""
    id, sent_at, ended_at, status, why = tried
    runs = [app.runs[id] for app in apps if id in app.runs]
    if status or not why.startswith((b"closed", b"reset")) or not runs or machine.sigterm_at is None:
        return False
    since_term = ended_at - machine.sigterm_at
    if not 0 <= since_term <= GRACE_S + 1 or ended_at - sent_at >= DEADLINE_S - 0.05:
        return False  # not around the planned work; or the deadline was reached
    at_work_late = since_term >= GRACE_S * 5 / 6 and runs[-1][2].startswith("dropped")
    excused = at_work_late and sent_at <= machine.sigterm_at + 3  # the excuse of NEWS-22, LOST
    return not excused


async def case(record):
    sides = [(ROLLED, SERVICE)] * 3 + [(KEPT, SERVICE)] * 3
    async with Mesh(record, ["roskilde-hall", KEPT, ROLLED], sides, WORK_S) as mesh:
        await mesh.configure({"r-rsvp": {
            "host": HOST, "prefix": PREFIX, "kind": "unsafe", "service": SERVICE, "target_s": 0.6,
            "deadline_s": DEADLINE_S}})
        await asyncio.sleep(4)
        clients = [Client(mesh, each) for each in mesh.sides if each.zone == ROLLED]
        senders = [asyncio.create_task(each.send_forever()) for each in clients]
        await asyncio.sleep(4)
        stops = []
        if TROUBLE:
            for machine in (each for each in mesh.sides if each.zone == ROLLED):
                stops.append(asyncio.create_task(machine.stop()))
                await asyncio.sleep(GAP_S)
        await asyncio.sleep(12)
        for task in senders:
            task.cancel()
        await asyncio.sleep(DEADLINE_S + 0.2)
        tries = [(client.machine, await task) for client in clients for task in client.tries]
        for task in stops:
            await task
        served = sum(200 <= each[3] < 300 for _, each in tries)
        lost = [(machine, each) for machine, each in tries if is_lost(each, machine, mesh.apps)]
        print(f"{len(tries)} requests, {served} served, {len(lost)} lost")
        if not tries or not TROUBLE and served < 0.9 * len(tries):
            raise CannotRun(f"only {served} of {len(tries)} requests were served")
        return [
            f"LOST: request {each[0]}, sent to {machine.node} {each[1] - machine.sigterm_at:.2f} s after its SIGTERM,"
            f" ran at a server; closed with no answer {each[2] - each[1]:.2f} s later, of {DEADLINE_S} s"
            for machine, each in lost
        ]


if __name__ == "__main__":
    run_case(case, FOLDER)
