"""How long a large order of the operator holds up the loops of a mesh that runs on loopback.

    python -m foxspread.mesh up --folder DIR --net 127.0.81 &
    python bench/orchard_orders.py DIR 3000 10000

Asks each keeper and one sidecar for a call that does not exist every 5 ms, and prints the longest that one
waited for its answer while an order of so many routes went through, again until it was taken, and was read
back.
"""

import asyncio
import json
import sys
import time

from foxspread.mesh.local_cluster.layout import CORE, SIDE, read

EVERY_S = 0.005
TRIES = 5


def order(routes: int, version: int) -> bytes:
    rules = [
        {
            "name": f"q-{number:07d}",
            "mail_class": "safe",
            "target_s": 0.5,
            "priority": 2,
            "edition": f"r{version}",
            "sorting": {"postcode": f"/q{number}/"},
            "dispatch": {"service": "press", "deadline_s": 2, "delivery_attempts": 2},
        }
        for number in range(routes)
    ]
    fleets = [{"name": "press", "edition": f"r{version}"}]
    gates = [{"destination": "large.example", "regulations": rules}]
    return json.dumps({"lodge": {"fleets": fleets, "gates": gates}}).encode()


async def call(place: tuple, method: str, path: str, body: bytes = b"", line: tuple = ()) -> tuple[int, int]:
    """Status, and bytes of the answer's body."""
    reader, writer = line or await asyncio.open_connection(*place)
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
    size = next((int(each[15:]) for each in lines if each.lower().startswith(b"content-length:")), 0)
    await reader.readexactly(size)
    if not line:
        writer.close()
    return int(lines[0].split()[1]), size


async def asked(place: tuple, node: str, worst: dict[str, float]) -> None:
    line = await asyncio.open_connection(*place)
    while True:
        began = time.perf_counter()
        await call(place, "GET", "/api/None.Such", line=line)
        worst[node] = max(worst.get(node, 0.0), time.perf_counter() - began)
        await asyncio.sleep(EVERY_S)


async def main(folder: str, sizes: list[int]) -> None:
    layout = read(folder)
    machines = [*layout.of(CORE), layout.of(SIDE)[0]]
    worst: dict[str, float] = {}
    tasks = [asyncio.create_task(asked(each.place("control"), each.node, worst)) for each in machines]

    async def told(what: str) -> None:
        await asyncio.sleep(1.0)
        print(
            f"{what}: longest wait, ms:", {node: round(1000 * each) for node, each in sorted(worst.items())}
        )
        worst.clear()

    await told("calm")
    place = machines[0].place("control")
    for number, routes in enumerate(sizes):
        body = order(routes, 2 + number)
        for _ in range(TRIES):
            began = time.perf_counter()
            status, _ = await call(place, "POST", "/api/Config.Patch", body)
            await told(
                f"{routes} routes, {len(body)} bytes: {status} after {time.perf_counter() - began:.2f} s"
            )
            if status == 200:
                break
        began = time.perf_counter()
        status, size = await call(place, "GET", "/api/Config.Get")
        await told(f"read back, {size} bytes: {status} after {time.perf_counter() - began:.2f} s")
    for each in tasks:
        each.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], [int(each) for each in sys.argv[2:]]))
