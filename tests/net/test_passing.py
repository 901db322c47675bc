import asyncio
import hashlib
import random
import unittest
from unittest import mock

from foxspread.config import Address
from foxspread.net import passing
from tests.helpers import LOOKUP, entry, on_loop
from tests.net.test_operations import Running

MIB = 1 << 20


class Slow:
    """A server on loopback that reads bodies and writes answers in pieces of 1 byte to 64 KiB, with pauses,
    as many bytes as X-Labels asks for. Its ledger: what came, by X-Txn."""

    def __init__(self, framing="length", seed=1, cut=None):
        self.framing, self.chance, self.cut, self.got, self.heads = framing, random.Random(seed), cut, {}, []
        self.asked = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        self.address = Address(*self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                self.heads.append(head)
                self.asked.set()
                body = hashlib.sha256()
                async for part in pieces_of(reader, head):
                    body.update(part)
                self.got[field(head, b"x-txn")] = body.hexdigest()
                await self._answer(writer, int(field(head, b"x-labels") or 2))
                if self.framing == "end":
                    break
        except (asyncio.IncompleteReadError, OSError, RuntimeError, asyncio.CancelledError):
            pass
        writer.close()

    async def _answer(self, writer, size):
        framing = {"length": b"Content-Length: %d\r\n" % size, "end": b""}.get(
            self.framing, b"Transfer-Encoding: chunked\r\n")
        writer.write(b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n" + framing + b"\r\n")
        at, rest = 0, memoryview(content(size))
        while at < size:
            piece = rest[at:at + self.chance.choice((1, 100, 5000, 1 << 16))]
            writer.write(b"%x;note=1\r\n%b\r\n" % (len(piece), piece) if self.framing == "chunks" else piece)
            await writer.drain()
            at += len(piece)
            if self.cut and at > self.cut:
                writer.transport.abort()
                raise ConnectionError
            if self.chance.random() < 0.05:
                await asyncio.sleep(0.001)
        if self.framing == "chunks":
            writer.write(b"0\r\nTrailer: t\r\n\r\n")
        await writer.drain()


def content(size, seed=7):
    return random.Random(seed).randbytes(size)


def field(head, name):
    return next((line.partition(b":")[2].strip().decode() for line in head.split(b"\r\n")
                 if line.lower().startswith(name + b":")), None)


async def pieces_of(reader, head):
    if field(head, b"transfer-encoding"):
        while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif (length := field(head, b"content-length")) is not None:
        left = int(length)
        while left:
            part = await reader.read(min(left, 1 << 15))
            if not part:
                raise ConnectionError
            left -= len(part)
            yield part
    else:
        while part := await reader.read(1 << 15):
            yield part


async def connected(it):
    address = it.it.listener.address
    return await asyncio.open_connection(address.host, address.port, limit=1 << 16)


async def exchange(it, id, size=0, answer=2, chunked=False, old=False, expect=False, seed=3, close=True):
    """Sends a body of that size in pieces; returns the status, the answer's head and the sum of its body."""
    reader, writer = await connected(it)
    body, chance = content(size, seed=seed), random.Random(seed)
    head = LOOKUP[:LOOKUP.index(b"Content-Length")].replace(b"t1", id.encode()) + b"X-Labels: %d\r\n" % answer
    head = head.replace(b"HTTP/1.1", b"HTTP/1.0") if old else head
    head += b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: %d\r\n" % size
    writer.write(head + (b"Expect: 100-continue\r\n" if expect else b"") + b"\r\n")
    if expect:
        assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")

    async def send():
        at = 0
        while at < size:
            piece = body[at:at + chance.choice((1, 200, 7000, 1 << 16))]
            writer.write(b"%X;x=y\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
            at += len(piece)
        if chunked:
            writer.write(b"0\r\nTrailer: t\r\n\r\n")

    sending = asyncio.ensure_future(send())
    try:
        found = await reader.readuntil(b"\r\n\r\n")
        read = hashlib.sha256()
        async for part in pieces_of(reader, found.lower()):
            read.update(part)
            if chance.random() < 0.1:
                await asyncio.sleep(0.001)   # it takes its time
    finally:
        sending.cancel()
        writer.close()
    return int(found.split(b" ", 2)[1]), found, read.hexdigest()


def summed(data):
    return hashlib.sha256(data).hexdigest()


class TestPassing(unittest.TestCase):
    @on_loop
    async def test_all_forms_both_ways_keep_bytes_and_order(self):
        for framing in ("length", "chunks", "end"):
            async with Slow(framing) as server, Running(known=[entry(server.address)]) as it:
                for number, (size, answer, more) in enumerate((
                        (3, 2, {}), (70_000, 70_000, {}), (MIB, 2, {"chunked": True}),
                        (2, MIB, {"old": True}),
                        (200_000, 300_000, {"expect": True}), (70_000, 65_536, {"old": True}),
                        (65_537, 65_537, {"chunked": True, "expect": True}), (0, 65_536, {"chunked": True}))):
                    id = f"i{number}"
                    status, head, read = await exchange(it, id, size, answer, **more)
                    self.assertEqual((status, read), (200, summed(content(answer))), (framing, number, head))
                    self.assertEqual(server.got[id], summed(content(size, seed=3)), (framing, number))
                    self.assertFalse(more.get("old") and b"chunked" in head)
                found = await it.stats()
                self.assertEqual(found["results"]["pay"], {"succeeded": 8, "declined": 0, "aborted": 0})
                self.assertEqual((found["forwards"], found["outstanding"]), (8, 0))
                self.assertEqual(it.it.windows.used, 0)

    @on_loop
    async def test_more_at_once_than_the_bound_stays_within_it(self):
        with mock.patch.object(passing, "COPIES", 1):
            async with Slow() as server, Running(known=[entry(server.address)]) as it:
                it.it.windows.most = 3 * passing.WINDOW   # three windows for twelve
                most, take = 0, it.it.windows.take

                def watched():
                    nonlocal most
                    window = take()
                    most = max(most, it.it.windows.used)
                    return window

                with mock.patch.object(it.it.windows, "take", watched):
                    found = await asyncio.gather(*(exchange(it, f"m{n}", 2 * MIB, 2 * MIB)
                                                   for n in range(12)))
                done = [(status, read) for status, _, read in found if status == 200]
                self.assertGreaterEqual(len(done), 2)   # the others are dismissed: one server has little room
                self.assertEqual(set(done), {(200, summed(content(2 * MIB)))})
                self.assertLessEqual(most, 3 * passing.WINDOW)
                self.assertEqual(it.it.windows.used, 0)

    @on_loop
    async def test_a_failed_connection_leads_to_another_server_and_a_broken_body_to_none(self):
        async with Slow() as server:
            known = [entry("127.0.0.1:1"), entry(server.address, "s2")]
            async with Running(known=known) as it:
                for n in range(4):   # whichever is first in turn
                    self.assertEqual((await exchange(it, f"f{n}", 100_000))[0], 200)
        broken = await asyncio.start_server(lambda reader, writer: cut(reader, writer), "127.0.0.1", 0)
        known = [entry("%s:%s" % broken.sockets[0].getsockname(), f"s{n}") for n in range(3)]
        async with Running(known=known) as it:
            status, head, _ = await exchange(it, "b1", 4 * MIB)
            self.assertIn((status, b"Connection: close" in head), ((502, True), (503, True)))
            self.assertEqual(it.it.facade.balancer.lookups, {})
        broken.close()

    @on_loop
    async def test_an_answer_that_breaks_off_is_cut_so_that_the_client_can_tell(self):
        for framing, old in (("length", False), ("chunks", False), ("chunks", True)):
            async with Slow(framing, cut=200_000) as server, Running(known=[entry(server.address)]) as it:
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await exchange(it, "c1", 3, MIB, old=old)
                self.assertEqual((await it.stats())["results"]["pay"]["aborted"], 1)

    @on_loop
    async def test_a_slow_upload_marks_nobody_and_its_time_counts_from_the_last_byte(self):
        async with Slow() as server, Running(known=[entry(server.address)]) as it:
            reader, writer = await connected(it)
            writer.write(LOOKUP.replace(b"Length: 3\r\n\r\nabc", b"Length: 100000\r\n\r\n")
                         .replace(b"900m", b"300m"))
            for _ in range(10):   # 0.6 s in all
                await asyncio.sleep(0.06)
                writer.write(bytes(10_000))
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n"))
            self.assertEqual(it.it.facade.balancer.marks.marked, set())
            self.assertLess(it.it.facade.balancer.measures.slow[""].read(it.it.clock()), 0.5)
            writer.close()

    @on_loop
    async def test_a_client_that_gives_nothing_or_no_body_is_told_and_its_server_is_free(self):
        with mock.patch.object(passing, "SILENCE", 0.1):
            async with Slow() as server, Running(known=[entry(server.address)]) as it:
                for rest, wanted in ((b"", b" 408 "), (b"2\r\nab\r\nnonsense\r\n", b" 400 ")):
                    reader, writer = await connected(it)
                    head = LOOKUP[:LOOKUP.index(b"Content-Length")].replace(b"t1", b"n%d" % len(rest))
                    chunk = b"Transfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537) + b"\r\n"
                    writer.write(head + (chunk if rest else b"Content-Length: 90000\r\n\r\n"))
                    server.asked.clear()
                    await server.asked.wait()
                    writer.write(rest)
                    self.assertIn(wanted, await reader.readuntil(b"\r\n"))
                    writer.close()
                while it.it.out or it.it.listener.clients:
                    await asyncio.sleep(0.01)
                self.assertEqual((it.it.pool.idle, it.it.windows.used), ({}, 0))

    @on_loop
    async def test_one_whose_client_leaves_in_the_midst_leaves_nothing_behind(self):
        async with Slow() as server, Running(known=[entry(server.address)]) as it:
            for id, size, sent, answer in ((b"u", 4 * MIB, 200_000, 2), (b"d", 3, 3, 32 * MIB)):
                reader, writer = await connected(it)
                writer.write(LOOKUP.replace(b"Length: 3\r\n\r\nabc", b"Length: %d\r\nX-Labels: %d\r\n\r\n"
                                            % (size, answer)).replace(b"t1", id) + bytes(sent))
                await (server.asked.wait() if id == b"u" else reader.read(100_000))
                writer.transport.abort()
                while it.it.out or it.it.listener.clients or it.it.passing:
                    await asyncio.sleep(0.01)
                self.assertEqual((it.it.windows.used, it.it.held), (0, {}))

    @on_loop
    async def test_more_than_may_pass_is_413_and_a_short_request_after_a_long_one_is_served(self):
        async with Slow() as server, Running(known=[entry(server.address)]) as it:
            with mock.patch("foxspread.net.http.PASSED_MOST", MIB):
                for chunked in (False, True):
                    self.assertEqual((await exchange(it, f"l{chunked}", MIB + 1, chunked=chunked))[0], 413)
            reader, writer = await connected(it)
            long = LOOKUP.replace(b"Length: 3\r\n\r\nabc", b"Length: 70000\r\n\r\n" + bytes(70_000))
            first, last = (long.replace(b"t1", id) for id in (b"p1", b"p3"))
            writer.write(first + LOOKUP.replace(b"t1", b"p2") + last)
            for _ in range(3):
                self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
                self.assertEqual(len(await reader.readexactly(2)), 2)
            self.assertEqual(sorted(server.got)[-3:], ["p1", "p2", "p3"])
            writer.close()


async def cut(reader, writer):
    """Takes a part of the body and resets."""
    await reader.readexactly(300_000)
    writer.transport.abort()



if __name__ == "__main__":
    unittest.main()
