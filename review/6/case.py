"""DRAIN: a server that has left gets requests again, since its sidecar has forgotten that by a restart."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness_2 as h

HOST, SERVICE = "ficu95.example", "huvo11a"
SAFE, UNSAFE = "/lohu930/", "/vupi118/"
DEADLINE_S = 1.0  # of recarga
CLIENTS, GAP_S = 4, 0.03  # on each of the machines that nothing happens to
WARM_S = 3.0
SIGTERM_AFTER_S = 0.5  # the acknowledgement
LATE_S = 4.0  # of the last beat before the server leaves
SERVES_ON_S = 6.5  # after the acknowledgement


async def request(deployment, machine, prefix, log):
    """One request on a connection of its own; `log` gets [id, machine, prefix, sent at, how it ended]."""
    id = os.urandom(8).hex()
    row = [id, machine.name, prefix, time.monotonic(), "no answer"]
    log.append(row)
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_S + 0.3):
            reader, writer = await asyncio.open_connection(machine.ip, deployment.ports["outbound"])
            writer.write(
                f"POST {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nContent-Length: 3\r\n"
                f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\nabc".encode()
            )
            found = await h.read_head(reader)
            if found is not None:
                await h.read_body(reader, found[1])
                row[4] = found[0].split()[1]
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    deployment.record.add("client", machine.name, id, prefix, row[4])


async def client(deployment, machine, end, draw, log):
    while time.monotonic() < end:
        await request(deployment, machine, draw.choice([SAFE, UNSAFE]), log)
        await asyncio.sleep(draw.expovariate(1 / GAP_S))


async def leave(deployment, machine, trouble):
    """The server leaves without `draining`; returns when that was acknowledged, and when the server ended."""
    server, record, control = machine.server, deployment.record, deployment.address(machine, "control")
    server.sequence += 1
    beat = {
        "service": SERVICE, "address": deployment.address(machine, "app"), "zone": machine.zone,
        "edition": "v1", "berths": server.berths, "state": "ready", "cold_s_time": 0,
        "sequence": server.sequence,
    }  # fmt: skip

    async def no_more_beats():
        return True

    server.beat = no_more_beats
    record.add("server", server.id, "sends a beat that will come late, sequence", server.sequence)
    late_at = time.monotonic() + LATE_S
    for _ in range(20):
        status, _, _ = await h.call(control, "POST", f"/api/Instances.Leave/{server.id}", {})
        if 200 <= status < 300:
            break
    else:
        raise h.CouldNotRun("the leave is not acknowledged")
    acknowledged_at = time.monotonic()
    record.add("server", server.id, "has left: acknowledged")
    await asyncio.sleep(SIGTERM_AFTER_S)
    if trouble:
        deployment.start_task(deployment.terminate(machine))
    await asyncio.sleep(late_at - time.monotonic())
    status, _, body = await h.call(control, "POST", f"/api/Instances.Beat/{server.id}", beat)
    record.add("late beat answered", status, body[:60].decode("latin-1"))
    if not status:
        raise h.CouldNotRun("nobody listened when the late beat came")
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
    ended_at = time.monotonic()
    server.close()
    record.add("server", server.id, "ends")
    return acknowledged_at, ended_at


async def case(record, trouble):
    draw = random.Random()
    zones = ("yarumal", "yarumal", "santa-rosa", "valdivia")
    deployment = h.Deployment(record, [(zone, SERVICE) for zone in zones])
    try:
        await deployment.start()
        gates = [
            h.route("r-x73d3zj", HOST, SAFE, SERVICE, 1),
            h.route("r-i9n73hh", HOST, UNSAFE, SERVICE, 1, kind="unsafe"),
        ]
        if await h.Operator(deployment).patch(h.first_configuration(gates, [SERVICE])) != 200:
            raise h.CouldNotRun("the first configuration is not taken")
        await deployment.wait_ready()
        for machine in deployment.sides:  # about as recarga: 78 ms on average, at most 470 ms
            machine.server.work = lambda headers: draw.uniform(0.04, 0.16)
        log, end = [], time.monotonic() + WARM_S + SERVES_ON_S + 2.0
        others = deployment.sides[1:]
        tasks = [
            asyncio.ensure_future(client(deployment, each, end, draw, log))
            for each in others
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(WARM_S)
        acknowledged_at, ended_at = await leave(deployment, deployment.sides[0], trouble)
        await asyncio.gather(*tasks)
        return judge(record, deployment, log, acknowledged_at, ended_at)
    finally:
        await deployment.stop()


def judge(record, deployment, log, acknowledged_at, ended_at):
    """DRAIN: a request reaches a server later than `drain_s` after it was acknowledged as gone."""
    by_id, broken, late = {row[0]: row for row in log}, [], 0
    for id, runs in deployment.sides[0].server.runs.items():
        for run in runs:
            after_s = run[0] - acknowledged_at
            if after_s <= deployment.bounds["drain_s"] or id not in by_id:
                continue
            late += 1
            _, machine, prefix, sent_at, how = by_id[id]
            kind = "unsafe" if prefix == UNSAFE else "safe"
            lost = f"; LOST WORK: it had run when the server ended, its client got {how}"
            cut = kind == "unsafe" and how != "200" and run[0] < ended_at
            broken.append(
                f"DRAIN: {kind} request {id}, sent at {machine} {sent_at - acknowledged_at:+.2f} s from the"
                f" acknowledgement, reached the server at {after_s:+.2f} s{lost if cut else ''}"
            )
    record.add("requests that reached the server later than drain_s:", late)
    record.add("unsafe ones of these whose client got no success:", sum("LOST WORK" in each for each in broken))
    return sorted(broken, key=lambda line: "LOST WORK" not in line)


if __name__ == "__main__":
    h.run_case(os.path.dirname(os.path.abspath(__file__)), case)
