"""What a soak tells of processes that never became ready."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
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


@contextlib.contextmanager
def _waiting_child(
    variables: Mapping[str, str],
) -> Iterator[subprocess.Popen[str]]:
    """Yields a process that runs its program and waits for input.

    `Popen` returns while the kernel still replaces the child's program; until
    that is over, /proc/PID/environ is empty.

    Args:
        variables: environment variables on top of this process's own.
    """
    child = subprocess.Popen(
        [sys.executable, "-c", "print('runs', flush=True); input()"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, **variables},
    )
    try:
        assert child.stdout is not None
        assert child.stdout.readline() == "runs\n"
        yield child
    finally:
        child.kill()
        child.communicate()


def test_a_process_that_waits_is_told_with_its_state_and_processor_time():
    with _waiting_child({}) as child:
        told = standing.describe(_Edge(child))
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
    settings = {"VANILLASWITCH_SETTINGS": "soak-1/edge-0.conf"}
    with _waiting_child(settings) as child:
        assert child.pid in standing.strangers(())
        assert str(child.pid) in standing.machine()
        assert child.pid not in standing.strangers([_Edge(child)])
