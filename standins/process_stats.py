"""Reads what a process uses from ``/proc``."""

import dataclasses
import os
import pathlib

_TICKS = os.sysconf("SC_CLK_TCK")
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclasses.dataclass(frozen=True)
class Memory:
    """Resident memory of a process in KiB.

    Attributes:
        rss: all pages.
        anonymous: its own pages, state and heap.
        file: pages of programs and libraries, shared where others map them.
        pss: all pages, each divided by the number of processes that map it.
    """

    rss: int
    anonymous: int
    file: int
    pss: int


def memory(pid: int) -> Memory:
    """Returns the resident memory of a process."""
    status = _fields(pid, "status")
    return Memory(
        status["VmRSS"],
        status["RssAnon"],
        status["RssFile"],
        _fields(pid, "smaps_rollup")["Pss"],
    )


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, to 10 ms."""
    line = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = line.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS


def _fields(pid: int, name: str) -> dict[str, int]:
    found = {}
    for line in pathlib.Path(f"/proc/{pid}/{name}").read_text().splitlines():
        key, _, rest = line.partition(":")
        parts = rest.split()
        if len(parts) == 2 and parts[1] == "kB":
            found[key] = int(parts[0])
    return found
