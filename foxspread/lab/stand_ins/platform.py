"""A stand-in of the platform at an upgrade: holds the clients' listening socket, starts real sidecars on it
one beside the other, each with a door of its own, and calls there as operators do.
"""

import asyncio
import json
import os
import pathlib
import socket
import sys
import tempfile
from typing import Any

from foxspread.config import Address


class Platform:
    """Starts sidecars with this configuration; their addresses are filled in. All end with the block."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.folder, self.config = tempfile.TemporaryDirectory(), config
        self.processes: list[asyncio.subprocess.Process] = []
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=100)
        self.listen = Address(*self.sock.getsockname())
        self.file = pathlib.Path(self.folder.name, "config.json")

    async def __aenter__(self) -> "Platform":
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.sock.close()
        self.folder.cleanup()

    async def start(self, passed: str = "") -> tuple[asyncio.subprocess.Process, Address]:
        """The process and its door; `passed` in place of the number of the socket that it inherits."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            door = Address(*free.getsockname())
        self.file.write_text(json.dumps(self.config | {"listen": str(self.listen), "operator": str(door)}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "foxspread",
            stderr=asyncio.subprocess.PIPE,
            pass_fds=(self.sock.fileno(),),
            env=os.environ
            | {
                "EDGE_CONFIG": str(self.file),
                "TMPDIR": self.folder.name,
                "EDGE_PASSED_SOCKET": passed or str(self.sock.fileno()),
            },
        )
        self.processes.append(process)
        return process, door

    async def serving(self) -> tuple[asyncio.subprocess.Process, Address]:
        """A further process, from its yes on."""
        process, door = await self.start()
        while await call(door, b"GET /healthcheck") != 200:
            await asyncio.sleep(0.02)
        return process, door


async def call(door: Address, line: bytes) -> int:
    """An operator's call; its status, 0 where nobody is there yet."""
    try:
        reader, writer = await asyncio.open_connection(door.host, door.port)
    except ConnectionRefusedError:
        return 0
    writer.write(line + b" HTTP/1.1\r\nHost: o\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ", 2)[1])


async def line(process: asyncio.subprocess.Process, text: str) -> str:
    """The next line of its log with that text in it."""
    while found := (await process.stderr.readline()).decode():
        if text in found:
            return found
    raise AssertionError(f"no line with: {text}")
