"""A broken invariant ends a daemon instead of going on unseen."""

import contextlib
import json

import click.testing
import gevent
import gevent.event
import geventhttpclient
import pytest

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.coordination.entry import fleet_refresher
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import request_handler
from vanillaswitch.daemons import entry as daemon
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.protocol import requests
from vanillaswitch.wiring import entry as wiring

HANG_S = 60.0
"""Guards against a hang; no verdict depends on it."""


@pytest.fixture
def started(monkeypatch):
    """Gets the running entry; its requests all break an invariant."""
    found = gevent.event.AsyncResult()
    run = wiring.run

    @contextlib.contextmanager
    def recorded(settings):
        with run(settings) as running:
            found.set(running)
            yield running

    def broken(_path, _incoming):
        raise errors.InvariantError("a claim is settled twice")

    monkeypatch.setattr(wiring, "run", recorded)
    monkeypatch.setattr(request_handler.RequestHandler, "handle", broken)
    stop = gevent.event.Event()
    monkeypatch.setattr(lifecycle, "wait_for_stop", stop.wait)
    monkeypatch.setattr(logs, "_write", logs._write)
    return found


def _ask(started):
    host, _, port = started.get().address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    response = client.request("GET", "/berthing/quotes")
    return response.status_code, response[requests.HEADER_OUTCOME]


def test_a_broken_invariant_in_a_request_ends_the_entry(started, tmp_path):
    """A clerk's charge meets state that must never be.

    The clerk is told that nobody knows whether it ran. The web server turned
    the error into that answer and the entry went on with broken state, so
    that the next clerk could get a wrong answer. The balancer never noticed.
    """
    settings = tmp_path / "entry.json"
    addresses = dict.fromkeys(("listen", "peer_listen"), "127.0.0.1:0")
    who = {"process": "entry-1", "data_centre": "a", "platform": "127.0.0.1:1"}
    settings.write_text(json.dumps(who | addresses))
    asking = gevent.spawn(_ask, started)
    with gevent.Timeout(HANG_S, AssertionError("the entry goes on")):
        ended = click.testing.CliRunner().invoke(
            daemon.command, [str(settings)]
        )
    assert asking.get(timeout=HANG_S) == (500, requests.Outcome.UNKNOWN)
    assert ended.exit_code == exits.BROKEN
    assert "ERROR entry-1 " in ended.output
    assert "a claim is settled twice" in ended.output


class _Broken:
    """A list of instances whose answer must never be."""

    def list(self):
        """Breaks an invariant."""
        raise errors.InvariantError("the platform refuses the call")


def test_a_poll_of_the_fleet_that_breaks_ends_the_process():
    """An entry sends to a minion that was drained minutes ago.

    A poll of the list met an error and its task ended without a word. The
    entry went on with the view of that moment for as long as it lived.
    """
    clock = clocks.SystemClock()
    view = fleet_view.FleetView()
    task = fleet_refresher.FleetRefresher(
        view, _Broken(), None, clock, lambda: 1.0
    )
    with (
        gevent.Timeout(HANG_S, AssertionError("the process goes on")),
        pytest.raises(errors.InvariantError),
        task.run_refresher(),
    ):
        gevent.event.Event().wait()
