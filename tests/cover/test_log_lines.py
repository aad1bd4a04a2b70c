"""The log: limited, typed and non-blocking."""

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


def _read_chunk(reader):
    try:
        return os.read(reader, 4096)
    except BlockingIOError:
        return b""


def _read(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_an_event_is_one_line_of_json():
    reader, log = _pipe()
    log.write("job-ended", {"job": "ab"})
    log.flush()
    (line,) = _read(reader)
    assert line["process"] == "edge-1"
    assert line["event"] == "job-ended"
    assert line["job"] == "ab"


def test_excess_lines_of_one_kind_are_dropped_and_counted(
    monkeypatch,
):
    now = [100.0]
    monkeypatch.setattr(lines.time, "time", lambda: now[0])
    reader, log = _pipe()
    for _ in range(lines.BUDGET_PER_S + 5):
        log.write("storm", {})
    log.write("other", {})
    assert log.left_out == {"storm": 5}
    now[0] = 101.0
    log.write("other", {})
    log.flush()
    read = _read(reader)
    kinds = [line["event"] for line in read]
    assert kinds.count("storm") == lines.BUDGET_PER_S
    assert kinds.count("other") == 2
    dropped = [line for line in read if line["event"] == "lines-left-out"]
    assert dropped[0]["by_kind"] == {"storm": 5}


def test_writing_does_not_block_when_the_log_reader_stops(monkeypatch):
    """Guards against a process that blocks for all its clients.

    The log collector stops reading, the pipe fills up, and a blocking write
    would stop the whole process.
    """
    now = [100.0]
    monkeypatch.setattr(lines.time, "time", lambda: now[0])
    reader, log = _pipe()
    fcntl.fcntl(reader, fcntl.F_SETPIPE_SZ, 4096)
    for second in range(200):
        now[0] = 100.0 + second
        for number in range(lines.BUDGET_PER_S):
            log.write(f"kind-{number % 3}", {"text": "x" * 100})
        log.flush()
    assert log.left_out
    text = b""
    os.set_blocking(reader, False)
    while chunk := _read_chunk(reader):
        text += chunk
        log.flush()
    complete = text.splitlines()[:-1]
    assert len(complete) > 1000
    assert all(json.loads(line) for line in complete)


def test_a_closed_output_does_not_raise():
    reader, log = _pipe()
    os.close(reader)
    log.write("job-ended", {})
    log.flush()


def test_events_are_counted_by_outcome_and_measured_by_queue():
    logged = []
    sink = telemetry.Telemetry(logged.append)
    sink.emit(events.HandedIn("ab", "quotes", "accepted", 3, 12))
    sink.emit(events.JobEnded("ab", "quotes", "completed", 900, "done"))
    sink.emit(events.ConfigInForce(3, 8))
    assert len(logged) == 3
    assert sink.counters.snapshot() == {
        "HandedIn.accepted": 1,
        "JobEnded.completed": 1,
        "ConfigInForce": 1,
    }
    summary = sink.latencies["job"].summaries()["quotes"]
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
