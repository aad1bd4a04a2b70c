"""Where a process stands that does not do what it should.

A process that never became ready leaves an empty log. What the kernel tells of
it says whether it waits, for what, or never had a processor or memory.
"""

import os
import pathlib

from standins import edge_processes

_PROC = pathlib.Path("/proc")

_STATE = 0
_USER_TICKS = 11
_SYSTEM_TICKS = 12
"""Fields of /proc/PID/stat behind the name, see proc(5)."""


def describe(edge: edge_processes.Edge) -> str:
    """Returns a process's state, processor time, and what it waits in."""
    if not edge.runs:
        return f"{edge.name}: ended with {edge.process.returncode}"
    folder = _PROC / str(edge.process.pid)
    fields = _read(folder / "stat").rpartition(")")[2].split()
    if len(fields) <= _SYSTEM_TICKS:
        return f"{edge.name}: nothing is known"
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    used_s = ticks / os.sysconf("SC_CLK_TCK")
    waits = _read(folder / "wchan") or "?"
    return (
        f"{edge.name}: state {fields[_STATE]}, {used_s:.1f} s of processor"
        f" time, waits in {waits}"
    )


def machine() -> str:
    """Returns the load of the machine and the memory that is left."""
    loads = "/".join(f"{load:.1f}" for load in os.getloadavg())
    left = [
        line
        for line in _read(_PROC / "meminfo").splitlines()
        if line.startswith("MemAvailable")
    ]
    return f"load {loads}; {' '.join(left)}"


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        return f"({error})"
