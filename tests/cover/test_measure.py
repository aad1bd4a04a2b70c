"""What the measurements rely on: logs, sizes, counts and their files."""

import json
import os

from hypothesis import given
from hypothesis import strategies as st

from standins import measure
from standins import measure_rollout
from standins import measurements
from standins import process_stats
from standins import target
from standins import traffic
from vanillaswitch.state import check
from vanillaswitch.state import folder

ENTRY_LINE = (
    "2026-01-02T03:04:05.250Z INFO entry-1 configuration 7 taken from "
    "peer 127.0.0.1:9\n"
)
CONTROLLER_LINE = (
    "2026-01-02 03:04:05,250 INFO c-1 configuration 7 taken from the platform\n"
)


def test_the_logs_of_both_daemons_tell_when_a_configuration_was_taken():
    by_peer = measure_rollout.taken(ENTRY_LINE, 7)
    by_table = measure_rollout.taken(CONTROLLER_LINE, 7)
    assert by_peer.by_peer and not by_table.by_peer
    assert by_peer.wall_s == by_table.wall_s
    assert measure_rollout.taken(ENTRY_LINE, 8) is None


@given(share=st.sampled_from((0.01, 0.1, 0.37, 1.0)))
def test_a_share_of_the_target_is_a_right_configuration(
    tmp_path_factory, share
):
    path = tmp_path_factory.mktemp("target") / "example"
    size = target.scaled(share)
    target.write(size, path)
    config = check.check(folder.read(path / "config"))
    assert sum(pool.workers for pool in config.pools.values()) == size.workers
    listed = target.listings(size)
    assert len(listed) == size.workers + size.minions * size.pools
    assert len({one.instance for one in listed}) == len(listed)


def test_each_call_of_the_platform_is_counted_by_kind_with_its_bytes():
    def application(environ, start_response):  # noqa: ARG001
        start_response("200 OK", [])
        return [b"x" * 100]

    counted = traffic.Traffic(application)
    for name in ("a", "b"):
        path = f"/workers/{name}/renew"
        counted({"PATH_INFO": path, "CONTENT_LENGTH": "50"}, lambda *_: None)
    (page,) = counted({"PATH_INFO": traffic.PATH}, lambda *_: None)
    found = json.loads(page)
    assert found["calls"] == {"/workers/renew": 2}
    assert 300 <= found["bytes"]["/workers/renew"] <= 500


def test_a_measurement_is_written_with_the_commit_that_it_ran_on(tmp_path):
    figures = [measurements.spreads([{"a": 1.0}, {"a": 3.0}, {"a": 2.0}])]
    source = measurements.Source("abc", dirty=True, load=1.5, processors=4)
    path = measurements.write("name", source, figures, tmp_path)
    found = json.loads(path.read_text())
    assert (found["commit"], found["dirty"]) == ("abc", True)
    assert found["figures"] == [{"a": {"low": 1.0, "median": 2.0, "high": 3.0}}]


def test_memory_and_processor_time_of_a_process_can_be_read():
    memory = process_stats.memory(os.getpid())
    assert memory.rss >= memory.anonymous > 0
    assert 0 < memory.pss <= memory.rss


def test_every_module_of_measurements_has_registered():
    assert {"calls", "controllers", "rollout", "steps", "wave"} <= set(
        measurements.MEASUREMENTS.names
    )
    assert measure.MODULES
