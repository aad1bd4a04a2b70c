"""Tests that decoding any document from outside returns a value.

The decoders return ``Unusable`` for damaged documents and never raise.
"""

import base64
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import drawn_documents
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.platform import machines
from vanillaswitch.platform import operator_rows
from vanillaswitch.platform import store_rows
from vanillaswitch.platform import upstreams
from vanillaswitch.platform import validation
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

JOB_PROGRESS = {
    "ended": "",
    "ended_store_ms": 0.0,
    "started": True,
    "done": [],
    "tasks": [[0, 0, 0, "a", 1, "i-1", 0, ""]],
}


def _registration(document):
    return upstreams.decode_registration("i-1", document)


@given(drawn_documents.damaged_documents(drawn_documents.INSTANCE_ROW))
def test_any_instance_row_is_decoded_or_unusable(document):
    found = _registration(document)
    if isinstance(found, unusable.Unusable):
        assert found.reason
        return
    capacity = found.capacity
    assert min(capacity.cpu, capacity.mem_mb, capacity.gpu) >= 0
    assert found.service
    assert all(isinstance(label, str) for label in found.labels)
    host, _, port = found.address.partition(":")
    assert host.count(".") == 3
    assert 0 < int(port) < upstreams.PORT_LIMIT


def test_valid_instance_row_is_decoded():
    found = _registration(drawn_documents.INSTANCE_ROW)
    assert found == fleet.Registration(
        "i-1",
        "berthing",
        "10.128.0.9:8080",
        "zone-1",
        False,
        fleet.Resources(16000, 32768, 0),
        ("a", "r1-3"),
    )
    assert (
        _registration(
            drawn_documents.INSTANCE_ROW | {"new": 1, "remaining_ms": 3}
        )
        == found
    )
    assert _registration(
        drawn_documents.INSTANCE_ROW | {"state": "draining"}
    ).is_draining


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("capacity", "16000"),
        ("capacity", None),
        ("capacity", {"cpu": "16000", "mem_mb": 1, "gpu": 0}),
        ("capacity", {"cpu": None, "mem_mb": 1, "gpu": 0}),
        ("capacity", {"cpu": float("nan"), "mem_mb": 1, "gpu": 0}),
        ("capacity", {"cpu": -1, "mem_mb": 1, "gpu": 0}),
        ("labels", 3),
        ("labels", "ab"),
        ("labels", [1]),
        ("service", None),
        ("service", ["berthing"]),
        ("service", ""),
        ("zone", None),
        ("state", "resting"),
        ("address", "10.0.0.1"),
        ("address", ":80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1:٣"),
        ("slots", "8"),
        ("seq_no", [4]),
        ("born", None),
        ("born", "1796271705000"),
        ("born", 1796271705000.5),
        ("born", True),
    ],
)
def test_wrong_field_of_an_instance_row_is_named(field, value):
    found = _registration(drawn_documents.INSTANCE_ROW | {field: value})
    assert isinstance(found, unusable.Unusable)
    assert field in found.reason


@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "state", "capacity", "labels"]
)
def test_missing_field_of_an_instance_row_is_named(field):
    document = {
        name: drawn_documents.INSTANCE_ROW[name]
        for name in drawn_documents.INSTANCE_ROW
        if name != field
    }
    found = _registration(document)
    assert isinstance(found, unusable.Unusable)
    assert field in found.reason


@given(drawn_documents.damaged_documents(drawn_documents.MACHINE_ENTRY))
def test_any_machine_entry_is_decoded_or_unusable(raw):
    found = machines.decode_machine(raw)
    assert isinstance(found, fleet.Machine | unusable.Unusable)


@given(drawn_documents.damaged_documents(drawn_documents.CONFIG))
def test_any_configuration_is_decoded_or_unusable(document):
    found = operator_rows.decode_config(document)
    assert isinstance(found, fleet.FleetConfig | unusable.Unusable)


def test_valid_configuration_is_decoded():
    found = operator_rows.decode_config(drawn_documents.CONFIG)
    assert found.queues[0].advice == fleet.AdvisorConfig(5, 1, 100)
    assert found.max_body_bytes == 1000
    bare = {"version": 8, "routes": [], "services": [], "limits": None}
    assert operator_rows.decode_config(bare).version == 8


@given(drawn_documents.damaged_documents(drawn_documents.WAVE))
def test_any_wave_is_decoded_or_unusable(document):
    found = operator_rows.decode_wave("wave/1", document)
    assert isinstance(found, fleet.WaveOrder | unusable.Unusable)


@given(drawn_documents.damaged_documents(drawn_documents.STATUS_REPORT))
def test_any_status_report_is_decoded_or_no_answer(body):
    found = upstreams.decode_status_report(
        body if isinstance(body, dict) else {}
    )
    assert isinstance(found, fleet.StatusReport | fleet.NoAnswer)


@pytest.mark.parametrize("born", [None, "17", 17.5, True, [17]])
def test_status_report_with_a_non_integer_born_is_rejected(born):
    assert isinstance(
        upstreams.decode_status_report(
            drawn_documents.STATUS_REPORT | {"born": born}
        ),
        fleet.NoAnswer,
    )


def test_born_is_decoded_and_may_be_missing():
    born = {"born": 1_796_271_705_000}
    assert (
        upstreams.decode_status_report(
            drawn_documents.STATUS_REPORT | born
        ).born_ms
        == born["born"]
    )
    assert (
        _registration(drawn_documents.INSTANCE_ROW | born).born_ms
        == born["born"]
    )
    assert (
        upstreams.decode_status_report(drawn_documents.STATUS_REPORT).born_ms
        is None
    )
    assert _registration(drawn_documents.INSTANCE_ROW).born_ms is None


def test_valid_status_report_is_decoded():
    found = upstreams.decode_status_report(drawn_documents.STATUS_REPORT)
    assert found.running[0].percent == 41
    assert found.ended_runs[0].outcome is fleet.RunOutcome.DONE


@given(
    drawn_documents.damaged_documents(
        job_rows.job_to_row(fleet_builders.job(1))
    )
)
def test_any_job_row_is_decoded_or_unusable(document):
    found = job_rows.row_to_job(document if isinstance(document, dict) else {})
    assert isinstance(found, jobs.Job | unusable.Unusable)


@given(drawn_documents.damaged_documents(JOB_PROGRESS))
def test_any_progress_is_restored_or_rejected(document):
    entry = job_tracker.JobEntry(fleet_builders.job(1), 0.0)
    problem = entry.load_document(
        document if isinstance(document, dict) else {}
    )
    assert problem is None or problem.reason


@given(
    drawn_documents.damaged_documents(
        {"holder": "e", "address": "a:1", "boot": "b"}
    )
)
def test_any_owner_row_has_a_holder_of_type_str(document):
    row = fenced_writer.decode_owner_row(
        document if isinstance(document, dict) else {}
    )
    assert isinstance(row.holder, str)


def test_undecodable_owner_row_has_an_unknown_holder():
    """Guards against two owners that order machines too soon after each other.

    Another writer overwrites the owner's row. If the damaged row meant that
    nobody owns the fleet, the next owner would order machines at once, although
    the previous owner may order some until its next write fails.
    """
    assert fenced_writer.decode_owner_row({}).holder
    assert not fenced_writer.decode_owner_row(
        {"holder": "", "address": "", "boot": "b"}
    ).holder


@given(st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
def test_any_bytes_of_a_row_are_decoded_as_a_change(content):
    raw = {
        "table": "servers",
        "key": "i-1",
        "row_version": 3,
        "value": base64.b64encode(content).decode(),
    }
    change = store_rows.decode_change("servers", raw)
    assert isinstance(change, change_feeds.RowChange)
    assert (change.value is None) == bool(change.read_error)


@given(st.text(max_size=20) | st.none() | st.integers())
def test_any_value_that_is_not_base64_is_decoded_as_a_change(value):
    raw = {"table": "job", "key": "a", "row_version": 3, "value": value}
    change = store_rows.decode_change("job", raw)
    assert (change.value is None) == bool(change.read_error)


def test_deep_nesting_raises_value_error():
    with pytest.raises(ValueError, match="nested"):
        validation.decode_json("[" * 100_000)


def test_removed_row_is_not_damaged():
    raw = {"key": "i-1", "row_version": 3, "removed": True}
    assert store_rows.decode_change("servers", raw) == change_feeds.RowChange(
        "i-1", None, 3
    )


def test_finite_float_rejects_other_values():
    for value in (float("nan"), float("inf"), "3", None, True):
        assert validation.finite_float(value) is None
    assert validation.finite_float(3) == 3.0
    assert json.loads("1e999") == float("inf")
