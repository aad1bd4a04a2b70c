"""Waiting for the signal that ends a daemon."""

from collections.abc import Callable
import signal

import gevent
import gevent.event


def wait_for_stop() -> None:
    """Blocks the calling task until SIGTERM or SIGINT arrives."""
    stopped = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()


def on_reload(reload: Callable[[], None]) -> None:
    """Calls ``reload`` on each SIGHUP, whose default would end the process."""
    gevent.signal_handler(signal.SIGHUP, reload)
