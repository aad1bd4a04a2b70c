"""Tests that no answer of an outside system raises an exception here.

Minions, the list of machines, the advisor and the store may answer any JSON
document with any status.
"""

import json

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import clocks
from tests.common import drawn_documents
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.platform import advice
from vanillaswitch.platform import http_table
from vanillaswitch.platform import machines
from vanillaswitch.platform import upstreams
from vanillaswitch.platform import validation
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.protocol import unusable

_TASK = jobs.TaskName("5c0e7a21d94b36f8", 0, 1, 17)
_ORDER = fleet.StartRequest(_TASK, 1, "spec", "", 1, 1000, "")
_TARGET = fleet_builders.registration("i-1")
_STATUSES = st.sampled_from([200, 400, 409, 410, 412, 421, 429, 500, 503])
_RUN = ["5c0e7a21d94b36f8.0.1.17", 2, "00000bb8", 41, 3]
_END = [58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]
_ROW = {"table": "job", "part": "", "key": "a", "row_version": 3, "value": ""}


class _Client:
    """Answers each call with the same status and body."""

    def __init__(self, status, body):
        self._answer = minions.Answered(requests.Answer(status, (), body))

    def call(self, *_):
        return self._answer


_settings = hypothesis.settings(
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@given(
    _STATUSES,
    drawn_documents.damaged_bodies(
        {
            "clock_ms": 482113,
            "born": 1_796_271_705_000,
            "reason": "fence",
            "running": [_RUN],
            "ended": [_END],
        }
    ),
)
@hypothesis.example(200, b'{"clock_ms":' + b"1" * 400 + b"}")
@hypothesis.example(
    200,
    b'{"clock_ms":1,"ended":[[1,"a.0.0.0",1,' + b"[" * 900 + b"]" * 903 + b"}",
)
@_settings
def test_any_answer_of_an_instance_is_an_outcome(status, body):
    """Guards against an instance that gets no work or loses ends for good."""
    client = upstreams.HttpUpstreams(_Client(status, body))
    outcomes = (
        client.start(_TARGET, _ORDER, 1.0, False),
        client.stop(_TARGET, _TASK, 1, 1, 1.0),
        client.set_pace(_TARGET, _TASK, 1, 50, 1),
    )
    for outcome in outcomes:
        clock_ms = getattr(outcome, "clock_ms", None)
        assert clock_ms is None or isinstance(clock_ms, float)
    report = client.renew_lease(_TARGET, 1, 0, 1000, 0.0, 1.0)
    if isinstance(report, fleet.StatusReport):
        for end in report.ended_runs:
            assert 0 <= end.number <= validation.MAX_SAFE_INTEGER
            assert isinstance(end.checkpoint, str)
        scheduler = fleet_builders.new_scheduler()
        scheduler.handle_registration(_TARGET, 0.0)
        scheduler.handle_status_report("i-1", report, 0.0, 0.0)


@given(
    _STATUSES,
    drawn_documents.damaged_bodies(
        {
            "machines": [drawn_documents.MACHINE_ENTRY],
            "next_token": "",
            "reason": "",
        }
    ),
)
@hypothesis.example(200, b'{"machines":[],"next_token":[1]}')
@hypothesis.example(200, b'{"machines":[],"next_token":"\\ud800"}')
@_settings
def test_any_answer_about_machines_is_an_outcome(status, body):
    client = machines.HttpMachines(_Client(status, body), "10.0.0.1:80", "e-1")
    for _ in range(2):
        listed = client.list()
        assert isinstance(listed, list | fleet.NoAnswer)
    client.move("m-1", "berthing", 1)
    client.maintain("m-1", 1, 1)


def test_a_list_of_machines_without_an_end_is_no_answer():
    """Guards against an owner that reads the same page for good."""
    body = json.dumps({"machines": [], "next_token": "again"}).encode()
    client = machines.HttpMachines(_Client(200, body), "10.0.0.1:80", "e-1")
    assert isinstance(client.list(), fleet.NoAnswer)


@given(
    _STATUSES,
    drawn_documents.damaged_bodies(
        {"good": [["i-1", "t-1"]], "validity_ms": 5000}
    ),
)
@hypothesis.example(200, b'{"good":[5]}')
@_settings
def test_any_answer_of_the_advisor_is_an_outcome(status, body):
    advisor = advice.HttpAdvisor(_Client(status, body), "10.0.0.1:80")
    outcome = advisor.request_tickets("a.0.1", ["i-1"], 1.0, False)
    if isinstance(outcome, fleet.Tickets):
        for name, ticket in outcome.by_instance.items():
            assert isinstance(name, str)
            assert isinstance(ticket, str)


@given(
    _STATUSES,
    drawn_documents.damaged_bodies(
        {"rows": [_ROW], "row_version": 3, "now_ms": 17, "parts": [""]}
    ),
)
@hypothesis.example(200, b'{"rows":[{"key":"\\ud800"}],"row_version":1}')
@hypothesis.example(412, b'{"rows":[5]}')
@_settings
def test_any_answer_of_the_store_is_an_outcome(status, body):
    clock_readings = []
    table = http_table.HttpTable(
        _Client(status, body),
        "10.0.0.1:80",
        clocks.ManualClock(),
        clock_readings.append,
    )
    read = table.read(["job/a"])
    assert isinstance(read, platform.Rows | platform.Unavailable)
    assert isinstance(table.scan("job/"), platform.Rows | platform.Unavailable)
    snapshot = table.snapshot("op")
    assert isinstance(snapshot, change_feeds.Snapshot | platform.Unavailable)
    table.changes("op", 1, 0.0)
    transaction = fleet_builders.insertion("job/a", {"spec": "text"})
    table.commit(transaction)
    assert all(isinstance(reading, float) for reading in clock_readings)


def test_a_row_of_a_ticket_may_have_further_fields():
    body = b'{"good":[["i-1","t-1",3]],"validity_ms":5000}'
    advisor = advice.HttpAdvisor(_Client(200, body), "10.0.0.1:80")
    outcome = advisor.request_tickets("a.0.1", ["i-1"], 1.0, False)
    assert outcome == fleet.Tickets({"i-1": "t-1"}, 5.0)


@pytest.mark.parametrize("name", ["i\r\nX-Lease-Holder: e", "\u65e5", "\ud800"])
def test_a_key_that_fits_into_no_header_field_names_no_instance(name):
    """Guards against calls that raise, or send a field of another's choice."""
    found = upstreams.decode_registration(name, drawn_documents.INSTANCE_ROW)
    assert isinstance(found, unusable.Unusable)


class _Upstreams:
    """An instance whose status reports can't be read."""

    def renew_lease(self, *_):
        return fleet.NoAnswer(True, "the status report is invalid")


def test_unreadable_reports_of_an_instance_are_logged_once(monkeypatch):
    """Guards against a line in the log for each call to an odd instance."""
    lines = []
    monkeypatch.setattr(
        instance_client.logs, "warning", lambda *line: lines.append(line)
    )
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    instance = scheduler.instances["i-1"]
    clock = clocks.ManualClock()

    class _Writer:
        token = 1
        last_write_sent_at = 0.0

    context = instance_client.CallContext(
        scheduler, _Upstreams(), _Writer(), clock, None
    )
    client = instance_client.InstanceClient(context, "i-1")
    for again in (False, True, True, True):
        assert not client._renew_lease(instance, again)
    assert len(lines) == 1


@pytest.mark.parametrize("number", [2**53 + 1, 10**400, -1, 1.0, "1", None])
def test_a_report_with_an_impossible_number_of_an_end_is_no_answer(number):
    """Guards against an owner that passes over all later ends.

    An end whose number is larger than that of all others counted as the newest.
    The jobs of the instance were then never completed.
    """
    body = drawn_documents.STATUS_REPORT | {"ended": [[number, *_END[1:]]]}
    assert isinstance(upstreams.decode_status_report(body), fleet.NoAnswer)
