"""Calls of servers and the operator: each gets one answer, whatever happens to it."""

import asyncio
import json

import orjson

from foxspread.mesh.dataplane.serving import Serving
from foxspread.mesh.control_api.configuration import ConfigurationResource
from foxspread.mesh.control_api.handlers import ORDER_MOST, ControlApi, ReadinessApi
from foxspread.mesh.control_api.instances import InstancesResource
from foxspread.mesh.registry.incarnations import DRAINING, InstanceTable
from foxspread.mesh.errors import conflict, outcome_unknown
from tests.mesh.helpers import OnLoop, Transport, header, rule, statuses

BEAT = {"service": "s1", "address": "10.0.0.9:8080", "zone": "z", "edition": "v1", "berths": 12,
        "state": "ready", "cold_s_time": 0, "sequence": 4}  # fmt: skip
CALL = {"lodge": {"fleets": [{"name": "s1", "edition": "r1"}],
                  "gates": [{"destination": "h", "regulations": [rule()]}]}}  # fmt: skip


class Keeper:
    """Settles as it is told."""

    def __init__(self, loop, outcome):
        self.loop, self.outcome, self.got = loop, outcome, []

    def submit(self, items):
        self.got.append(items)
        future = self.loop.create_future()
        if isinstance(self.outcome, Exception):
            future.set_exception(self.outcome)
        else:
            future.set_result(self.outcome)
        return future


class Calls(OnLoop):
    def setUp(self):
        super().setUp()
        self.instances, self.changes, self.known = InstanceTable(1.0), [], True
        beats = InstancesResource(
            self.loop.time, self.instances, lambda: self.changes.append(self.loop.now), self.spread
        )
        self.desk = ControlApi(self.loop.time, {"Instances": beats})

    async def spread(self):
        await asyncio.sleep(0.3)
        return self.known

    def call(self, target, body=b"", method=b"POST", after=1.0):
        line = Serving(self.desk)
        transport = Transport(self.loop, line)
        line.connection_made(transport)
        body = body if isinstance(body, bytes) else orjson.dumps(body)
        transport.receive(
            b"%b %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b" % (method, target, len(body), body)
        )
        self.loop.advance(after)
        self.written = transport.written
        return statuses(transport.written)

    def test_beats(self):
        # Guards: a 2xx only for what was understood; a drain only once others know it; each within a second.
        for change, wanted in (
            ({}, [200]),
            ({"berths": 0}, [200]),
            ({"sequence": 3}, [200]),
            ({"address": "10.0.0.9"}, [400]),
            ({"state": "well"}, [400]),
            ({"sequence": "5"}, [400]),
            ({"sequence": None}, [400]),
            ({"more": 1, "sequence": 6}, [200]),
        ):
            self.assertEqual(wanted, self.call(b"/api/Instances.Beat/i-1", BEAT | change), change)
        for body in (b"", b"[]", b"{", b"1"):
            self.assertEqual([400], self.call(b"/api/Instances.Beat/i-1", body))
        self.assertEqual([400], self.call(b"/api/Instances.Beat/", BEAT))
        drain = BEAT | {"state": DRAINING, "sequence": 7}
        self.assertEqual([], self.call(b"/api/Instances.Beat/i-1", drain, after=0.2))
        self.assertEqual(DRAINING, self.instances.servers["i-1"].state)
        self.known = False
        self.assertEqual([503], self.call(b"/api/Instances.Beat/i-1", drain | {"sequence": 8}))
        self.assertEqual([200], self.call(b"/api/Instances.Leave/i-1"))
        self.assertEqual([410], self.call(b"/api/Instances.Beat/i-1", BEAT | {"sequence": 9}))
        self.assertEqual([200], self.call(b"/api/Instances.Leave/i-1"))
        self.assertEqual(3, len(self.changes))

    def test_calls_that_do_not_exist(self):
        for target, method in (
            (b"/api/Instances.Beat/i-1", b"GET"),
            (b"/api/Instances.__init__", b"POST"),
            (b"/api/Nothing.Beat", b"POST"),
            (b"/api/Instances", b"POST"),
            (b"/api/", b"POST"),
            (b"/Instances.Beat", b"POST"),
        ):
            self.assertEqual([404], self.call(target, BEAT, method), target)

    def test_configuration(self):
        # Guards: nothing invalid reaches the disk; the outcome goes back as it is; one without a disk reads
        # nothing and names another, with the whole path.
        for outcome, wanted in ((True, 200), (conflict("no"), 409), (outcome_unknown("later"), 503)):
            replica_server = Keeper(self.loop, outcome)
            self.desk.resources["Config"] = ConfigurationResource(replica_server, lambda: None)
            self.assertEqual([wanted], self.call(b"/api/Config.Patch", CALL))
            self.assertEqual(["s1", "r1"], [item.name for item in replica_server.got[0]])
            self.assertEqual([400], self.call(b"/api/Config.Patch", orjson.dumps(CALL)[:-1]))
            self.assertEqual(1, len(replica_server.got))
        for place, wanted in (("10.0.0.4:8080", 307), (None, 503)):
            self.desk.resources["Config"] = ConfigurationResource(None, lambda place=place: place)
            self.assertEqual([wanted], self.call(b"/api/Config.Patch", CALL))
            location = place and b"http://10.0.0.4:8080/api/Config.Patch"
            self.assertEqual(location, header(self.written, b"location"))
            self.assertEqual([wanted], self.call(b"/api/Config.Get", method=b"GET"))
            self.assertEqual([wanted], self.call(b"/api/Config.Patch", b"{"))

    def test_orders_that_are_too_much(self):
        # Guards: each gets a clear refusal, nothing of it is submitted, and none is read whole that is too
        # large: by its length, and by what comes of one without a length.
        replica_server = Keeper(self.loop, True)
        self.desk.resources["Config"] = ConfigurationResource(replica_server, lambda: None)
        for size in (ORDER_MOST + 1, 64 * 1024 * 1024):
            head = b"POST /api/Config.Patch HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            self.assertEqual([413], self.sent(head + b" " * 1000))
        chunk = b"%x\r\n%b\r\n" % (1 << 20, b" " * (1 << 20))
        head = b"POST /api/Config.Patch HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual([413], self.sent(head + 5 * chunk))
        head = b"POST /api/Config.Patch HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n"
        self.assertEqual([], self.sent(head + orjson.dumps(CALL)[:100]))  # cut off, and the peer is gone
        for change in (
            {"name": "n" * 65536},
            {"edition": "r" + "9" * 16},
            {"priority": 10**30},
            {"target_s": 10**300},
            {"edition": 7},
        ):
            call = {"lodge": {"fleets": [{"name": "s1", "edition": "r1"}],
                              "gates": [{"destination": "h", "regulations": [rule() | change]}]}}  # fmt: skip
            body = json.dumps(call).encode()
            self.assertEqual([400], self.call(b"/api/Config.Patch", body), change)
        endless = b'{"lodge":{"limits":{"edition":"r1","idle_s":1e999}}}'
        for body in (b"[" * 100_000, b'{"lodge":' * 5000, endless):
            self.assertEqual([400], self.call(b"/api/Config.Patch", body), body[:20])
        self.assertEqual([], replica_server.got)

    def sent(self, data):
        line = Serving(self.desk)
        transport = Transport(self.loop, line)
        line.connection_made(transport)
        transport.receive(data)
        self.loop.advance(0.1)
        return statuses(transport.written)

    def test_a_process_that_stood_still_takes_no_order_for_new(self):
        # Guards: an order read on waking may be a copy that its operator has long sent elsewhere; also one
        # that was being read in slices meanwhile. Each is asked at the act, twice.
        replica_server = Keeper(self.loop, True)
        for answers, wanted, got in (
            ([True], 503, 0),
            ([False, True], 503, 0),
            ([False, False], 200, 1),
        ):
            told = iter(answers)
            self.desk.resources["Config"] = ConfigurationResource(
                replica_server, lambda: None, lambda told=told: next(told)
            )
            self.assertEqual([wanted], self.call(b"/api/Config.Patch", CALL))
            self.assertEqual(got, len(replica_server.got))
        self.desk.resources["Config"] = ConfigurationResource(replica_server, lambda: None, lambda: True)
        self.assertEqual([503], self.call(b"/api/Config.Get", method=b"GET"))
        self.assertEqual(1, len(replica_server.got))

    def test_a_call_that_fails(self):
        # Guards: an error of ours must not leave the caller without an answer; it is told to go elsewhere.
        self.desk.resources["Config"] = ConfigurationResource(
            Keeper(self.loop, ValueError("ours")), lambda: None
        )
        self.assertEqual([500], self.call(b"/api/Config.Patch", CALL))
        self.assertEqual(["ours"], [str(fault) for fault in self.loop.faults])
        self.loop.faults.clear()

    def test_ready(self):
        told = []
        self.desk = ReadinessApi(self.loop.time, lambda: bool(told))
        self.assertEqual([503], self.call(b"/api/ready", method=b"GET"))
        told.append(1)
        self.assertEqual([200], self.call(b"/api/ready", method=b"GET"))
        self.assertEqual([404], self.call(b"/", method=b"GET"))
