"""A client of real coordinators: puts, compare-and-sets and gets through relays.

Each operation is recorded with its times, so that the judge can check the history.
"""

import asyncio
import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from foxspread.consensus.client import Reply, call
from foxspread.consensus.versions import PutVersion, VersionConflict, VersionWritten, digest
from foxspread.lab.processes.fleet_operator import ERRORS, version_of
from foxspread.lab.processes.linear import NEVER, Op

if TYPE_CHECKING:
    from foxspread.lab.processes.real import ProcessRun

CONTENT = """# {name}
[settings]
siblings = 1
[[settings.categories]]
name = "docs"
abandon_time_us = 1500000
"""
OPERATION_KINDS, OPERATION_WEIGHTS = ("put", "set", "get"), (3, 3, 4)  # set: compare-and-set
MIN_RETRY_S, MAX_RETRY_S = 0.01, 0.1


class Writer:
    """Repeats an operation, a put with its request id, until it is answered or its time is over."""

    def __init__(self, process_run: "ProcessRun", name: str) -> None:
        self.process_run, self.name, self.fleet = process_run, name, process_run.fleet
        self.chance = self.fleet.rng(name)
        self.seen, self.count = 0, 0
        self.target = self.chance.choice(self.fleet.names)

    async def run(self) -> None:
        """Operations one after the other, to the end of the run."""
        while not self.process_run.over:
            await self.operation()
            await asyncio.sleep(self.chance.expovariate(1 / self.process_run.scenario.writers.pause))

    async def operation(self) -> None:
        """One operation, with all its attempts."""
        self.count += 1
        kind = self.chance.choices(OPERATION_KINDS, OPERATION_WEIGHTS)[0]
        called = self.process_run.now()
        content = CONTENT.format(name=f"{self.name} {self.count}").encode()
        if_version = self.seen if kind == "set" else -1
        put = PutVersion(f"{self.name}-{self.count}", content, if_version, self.name)
        unknown = Op(self.name, "unknown", called, NEVER, 0, digest(put.content), put.if_version)
        operation, value = await self._attempts(kind, put, unknown)
        if kind != "get" or value is not None or operation.kind == "get":
            self.process_run.judge.record_operation(operation, value, put)
        self.process_run.count_operation(operation.kind)

    async def _attempts(self, kind: str, put: PutVersion, unknown: Op) -> tuple[Op, Any]:
        """The operation as it is known in the end, and the value that it was answered."""
        writers = self.process_run.scenario.writers
        while self.process_run.now() - unknown.called < writers.patience:
            try:
                reply = await self._call(kind, put, writers.late)
            except ERRORS:
                self.target = self.chance.choice(self.fleet.names)
                await asyncio.sleep(self.chance.uniform(MIN_RETRY_S, MAX_RETRY_S))
                continue
            status = reply.value.get("status")
            if status == "done" or status == "conflict":
                return self._outcome(kind, unknown, reply)
            if status == "refused" and reply.code == 409:
                text = f"request {put.request_id} is said to have written another content"
                self.process_run.judge.record_violation("once", text)
            leader = reply.value.get("leader")
            self.target = leader if leader in self.fleet.names else self.chance.choice(self.fleet.names)
            await asyncio.sleep(self.chance.uniform(MIN_RETRY_S, MAX_RETRY_S))
        return unknown, None

    async def _call(self, kind: str, put: PutVersion, timeout_s: float) -> Reply:
        address = self.fleet.writers[self.target].address
        if kind == "get":
            return await call(address, "GET", "/rules", timeout_s=timeout_s)
        body = {
            "content": put.content.decode(),
            "if_version": put.if_version,
            "who": self.name,
            "request": put.request_id,
        }
        return await call(address, "POST", "/rules", json.dumps(body).encode(), timeout_s)

    def _outcome(self, kind: str, unknown: Op, reply: Reply) -> tuple[Op, Any]:
        now, value = self.process_run.now(), reply.value
        if value["status"] == "conflict":
            latest = version_of(value["latest"]) if value.get("latest") else None
            self.seen = latest.number if latest else 0
            conflict = replace(unknown, kind="conflict", answered=now, number=self.seen, digest="")
            return conflict, VersionConflict(unknown.if_version, latest)
        version = version_of(value["version"]) if value.get("version") else None
        self.seen = version.number if version else 0
        if kind == "get":
            content_digest = version.digest if version else ""
            get = replace(unknown, kind="get", answered=now, number=self.seen, digest=content_digest)
            return replace(get, if_version=-1), version
        self.process_run.put_times.append(now)
        return replace(unknown, kind="put", answered=now, number=self.seen), VersionWritten(version)
