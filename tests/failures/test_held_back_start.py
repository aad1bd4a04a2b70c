"""Starts that a link holds back until after their job was cancelled."""

import contextlib
import json
import time

import gevent
import pytest

from standins import edge_http
from standins import edge_processes
from standins import relays
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import minions
from vanillaswitch.transport import plain_http

SILENT_S = 4.0
"""As long as the longest fault of a soak."""

STOPPED_S = 1.0
"""Time in which the stop of a start that got through late arrives too."""

OK = 200
_TASK_S = 60.0
_WAIT_S = 20.0
_FIRST, _HELD = "1" * 16, "2" * 16
_BODY = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()


class _Orders(edge_http.Observer):
    """Keeps what reaches the instance, in order."""

    def __init__(self):
        self.seen = []

    def received(self, instance, task, order, passage):
        del instance
        if task.job_id == _HELD:
            self.seen.append((order, passage))

    @property
    def starts(self):
        """How starts got through the link."""
        return [item for order, item in self.seen if "start" in order]


@contextlib.contextmanager
def _fleet(folder):
    orders = _Orders()
    outside = edge_http.EdgePlatform(1, _TASK_S, orders)
    outside.rows.write("op", "config", edge_processes.config())
    with (
        relays.run(outside.instances[0].address) as link,
        plain_http.open_client(clocks.SystemClock()) as client,
    ):
        outside.instances[0].put_behind(link)
        with outside.serving():
            edge = edge_processes.Edge(
                "edge-0", folder, outside.address, outside.address
            )
            try:
                _until(lambda: _answer(client, edge.ready, "GET", "/-/ready"))
                yield outside.instances[0].model, link, orders, client, edge
            finally:
                edge.kill()


def _until(holds):
    deadline = time.monotonic() + _WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


def _answer(client, address, method, target, body=b""):
    """Returns the body of an answer, None if there is none or no success."""
    sent = client.call(address, method, target, body, timeout_s=3.0)
    if isinstance(sent, minions.Answered) and sent.answer.status == OK:
        return sent.answer.body
    return None


def _state(client, edge, job_id):
    answer = _answer(client, edge.entry, "GET", f"/q/{job_id}")
    return json.loads(answer)["state"] if answer else ""


def _held(link, order):
    """Returns held blocks that start or stop the held job's task."""
    return [
        block
        for block in link.held
        if order in block.data and _HELD.encode() in block.data
    ]


@pytest.mark.parametrize("first", [b"run-start", b"run-stop"])
@pytest.mark.parametrize("copies", [1, 2])
def test_a_start_held_back_over_a_cancel_does_not_run_on(
    tmp_path, copies, first
):
    """A cancelled task runs on, as its start got through after the cancel.

    Further copies of a start go over new connections.
    """
    with _fleet(tmp_path) as (model, link, orders, client, edge):
        # The owner gives work only to an instance that has answered.
        assert (
            _answer(client, edge.entry, "POST", f"/q/{_FIRST}", _BODY)
            is not None
        )
        _until(lambda: _state(client, edge, _FIRST) == "running")
        began_at = time.monotonic()
        link.harm(relays.Harm.SILENT)
        assert (
            _answer(client, edge.entry, "POST", f"/q/{_HELD}", _BODY)
            is not None
        )
        _until(lambda: len(_held(link, b"run-start")) == copies)
        assert _answer(client, edge.entry, "DELETE", f"/q/{_HELD}") is not None
        cancelled_at = time.monotonic()
        _until(lambda: _held(link, b"run-stop"))
        gevent.sleep(max(0.0, began_at + SILENT_S - time.monotonic()))
        for block in _held(link, first):
            link.release(block)
        _until(lambda: orders.seen)
        link.harm(relays.Harm.NONE)
        _until(lambda: len(orders.starts) == copies)
        gevent.sleep(STOPPED_S)

        late = [item for item in model.started if item[0].job_id == _HELD]
        assert len(late) == (first == b"run-start")
        assert _HELD not in {task.job_id for task in model.running}
        assert all(item.arrived_at < cancelled_at for item in orders.starts)
