"""A process that is told to stop while it takes the fleet over."""

import signal
import time

import gevent

from soak import standing
from standins import edge_http
from standins import edge_processes
from tests.common import ownership_terms
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import platform
from vanillaswitch.transport import plain_http

_WAIT_S = 20.0


class _SilentAfterTakeOver:
    """Accepts the first commit and answers no later one."""

    def __init__(self):
        self.commits = 0

    def commit(self, transaction):
        del transaction
        self.commits += 1
        if self.commits == 1:
            return platform.Committed(1)
        return platform.OutcomeUnknown("no answer")


class _SilentFeed:
    """Answers no read."""

    def snapshot(self, table, parts=()):
        del table, parts
        gevent.sleep(60)
        return platform.Unavailable("no answer")


def _loading_owner():
    return ownership_terms.begin_term(
        _SilentAfterTakeOver(), _SilentFeed(), clocks.SystemClock()
    )


def test_loading_rows_can_be_aborted_while_the_store_is_silent():
    """Guards against a process that does not stop until it is killed.

    It has just become the owner and loads the rows when the store falls silent.
    On shutdown it waited for the write that renews its lease, which is retried
    until the store answers.
    """
    loading = gevent.spawn(_loading_owner().load)
    gevent.sleep(0.2)
    loading.kill(timeout=2.0)
    assert loading.dead


def _wait_until(condition, edge):
    deadline = time.monotonic() + _WAIT_S
    while not condition():
        late = time.monotonic() >= deadline
        assert not late, f"{standing.describe(edge)}; {standing.machine()}"
        gevent.sleep(0.05)


def _is_ready(client, edge):
    sent = client.call(edge.ready, "GET", "/-/ready", b"", timeout_s=3.0)
    return isinstance(sent, minions.Answered) and sent.answer.status == 200


def test_a_process_stops_in_time_although_the_store_is_silent(tmp_path):
    """The same with a real process.

    The table of jobs is partly unavailable, so that the owner keeps loading it.
    Then the store answers nothing any more, and the process is told to stop.
    """
    outside = edge_http.EdgePlatform(1, 0.1)
    outside.rows.write("op", "config", edge_processes.config())
    outside.rows.parts_away = {f"vanillaswitch-{part}" for part in range(8)}
    with (
        outside.serving(),
        plain_http.open_client(clocks.SystemClock()) as client,
    ):
        edge = edge_processes.Edge(
            "edge-1", tmp_path, outside.address, outside.address
        )
        try:
            _wait_until(lambda: _is_ready(client, edge), edge)
            _wait_until(lambda: outside.rows.owner() == "edge-1", edge)
            outside.silent = True
            edge.send(signal.SIGTERM)
            _wait_until(lambda: not edge.runs, edge)
            assert edge.process.returncode == 0
        finally:
            edge.kill()
