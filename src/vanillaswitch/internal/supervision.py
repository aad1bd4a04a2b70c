"""Background tasks whose errors are not lost."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import gevent


@contextlib.contextmanager
def running(*runs: Callable[[], None]) -> Iterator[list[gevent.Greenlet]]:
    """Runs tasks until the block is left.

    A task that ends by an error is a broken invariant: it is raised in the
    task that opened the block, so that the process stops instead of going on
    without one of its parts.
    """
    opener = gevent.getcurrent()
    spawned = [gevent.spawn(run) for run in runs]
    for task in spawned:
        task.link_exception(lambda task: gevent.kill(opener, task.exception))
    try:
        yield spawned
    finally:
        gevent.killall(spawned)
