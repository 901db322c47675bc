"""Memory of connections that are idle or closed: nothing of the bodies that went over them."""

import gc
import tracemalloc

from foxspread.mesh.dataplane.http_server import HttpLimits, HttpServer, ServerConnection
from foxspread.mesh.dataplane.upstream_connections import ConnectionPool, UpstreamConnection
from tests.mesh.helpers import OnLoop, Transport, request, response

BODY = b"b" * (1 << 20)
CONNECTIONS = 4


class AnsweringServer(HttpServer):
    def handle(self, exchange):
        exchange.respond(200, b"done")


class IdleMemory(OnLoop):
    """Guards against bodies that stay in memory, uncounted, until a connection is used again or collected."""

    def held_bytes(self, act):
        """Returns what `act` leaves in memory, with no help by the garbage collector.

        `act` is called once for each connection and returns what is to be kept meanwhile.
        """
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        try:
            kept = [act() for _ in range(CONNECTIONS)]
            self.assertEqual(CONNECTIONS, len(kept))
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    def connect(self, server):
        connection = ServerConnection(server)
        transport = Transport(self.loop, connection)
        connection.connection_made(transport)
        return transport

    def test_an_answered_request(self):
        server = AnsweringServer(self.loop.time, HttpLimits())
        for extra in (b"", b"Expect: 100-continue\r\n"):
            whole = request(method=b"POST", body=BODY, extra=extra)
            head, body = whole[: -len(BODY)], whole[-len(BODY) :]

            def upload(head=head, body=body):
                transport = self.connect(server)
                transport.receive(head)
                transport.receive(body)
                return transport

            self.assertLess(self.held_bytes(upload), len(BODY), extra)

    def test_a_request_whose_client_left_inside_its_body(self):
        server = AnsweringServer(self.loop.time, HttpLimits())
        part = request(method=b"POST", body=BODY)[:-1]

        def upload():
            transport = self.connect(server)
            transport.receive(bytearray(part))
            transport.reset()
            self.loop.settle()

        self.assertLess(self.held_bytes(upload), len(BODY))

    def test_a_response_of_a_server(self):
        whole = response(id=b"q1", body=BODY)
        for data in (whole, whole[:-1]):
            pool = ConnectionPool(self.loop.time, 6.0)

            def receive(pool=pool, data=data):
                connection = UpstreamConnection(pool, ("s", 80))
                connection.connection_made(Transport(self.loop, connection))
                connection.send_request([b"GET / HTTP/1.1\r\n\r\n"], b"q1", lambda result: None)
                transport = connection.transport
                transport.receive(data)
                if len(data) < len(whole):
                    transport.reset()
                    self.loop.settle()
                return connection

            self.assertLess(self.held_bytes(receive), len(BODY), len(data))
