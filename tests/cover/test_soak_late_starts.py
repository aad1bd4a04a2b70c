"""Which starts after a cancel the soak counts as broken promises."""

import contextlib
import json
import time

import gevent
import pytest

from soak import clients
from soak import promises as promise_lib
from standins import edge_http
from standins import relays
from vanillaswitch.internal import clock as clocks
from vanillaswitch.transport import plain_http

_JOB = clients.parse(clients.BODIES[0], "1" * 16)
_WAIT_S = 20.0
_TASK_S = 60.0
_CANCELLED_AT = 10.0
_LATE = _CANCELLED_AT + promise_lib.CANCEL_S + 1.0


class _Link:
    """An instance behind a link; both go by a clock that the test moves."""

    def __init__(self):
        self.clock = promise_lib.Clock()
        self.promises = promise_lib.Promises(self.clock)
        self.record = promise_lib.JobRecord(_JOB, accepted_at=0.0)
        self.promises.records[_JOB.job_id] = self.record
        self.outside = edge_http.EdgePlatform(1, _TASK_S, self.promises)
        self.instance = self.outside.instances[0]
        self.promises.watch(self.instance.model)

    @contextlib.contextmanager
    def serving(self):
        with (
            relays.run(self.instance.address, lambda: self.clock.now) as relay,
            plain_http.open_client(clocks.SystemClock()) as client,
        ):
            self.relay = relay
            self.client = client
            self.instance.put_behind(relay)
            with self.outside.serving():
                yield

    def send_start(self, at):
        """Sends a start; its sender does not wait for an answer."""
        self.clock.now = at
        body = {
            "task": f"{_JOB.job_id}.0.0.0",
            "run": 1,
            "spec": _JOB.spec,
            "fence_token": 1,
            "deadline_ms": 60_000,
        }
        gevent.spawn(
            self.client.call,
            self.relay.address,
            "POST",
            "/-/run-start",
            json.dumps(body).encode(),
            (("X-Target-Instance", "i-0"),),
        )

    def hold_start(self, at):
        """Sends a start that the link holds back from now on."""
        self.relay.harm(relays.Harm.SILENT)
        self.send_start(at)
        _until(lambda: self.relay.held)

    def heal(self, at):
        """Lets the start through."""
        self.clock.now = at
        self.relay.harm(relays.Harm.NONE)
        _until(lambda: self.instance.model.started)


def _until(holds):
    deadline = time.monotonic() + _WAIT_S
    while not holds():
        assert time.monotonic() < deadline
        gevent.sleep(0.01)


def _kinds(promises):
    return [line.split()[2].rstrip(":") for line in promises.broken]


@pytest.mark.parametrize(
    ("sent_at", "kinds"),
    [
        (_CANCELLED_AT - 1.0, []),
        (_CANCELLED_AT, ["cancel"]),
        (_CANCELLED_AT + 1.0, ["cancel"]),
    ],
)
def test_only_a_start_sent_before_the_cancel_may_be_held_back(sent_at, kinds):
    """The soak passes over a start that a machine sent after the cancel."""
    link = _Link()
    with link.serving():
        link.hold_start(sent_at)
        link.record.cancelled_at = _CANCELLED_AT
        link.heal(_LATE)
    assert _kinds(link.promises) == kinds


def test_a_late_start_that_no_link_held_back_is_found():
    """The soak passes over a late start because links are harmed at times."""
    link = _Link()
    with link.serving():
        link.record.cancelled_at = _CANCELLED_AT
        link.send_start(_LATE)
        _until(lambda: link.instance.model.started)
    assert _kinds(link.promises) == ["cancel"]


def test_a_late_start_is_told_with_how_its_orders_came():
    """Nothing shows whether a machine or a link was late with a start."""
    link = _Link()
    with link.serving():
        link.record.cancelled_at = _CANCELLED_AT
        link.hold_start(_CANCELLED_AT + 1.0)
        link.heal(_LATE)
    (told,) = link.promises.broken
    assert "run-start 1 on i-0 at 14.00, sent 11.00, passed 14.00" in told
