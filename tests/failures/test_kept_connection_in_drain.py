"""A kept connection that is in use when its entry shuts down."""

import gevent
import gevent.socket

from standins import raw_http
from tests.common import clocks
from tests.common import wire
from vanillaswitch.protocol import requests
from vanillaswitch.transport import caller_http
from vanillaswitch.transport import sockets

GET = b"GET /berthing/quotes HTTP/1.1\r\nHost: h\r\n\r\n"


def answer(_incoming):
    return requests.Answer(200, (), b"quote")


def test_the_next_request_of_a_busy_connection_is_refused_and_not_reset():
    """A clerk's next quote leaves in the moment in which the entry closes.

    Her connection was used a moment ago and is quiet when the drain begins.
    Closed then, it would reset the request on its way, and she could not know
    that it was not run. The balancer is told to close its own as well, so
    that its questions hold up nothing; an idle one is closed in the end.
    """
    clock = clocks.ManualClock()
    with caller_http.serve(
        "127.0.0.1:0", answer, wire.PAGES, clock, lambda: 1000
    ) as server:
        busy = sockets.connect(server.address, wire.LONG_S)
        polled = sockets.connect(server.address, wire.LONG_S)
        idle = sockets.connect(server.address, wire.LONG_S)
        for connection in (idle, busy, polled):
            connection.sendall(GET)
            raw_http.read_message(connection)
        drain = gevent.spawn(server.drain, wire.LONG_S)
        while not server.draining:
            gevent.sleep(0)
        gevent.idle()
        assert not drain.ready()
        busy.sendall(GET)
        assert b"leaving" in raw_http.read_all(busy)
        polled.sendall(b"GET /_/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"draining" in raw_http.read_all(polled)
        clock.advance(caller_http.QUIET_S)
        assert drain.get(timeout=wire.LONG_S)
        for connection in (busy, idle, polled):
            connection.close()
