"""LOST: a sidecar that is being stopped resets the answers on their way to a client that reads slowly."""

import asyncio
import os
import random
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness_2 as h

HOST, PREFIX, SERVICE = "ficu95.example", "/lohu930/", "huvo11a"
DEADLINE_S = 1.5  # of estado-servicio
CONNECTIONS = 16
BEGIN_WITH, GAP_S = 4, 0.25  # requests sent at once on a new connection, then one each GAP_S
ANSWER_BYTES = 9000  # the largest answer of estado-servicio
BYTES_PER_S = ANSWER_BYTES / GAP_S  # of the client's reading: as fast as its answers come, but behind them
WINDOW_BYTES = 8192
START_S, WARM_S = 2.0, 4.0


class SlowClient:
    """Sends safe requests before the earlier ones are answered, and reads their answers slowly."""

    def __init__(self, deployment, machine, draw):
        self.deployment, self.machine, self.draw = deployment, machine, draw
        self.record = deployment.record
        self.sent = {}  # by id: [sent at, ended at, how]

    async def run(self, end):
        await asyncio.sleep(self.draw.uniform(0, START_S))
        while time.monotonic() < end:
            if not self.deployment.gets_work(self.machine):
                await asyncio.sleep(0.05)
                continue
            link = socket.socket()
            link.setblocking(False)
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            try:
                address = self.machine.ip, self.deployment.ports["outbound"]
                async with asyncio.timeout(1.0):
                    await asyncio.get_running_loop().sock_connect(link, address)
                await self._use(link, end)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
            finally:
                link.close()

    async def _use(self, link, end):
        loop, waiting, ended = asyncio.get_running_loop(), [], asyncio.Event()
        closing = False

        async def read():
            """Reads at BYTES_PER_S; notes each answer when its last byte is read."""
            nonlocal closing
            data, why, began, taken = b"", "closed", time.monotonic(), 0
            while True:
                try:
                    piece = await loop.sock_recv(link, 1024)
                except OSError as error:
                    why = f"closed ({type(error).__name__})"
                    break
                if not piece:
                    break
                data, taken = data + piece, taken + len(piece)
                while (head_end := data.find(b"\r\n\r\n")) >= 0:
                    head = data[:head_end].decode("latin-1").lower()
                    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
                    size = head_end + 4 + int(fields.get("content-length", 0))
                    if len(data) < size:
                        break
                    data, id = data[size:], waiting.pop(0)
                    self.sent[id][1:] = [time.monotonic(), head.split()[1]]
                    closing = closing or fields.get("connection") == "close"
                    self.record.add("client", "answered", id, head.split()[1], fields.get("connection", ""))
                ahead = taken / BYTES_PER_S - (time.monotonic() - began)
                if ahead > 0:
                    await asyncio.sleep(ahead)
                elif ahead < -0.05:
                    began = time.monotonic() - taken / BYTES_PER_S  # does not make up for a pause
            for id in waiting:
                self.sent[id][1:] = [time.monotonic(), why]
                self.record.add("client", why, "without a whole answer", id)
            ended.set()

        async def send():
            id = os.urandom(8).hex()
            waiting.append(id)
            self.sent[id] = [time.monotonic(), None, ""]
            self.record.add("client", "sends", id)
            head = f"GET {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n"
            await loop.sock_sendall(link, f"{head}X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n".encode())

        task = asyncio.ensure_future(read())
        try:
            for _ in range(BEGIN_WITH):
                await send()
            while not ended.is_set() and not closing and time.monotonic() < end:
                try:
                    async with asyncio.timeout(GAP_S):
                        await ended.wait()
                except TimeoutError:
                    pass
                if not ended.is_set() and not closing and self.deployment.gets_work(self.machine):
                    await send()
        except OSError as error:
            self.record.add("client", "can't send", type(error).__name__)
        finally:
            try:
                async with asyncio.timeout(DEADLINE_S + 0.5):
                    while waiting and not ended.is_set():
                        await asyncio.sleep(0.02)
            except TimeoutError:
                pass
            task.cancel()  # and waited for: the loop must forget the socket before it is closed
            await asyncio.wait([task])


async def case(record, trouble):
    draw = random.Random()
    deployment = h.Deployment(record, [(zone, SERVICE) for zone in ("yarumal", "santa-rosa", "valdivia")])
    try:
        await deployment.start()
        gates = [h.route("r-x73d3zj", HOST, PREFIX, SERVICE, 1, deadline_s=3.0)]
        if await h.Operator(deployment).patch(h.first_configuration(gates, [SERVICE])) != 200:
            raise h.CouldNotRun("the first configuration is not taken")
        await deployment.wait_ready()
        for machine in deployment.sides:
            machine.server.body_bytes = ANSWER_BYTES
            machine.server.work = lambda headers: draw.uniform(0.02, 0.06)
        target = deployment.sides[0]
        clients = [SlowClient(deployment, target, draw) for _ in range(CONNECTIONS)]
        end = time.monotonic() + WARM_S + 8.0
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
    """LOST: handed to a server, and the connection closed without a whole answer, around a SIGTERM."""
    grace_s = deployment.bounds["grace_s"]
    runs = {}
    for machine in deployment.sides:
        runs |= machine.server.runs
    broken, counts = [], {}
    for client in clients:
        for id, (sent_at, ended_at, how) in client.sent.items():
            counts[how] = counts.get(how, 0) + 1
            if not how.startswith("closed") or id not in runs:
                continue
            if not stopped_at <= ended_at <= stopped_at + grace_s + 1.0:
                continue
            if ended_at >= sent_at + DEADLINE_S or runs[id][0][2] != "200":
                continue
            broken.append(
                f"LOST: request {id}, sent {sent_at - stopped_at:+.3f} s from SIGTERM, was answered by its"
                f" server at {runs[id][0][1] - stopped_at:+.3f} s; its connection ended at"
                f" {ended_at - stopped_at:+.3f} s without a whole answer: {how}"
            )
    record.add("requests by how they ended", counts)
    return broken


if __name__ == "__main__":
    h.run_case(os.path.dirname(os.path.abspath(__file__)), case)
