"""Where a process stands that does not do what it should.

A process that never became ready leaves an empty log. What the kernel tells of
it says whether it waits, for what, or never had a processor or memory; what
it tells of others, whether the machine's processors were theirs or stolen from
it, and whether a process that an earlier soak left may meddle with this one.
"""

from collections.abc import Iterable
import os
import pathlib

from standins import edge_processes

_PROC = pathlib.Path("/proc")

_SETTINGS = "VANILLASWITCH_SETTINGS"
_PLATFORM_SETTINGS = "/etc/vanillaswitch/settings.conf"

MAX_NAMED = 40
"""Most other processes that a line names."""

_STATE = 0
_PAGES_READ = 9
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_START_TICKS = 19
"""Fields of /proc/PID/stat behind the name, see proc(5)."""


def describe(edge: edge_processes.Edge) -> str:
    """Returns a process's state, processor time, and what it waits in."""
    if not edge.runs:
        return f"{edge.name}: ended with {edge.process.returncode}"
    folder = _PROC / str(edge.process.pid)
    fields = _read(folder / "stat").rpartition(")")[2].split()
    if len(fields) <= _START_TICKS:
        return f"{edge.name}: nothing is known"
    used_s = _seconds(fields[_USER_TICKS]) + _seconds(fields[_SYSTEM_TICKS])
    up_s = float(_read(_PROC / "uptime").split()[0])
    waits = _read(folder / "wchan") or "?"
    return (
        f"{edge.name}: state {fields[_STATE]}, {used_s:.1f} s of processor"
        f" time in {up_s - _seconds(fields[_START_TICKS]):.1f} s,"
        f" {fields[_PAGES_READ]} pages read from the disk, waits in {waits}"
    )


def _seconds(ticks: str) -> float:
    return int(ticks) / os.sysconf("SC_CLK_TCK")


def strangers(own: Iterable[edge_processes.Edge]) -> list[int]:
    """Returns ids of processes that another soak or a test started.

    Those that the users' platform starts read its one settings file, and
    reach nothing outside their own network.
    """
    ids = {str(edge.process.pid) for edge in own}
    return sorted(
        int(entry.name)
        for entry in _PROC.iterdir()
        if entry.name.isdigit()
        and entry.name not in ids
        and _has_own_settings(entry)
    )


def _has_own_settings(process: pathlib.Path) -> bool:
    for line in _read(process / "environ").split("\0"):
        name, _, value = line.partition("=")
        if name == _SETTINGS:
            return value != _PLATFORM_SETTINGS
    return False


def machine(own: Iterable[edge_processes.Edge] = ()) -> str:
    """Returns the load of the machine, the memory left, and what else runs.

    Args:
        own: processes that are expected to run.
    """
    loads = "/".join(f"{load:.1f}" for load in os.getloadavg())
    left = [
        line
        for line in _read(_PROC / "meminfo").splitlines()
        if line.startswith("MemAvailable")
    ]
    pressure = _read(_PROC / "pressure" / "cpu").splitlines()[:1]
    processors = _read(_PROC / "stat").splitlines()[:1]
    others = strangers(own)
    named = others[:MAX_NAMED]
    return (
        f"load {loads}; {' '.join(left)}; waits for a processor: {pressure};"
        f" {processors}; {len(others)} other processes of ours: {named}"
    )


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        return f"({error})"
