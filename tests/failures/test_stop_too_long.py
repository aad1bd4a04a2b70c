"""A stop that does not come to its end."""

import subprocess
import sys

from vanillaswitch.cli import exits

_STUCK = f"""
import gevent
from vanillaswitch.internal import lifecycle
with lifecycle.ending_within(0.2, {exits.BROKEN}):
    gevent.sleep(60)
"""
_IN_TIME = f"""
import gevent
from vanillaswitch.internal import lifecycle
with lifecycle.ending_within(0.2, {exits.BROKEN}):
    gevent.sleep(0.01)
gevent.sleep(0.4)
"""


def _run(folder, program):
    source = folder / "vanillaswitch_program.py"
    source.write_text(program)
    return subprocess.run(
        [sys.executable, str(source)],
        check=False,
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_a_stop_that_takes_too_long_says_what_it_waits_for_and_ends(
    tmp_path,
):
    """A process is killed at the end of its grace time and nobody knows why.

    It was told to stop, and one of its parts waited for good while it was
    shut down. Nothing stood in its log.
    """
    ended = _run(tmp_path, _STUCK)
    assert ended.returncode == exits.BROKEN
    lines = ended.stderr.splitlines()
    assert len(lines) == 1
    assert "vanillaswitch_program.py:5 <module>" in lines[0]


def test_a_stop_in_time_is_left_alone(tmp_path):
    ended = _run(tmp_path, _IN_TIME)
    assert ended.returncode == 0
    assert ended.stderr == ""
