"""Waiting for the signal that ends a daemon, and ending in time."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import gc
import os
import pathlib
import signal
import traceback

import gevent
import gevent.event
import greenlet

from vanillaswitch.internal import logs

_PACKAGE = pathlib.Path(__file__).parent.parent.name

_MAX_PLACES = 12
"""Places named in the line of a stop that takes too long: some 60 bytes each,
and the tasks that hold up a stop are few kinds."""


def wait_for_stop() -> None:
    """Blocks the calling task until SIGTERM or SIGINT arrives."""
    stopped = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()


def on_reload(reload: Callable[[], None]) -> None:
    """Calls ``reload`` on each SIGHUP, whose default would end the process."""
    gevent.signal_handler(signal.SIGHUP, reload)


@contextlib.contextmanager
def ending_within(limit_s: float, exit_code: int) -> Iterator[None]:
    """Ends the process if the block is not left in time.

    Guards against a part that waits for good while it is shut down. It shows
    as a process that is there until the platform kills it, with nothing in
    its log. So one line tells what its tasks wait for, and the process ends,
    whatever they hold on to.

    Args:
        limit_s: seconds that the block may take.
        exit_code: what the process ends with after that.
    """
    guard = gevent.spawn_later(limit_s, _give_up, limit_s, exit_code)
    try:
        yield
    finally:
        guard.kill()


def _give_up(limit_s: float, exit_code: int) -> None:
    logs.error("the stop takes over {} s; tasks wait at: {}", limit_s, _waits())
    logs.flush()
    os._exit(exit_code)


def _waits() -> str:
    """Returns where tasks stand, the most common places first."""
    places = collections.Counter(
        _place(item)
        for item in gc.get_objects()
        if isinstance(item, greenlet.greenlet) and item.gr_frame is not None
    )
    return ", ".join(
        f"{place} ({count})" for place, count in places.most_common(_MAX_PLACES)
    )


def _place(task: greenlet.greenlet) -> str:
    """Returns the innermost line of ours that a task stands at."""
    frames = traceback.extract_stack(task.gr_frame)
    ours = [frame for frame in frames if _PACKAGE in frame.filename]
    frame = (ours or frames)[-1]
    return f"{pathlib.Path(frame.filename).name}:{frame.lineno} {frame.name}"
