"""A process is paused between the decision to send and the send."""

from standins import minion as minion_lib
from tests.common import clocks
from tests.common import wire
from vanillaswitch.protocol import minions
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import sockets


def test_nothing_is_sent_after_a_pause_while_connecting(monkeypatch):
    """A minion that was drained an hour ago gets a new request.

    The minion may get work when it is chosen. While the connection to it is
    made, the process is paused; it goes on with the send as if no time had
    passed. It has to look again first, so the client does not send.
    """
    clock = clocks.ManualClock()
    connect = sockets.connect

    def paused_connect(address, timeout_s):
        connection = connect(address, timeout_s)
        clock.advance(3600.0)
        return connection

    monkeypatch.setattr(sockets, "connect", paused_connect)
    with (
        minion_lib.run_minion() as minion,
        minion_http.open_client(clock) as client,
    ):
        chosen = minions.Minion("m", "berthing", minion.address, "", "", 8, 64)
        checked = wire.request_of()
        outcome = client.send(chosen, checked, 9000.0, fresh=True)
        assert isinstance(outcome, minions.NotSent)
        assert minion.received == 0
