"""Lines to standard output that never hold up the process.

The failure guarded against: whoever reads our output stops reading, the pipe
fills up, and a process that writes to it stands still with all its clients.
So lines are written without blocking, what does not fit is left out, and what
was left out is counted and said as soon as there is room again.

Each kind of line has a budget, so that a storm of one kind costs neither much
processor time nor the lines of other kinds.
"""

from collections.abc import Mapping
import json
import os
import time
from typing import Any

BUDGET_PER_S = 60
"""Lines of one kind in a second. At some 250 bytes a line and 20 kinds that
bounds a process to 300 KB a second; one in full swing writes 20 KB."""

FLUSH_BYTES = 8_192
"""Text is gathered up to this size: a call of the kernel for each line costs
more than the line."""

MAX_BUFFER_BYTES = 262_144
"""Text that waits for a reader; more is left out."""


class Lines:
    """JSON lines on one file descriptor."""

    def __init__(self, descriptor: int, process: str):
        """Makes a writer and sets the descriptor not to block.

        Args:
            descriptor: where to write.
            process: name in each line.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._process = process
        self._buffer = bytearray()
        self._second = 0
        self._spent: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    @property
    def left_out(self) -> dict[str, int]:
        """Lines that were left out and not yet told of, by kind."""
        return dict(self._left_out)

    def write(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Adds a line; leaves it out when its budget is used up."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._spent.clear()
            self._tell_left_out(now)
        spent = self._spent.get(kind, 0)
        if spent >= BUDGET_PER_S or len(self._buffer) > MAX_BUFFER_BYTES:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return
        self._spent[kind] = spent + 1
        self._add(now, kind, fields)
        if len(self._buffer) >= FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes; the rest waits."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _tell_left_out(self, now: float) -> None:
        if self._left_out and len(self._buffer) <= MAX_BUFFER_BYTES:
            left_out, self._left_out = self._left_out, {}
            self._add(now, "lines-left-out", {"by_kind": left_out})

    def _add(self, now: float, kind: str, fields: Mapping[str, Any]) -> None:
        record = {
            "at": round(now, 4),
            "process": self._process,
            "event": kind,
            **fields,
        }
        self._buffer += json.dumps(record, separators=(",", ":")).encode()
        self._buffer += b"\n"
