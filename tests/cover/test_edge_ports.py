"""Ports of the processes that tests and soaks start."""

import subprocess
import sys

import pytest

_NUMBER = 90
"""Id of a process; in other containers another process may have it too."""

_PICK = """
import os, sys
os.getpid = lambda: int(sys.argv[1])
from standins import edge_processes
print(*[edge_processes.free_ports(4) for _ in range(int(sys.argv[2]))])
sys.stdout.flush()
sys.stdin.read()
"""


def _picker(number, times):
    """Starts a process that picks ports and does not bind them."""
    return subprocess.Popen(
        [sys.executable, "-c", _PICK, str(number), str(times)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("other", [_NUMBER, _NUMBER + 1])
def test_processes_that_run_side_by_side_pick_different_ports(other):
    """Two soaks start their processes on the same ports, and half of them end.

    A port is free between its choice and the moment the process listens on it,
    and while a killed process is started again.
    """
    pickers = [_picker(_NUMBER, 30), _picker(other, 30)]
    try:
        first, second = (
            {int(number) for number in picker.stdout.readline().split()}
            for picker in pickers
        )
    finally:
        for picker in pickers:
            picker.communicate()
    assert len(first) == len(second) == 30
    assert not first & second
