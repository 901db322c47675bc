"""Requests that arrive while a sidecar shuts down, in virtual time, through its real endpoints."""

from foxspread.mesh.dataplane.http_server import LINGER_S, ServerConnection
from foxspread.mesh.endpoints import Endpoints
from foxspread.mesh.settings import parse_settings
from foxspread.mesh.shutdown import Phase, Shutdown
from tests.mesh.helpers import OnLoop, SimulatedMesh, Transport, header, request, response, statuses

GRACE_S = 6.0
DEADLINE_S = 2.5
SETTINGS = {
    "node": "me",
    "serves": ["side"],
    "ip": "127.0.0.1",
    "zone": "z",
    "counters": {},
    "inner_ports": [7660, 7675],
    "seeds": [],
    "first_start": True,
    "service": "s0",
    "app": "127.0.0.1:80",
}


class ShutDownSidecar:
    """A sidecar that gets SIGTERM now, and its clients; no other sidecar of its zone is up by default.

    Its requests run on the servers of a simulated mesh, for `work_s` each.
    """

    def __init__(
        self,
        loop,
        work_s,
        mail_class="unsafe",
        route_deadline_s=DEADLINE_S,
        callers_have_alternatives=False,
    ):
        self.loop, self.work_s, self.started_at = loop, work_s, loop.now
        self.mesh = SimulatedMesh(loop, mail_class=mail_class, deadline=route_deadline_s)
        self.mesh.actions = [self.respond_later] * 1000
        for name in self.mesh.inbound:
            self.mesh.send_heartbeat(name, sequence=2, capacity=100)
        self.endpoints = Endpoints(
            parse_settings(SETTINGS),
            loop.time,
            self.mesh.chance,
            self.mesh.instances["me"],
            self.mesh.routes,
            self.mesh.upstreams,
            lambda: True,
            lambda: 4,
        )
        self.shutdown = Shutdown(
            loop.now,
            GRACE_S,
            True,
            self.endpoints,
            lambda now, up_for_s: callers_have_alternatives,
            lambda now: True,
        )
        self.exited_at, self.transports = None, []
        self.advance_shutdown()

    def respond_later(self, peer):
        answer = response(id=header(peer.received[-1], b"x-request-id"))
        self.loop.call_later(self.work_s, peer.transport.write, answer)

    def advance_shutdown(self):
        wait_s = self.shutdown.advance(self.loop.now)
        if wait_s is None:
            self.exited_at = self.loop.now
            for transport in self.transports:
                transport.abort()  # as the end of a process does
        else:
            self.loop.call_later(wait_s, self.advance_shutdown)

    @property
    def is_listening(self):
        return self.shutdown.phase not in (Phase.DRAINING, Phase.ENDED)

    def add_local_server(self):
        """Adds a server beside the sidecar, to which other sidecars send; returns its id."""
        self.loop.listeners["127.0.0.1", 80] = self.mesh.make_server
        self.mesh.send_heartbeat("me", capacity=100)
        return b"i-me"

    def connect(self, endpoint="outbound"):
        connection = ServerConnection(self.endpoints.http_servers[endpoint])
        transport = Transport(self.loop, connection)
        connection.connection_made(transport)
        self.transports.append(transport)
        return transport

    def ran(self, id):
        """Returns whether a request was handed to a server."""
        return any(header(each, b"x-request-id") == id for each in self.mesh.received)


def pay(id, remaining_s=DEADLINE_S):
    return request(method=b"POST", body=b"pay", id=id, remaining_ms=int(remaining_s * 1000))


class RequestsDuringShutdown(OnLoop):
    def send_until_exit(self, sidecar):
        """Sends a request each 0.1 s, each on a new connection, until the sidecar has exited.

        Returns for each request: seconds since SIGTERM, id, transport.
        """
        sent = []
        while sidecar.exited_at is None:
            if sidecar.is_listening:
                transport, id = sidecar.connect(), b"q%d" % len(sent)
                transport.receive(pay(id))
                sent.append((self.loop.now - sidecar.started_at, id, transport))
            self.loop.advance(0.1)
        return sent

    def test_no_request_is_accepted_that_may_outlast_the_process(self):
        # Guards against requests that are taken late after SIGTERM and cut while their servers work.
        for mail_class in ("safe", "unsafe"):
            sidecar = ShutDownSidecar(self.loop, 1.6, mail_class)
            for sent_at, id, transport in self.send_until_exit(sidecar):
                found = statuses(transport.written)
                if sent_at <= 2.9:
                    self.assertEqual([200], found, sent_at)
                else:
                    self.assertIn(found, ([200], [503]), sent_at)
                self.assertEqual(found == [200], sidecar.ran(id), sent_at)
                if found == [503]:
                    self.assertIn(b"Retry-After: ", transport.written)
            self.assertLess(sidecar.exited_at - sidecar.started_at, GRACE_S)

    def test_a_request_that_ends_in_time_is_accepted_late(self):
        sidecar = ShutDownSidecar(self.loop, 0.2)
        self.loop.advance(4.0)
        transport = sidecar.connect()
        transport.receive(pay(b"q1", 0.9))
        self.loop.advance(0.3)
        self.assertEqual([200], statuses(transport.written))

    def test_a_kept_connection_with_requests_behind_one_another(self):
        # Guards against cuts on connections that were open before SIGTERM.
        sidecar = ShutDownSidecar(self.loop, 1.6, "safe")
        transport = sidecar.connect()
        transport.receive(pay(b"early"))
        self.loop.advance(3.2)
        transport.receive(pay(b"late-1") + pay(b"late-2"))
        while sidecar.exited_at is None:
            self.loop.advance(0.1)
        self.assertEqual([200, 503, 503], statuses(transport.written))
        self.assertFalse(sidecar.ran(b"late-1") or sidecar.ran(b"late-2"))

    def test_a_request_that_is_being_read_when_the_listeners_close(self):
        # Guards against an exit between the first and the last byte of a request.
        sidecar = ShutDownSidecar(self.loop, 0.2, callers_have_alternatives=True)
        transport, whole = sidecar.connect(), pay(b"q1")
        self.loop.advance(2.35)
        transport.receive(whole[:-1])
        self.loop.advance(0.3)
        transport.receive(whole[-1:])
        while sidecar.exited_at is None:
            self.loop.advance(0.1)
        self.assertEqual([[200], True], [statuses(transport.written), transport.eof])

    def test_the_exit_waits_for_peers_to_close_their_side(self):
        # Guards against a last response that is lost, since the exit resets a connection with bytes unread.
        for peer_closes in (True, False):
            sidecar = ShutDownSidecar(self.loop, 0.2, callers_have_alternatives=True)
            transport = sidecar.connect()
            self.loop.advance(2.3)
            transport.receive(pay(b"q1"))
            self.loop.advance(0.3)
            self.assertEqual([[200], True], [statuses(transport.written), transport.eof])
            transport.receive(pay(b"q2"))
            if peer_closes:
                transport.receive_eof()
                self.loop.advance(0.1)
                self.assertIsNotNone(sidecar.exited_at)
            else:
                self.assertIsNone(sidecar.exited_at)
                for _ in range(4):
                    self.loop.advance(0.5)
                    sidecar.endpoints.sweep(self.loop.now)
                self.loop.advance(0.1)
                self.assertLess(sidecar.exited_at - sidecar.started_at, 2.6 + LINGER_S + 0.7)
            self.assertFalse(sidecar.ran(b"q2"))

    def test_a_short_request_behind_one_that_may_outlast_the_process(self):
        # Guards against cuts of requests that have run, and whose response waits for an earlier one's.
        sidecar = ShutDownSidecar(self.loop, 3.0, "safe", route_deadline_s=5.0)
        transport = sidecar.connect()
        self.loop.advance(2.0)
        transport.receive(pay(b"long", 5.0))
        self.loop.advance(2.0)
        sidecar.work_s = 0.1
        transport.receive(pay(b"short", 0.9))
        self.loop.advance(0.9)
        self.assertFalse(sidecar.ran(b"short"))

    def test_a_request_of_another_sidecar_that_may_outlast_the_process(self):
        # Guards against cuts at the second hop: the sender must learn that the request has not run.
        sidecar = ShutDownSidecar(self.loop, 1.6)
        extra = b"X-Expect-Instance: %b\r\nX-Orchard: 500 1 unsafe first a1\r\n" % sidecar.add_local_server()
        sent = []
        while sidecar.exited_at is None:
            if sidecar.is_listening:
                transport, id = sidecar.connect("inbound"), b"q%d" % len(sent)
                transport.receive(request(id=id, remaining_ms=int(DEADLINE_S * 1000), extra=extra))
                sent.append((self.loop.now - sidecar.started_at, id, transport))
            self.loop.advance(0.4)
        for sent_at, id, transport in sent:
            is_accepted = sent_at < 3.0
            self.assertEqual([200 if is_accepted else 503], statuses(transport.written), sent_at)
            report = header(transport.written, b"x-orchard")
            self.assertTrue(report.startswith(b"sent " if is_accepted else b"unsent "), report)
            self.assertEqual(is_accepted, sidecar.ran(id), sent_at)
