"""Clients that upload in turn, each on a connection of its own, and then rest on it."""

import asyncio
import time

from foxspread.mesh.local_cluster.layout import Machine
from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.load import Worker
from foxspread.mesh.soak.plan import SoakPlan
from foxspread.mesh.soak.platform import ClientPlatform

UPLOAD_BYTES = 16 * 1024 * 1024
PAUSE_S = 0.1


async def upload_in_turn(
    machine: Machine, platform: ClientPlatform, history: History, plan: SoakPlan, until: float
) -> None:
    """Has the uploaders of a machine upload one after another, until that time on the monotonic clock."""
    uploaders = [
        Worker(machine, platform, history, 1 / PAUSE_S, f"{plan.seed}/{machine.node}/upload-{number}")
        for number in range(plan.uploaders)
    ]
    body = bytes(UPLOAD_BYTES)
    turn = 0
    while time.monotonic() < until:
        await asyncio.sleep(PAUSE_S)
        if platform.gives_work(machine):
            uploader = uploaders[turn % len(uploaders)]
            await uploader.send([uploader.draft_request(idempotent=False, body=body)])
            turn += 1
    for uploader in uploaders:
        uploader.close()
