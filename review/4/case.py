"""LOST: a sidecar that is being stopped cuts a pipelined request that a server is working on."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness_2 as h

HOST, PREFIX, SERVICE = "ficu95.example", "/lohu930/", "huvo11a"
DEADLINE_S = 0.8  # of consulta-saldo
CONNECTIONS, PER_CONNECTION_S, DEPTH = 10, 20.0, 6  # a zone of the site has about 160 such requests a second
WARM_S = 4.0


class PipeliningClient:
    """Sends safe requests on one connection before the earlier ones are answered."""

    def __init__(self, deployment, machine, draw):
        self.deployment, self.machine, self.draw = deployment, machine, draw
        self.record = deployment.record
        self.sent = {}  # by id: [sent at, connection, ended at, how]

    async def run(self, end):
        while time.monotonic() < end:
            if not self.deployment.gets_work(self.machine):
                await asyncio.sleep(0.05)
                continue
            try:
                host, port = self.machine.ip, self.deployment.ports["outbound"]
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            await self._use(reader, writer, end)

    async def _use(self, reader, writer, end):
        waiting, closed = [], asyncio.Event()

        async def read():
            try:
                while (found := await h.read_head(reader)) is not None:
                    line, headers = found
                    await h.read_body(reader, headers)
                    id = waiting.pop(0)
                    self.sent[id][1:] = [time.monotonic(), line.split()[1]]
                    self.record.add("client", "answered", id, line.split()[1], headers.get("connection", ""))
                    if headers.get("x-request-id", id) != id:
                        self.sent[id][2] = "mixed"
                    if headers.get("connection") == "close":
                        break
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            for id in waiting:
                self.sent[id][1:] = [time.monotonic(), "closed"]
                self.record.add("client", "closed without an answer", id)
            closed.set()

        task = asyncio.ensure_future(read())
        while not closed.is_set() and time.monotonic() < end:
            if len(waiting) < DEPTH and self.deployment.gets_work(self.machine):
                id = os.urandom(8).hex()
                waiting.append(id)
                self.sent[id] = [time.monotonic(), None, ""]
                self.record.add("client", "sends", id)
                writer.write(
                    f"GET {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n"
                    f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n".encode()
                )
            try:
                async with asyncio.timeout(self.draw.expovariate(PER_CONNECTION_S)):
                    await closed.wait()
            except TimeoutError:
                pass
        if not closed.is_set():
            try:
                async with asyncio.timeout(DEADLINE_S + 0.2):
                    while waiting:
                        await asyncio.sleep(0.02)
            except TimeoutError:
                pass
        task.cancel()
        writer.close()


async def case(record, trouble):
    draw = random.Random()
    deployment = h.Deployment(record, [(zone, SERVICE) for zone in ("yarumal", "santa-rosa", "valdivia")])
    try:
        await deployment.start()
        gates = [h.route("r-x73d3zj", HOST, PREFIX, SERVICE, 1, deadline_s=2.0)]
        if await h.Operator(deployment).patch(h.first_configuration(gates, [SERVICE])) != 200:
            raise h.CouldNotRun("the first configuration is not taken")
        await deployment.wait_ready()
        for machine in deployment.sides:  # as consulta-saldo: 60 ms, spread 0.8, at most 360 ms
            machine.server.work = lambda headers: min(0.36, 0.06 * draw.lognormvariate(-0.25, 0.7))
        target = deployment.sides[0]
        clients = [PipeliningClient(deployment, target, draw) for _ in range(CONNECTIONS)]
        begun = time.monotonic()
        end = begun + WARM_S + 9.0
        tasks = [asyncio.ensure_future(each.run(end)) for each in clients]
        await asyncio.sleep(WARM_S)
        stopped_at = time.monotonic()
        if trouble:
            deployment.start_task(deployment.terminate(target))
        await asyncio.gather(*tasks)
        return judge(record, deployment, clients, stopped_at)
    finally:
        await deployment.stop()


def judge(record, deployment, clients, stopped_at):
    """LOST: handed to a server, and the connection closed without an answer, around a SIGTERM."""
    grace_s = deployment.bounds["grace_s"]
    runs = {}
    for machine in deployment.sides:
        runs |= machine.server.runs
    broken, counts = [], {}
    for client in clients:
        for id, (sent_at, ended_at, how) in client.sent.items():
            counts[how] = counts.get(how, 0) + 1
            if how != "closed" or id not in runs:
                continue
            if not stopped_at <= ended_at <= stopped_at + grace_s + 1.0:
                continue
            if ended_at >= sent_at + DEADLINE_S:
                continue  # the deadline was reached
            run = runs[id][0]
            if run[2] != "cut" and run[1] is not None and run[1] > ended_at:
                continue
            if ended_at >= stopped_at + grace_s * 5 / 6:
                continue  # the last sixth of grace_s
            broken.append(
                f"LOST: request {id}, sent {sent_at - stopped_at:+.3f} s from SIGTERM, was run by a server"
                f" ({run[2]}) and its connection closed at {ended_at - stopped_at:+.3f} s without an answer"
            )
    record.add("requests by how they ended", counts)
    return broken


if __name__ == "__main__":
    h.run_case(os.path.dirname(os.path.abspath(__file__)), case)
