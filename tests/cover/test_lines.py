"""Lines of the log: bounded, typed, and never in the way."""

import dataclasses
import fcntl
import json
import os

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import telemetry
from vanillaswitch.internal import lines


def _pipe():
    reader, writer = os.pipe()
    return reader, lines.Lines(writer, "edge-1")


def _piece(reader):
    try:
        return os.read(reader, 4096)
    except BlockingIOError:
        return b""


def _read(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_an_event_is_one_line_of_json():
    reader, written = _pipe()
    written.write("job-ended", {"job": "ab"})
    written.flush()
    (line,) = _read(reader)
    assert line["process"] == "edge-1"
    assert line["event"] == "job-ended"
    assert line["job"] == "ab"


def test_a_storm_of_one_kind_leaves_room_for_others_and_is_counted(
    monkeypatch,
):
    now = [100.0]
    monkeypatch.setattr(lines.time, "time", lambda: now[0])
    reader, written = _pipe()
    for _ in range(lines.BUDGET_PER_S + 5):
        written.write("storm", {})
    written.write("other", {})
    assert written.left_out == {"storm": 5}
    now[0] = 101.0
    written.write("other", {})
    written.flush()
    read = _read(reader)
    kinds = [line["event"] for line in read]
    assert kinds.count("storm") == lines.BUDGET_PER_S
    assert kinds.count("other") == 2
    told = [line for line in read if line["event"] == "lines-left-out"]
    assert told[0]["by_kind"] == {"storm": 5}


def test_a_reader_that_stops_reading_costs_lines_and_no_time(monkeypatch):
    """All clients hang when whoever collects our output stops reading.

    The pipe fills up and a write into it would block the whole process.
    """
    now = [100.0]
    monkeypatch.setattr(lines.time, "time", lambda: now[0])
    reader, written = _pipe()
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, 4096)
    for second in range(200):
        now[0] = 100.0 + second
        for number in range(lines.BUDGET_PER_S):
            written.write(f"kind-{number % 3}", {"text": "x" * 100})
        written.flush()
    assert written.left_out
    text = b""
    os.set_blocking(reader, False)
    while piece := _piece(reader):
        text += piece
        written.flush()
    whole = text.splitlines()[:-1]
    assert len(whole) > 1000
    assert all(json.loads(line) for line in whole)


def test_an_output_that_was_closed_ends_nothing():
    reader, written = _pipe()
    os.close(reader)
    written.write("job-ended", {})
    written.flush()


def test_events_are_counted_by_outcome_and_measured_by_queue():
    seen = []
    told = telemetry.Telemetry(seen.append)
    told.emit(events.HandedIn("ab", "quotes", "accepted", 3, 12))
    told.emit(events.JobEnded("ab", "quotes", "completed", 900, "done"))
    told.emit(events.ConfigInForce(3, 8))
    assert len(seen) == 3
    assert told.counters.snapshot() == {
        "HandedIn.accepted": 1,
        "JobEnded.completed": 1,
        "ConfigInForce": 1,
    }
    summary = told.latencies["job"].summaries()["quotes"]
    assert 890_000 <= summary.p50_us <= 910_000


def test_every_event_is_a_frozen_data_class():
    kinds = [
        kind
        for kind in vars(events).values()
        if isinstance(kind, type) and kind.__module__ == events.__name__
    ]
    assert len(kinds) > 10
    for kind in kinds:
        assert dataclasses.is_dataclass(kind)
        assert kind.__dataclass_params__.frozen
