"""What a soak tells of processes that never became ready."""

import os
import subprocess
import sys

from soak import standing


class _Edge:
    name = "edge-0"

    def __init__(self, process):
        self.process = process

    @property
    def runs(self):
        return self.process.poll() is None


def test_a_process_that_waits_is_told_with_its_state_and_processor_time():
    child = subprocess.Popen(
        [sys.executable, "-c", "input()"], stdin=subprocess.PIPE
    )
    try:
        told = standing.describe(_Edge(child))
    finally:
        child.kill()
        child.communicate()
    assert told.startswith("edge-0: state ")
    assert " s of processor time" in told
    assert " pages read from the disk" in told


def test_a_process_that_ended_is_told_with_its_exit_code():
    child = subprocess.Popen([sys.executable, "-c", "raise SystemExit(3)"])
    child.wait()
    assert standing.describe(_Edge(child)) == "edge-0: ended with 3"


def test_the_machine_is_told_with_its_load():
    assert standing.machine().startswith("load ")
    assert os.getloadavg()


def test_processes_that_an_earlier_soak_left_are_told():
    child = subprocess.Popen(
        [sys.executable, "-c", "input()"],
        stdin=subprocess.PIPE,
        env={**os.environ, "VANILLASWITCH_SETTINGS": "soak-1/edge-0.conf"},
    )
    try:
        assert child.pid in standing.strangers(())
        assert str(child.pid) in standing.machine()
        assert child.pid not in standing.strangers([_Edge(child)])
    finally:
        child.kill()
        child.communicate()
