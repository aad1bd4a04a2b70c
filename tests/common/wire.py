"""Requests to minions and a callers' server, as tests need them."""

import contextlib

import pytest

from tests.common import clocks
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import caller_http
from vanillaswitch.transport import minion_http

LONG_S = 30.0
"""A limit that no healthy run comes near."""

MAX_BODY_BYTES = 1000
PAGES = caller_http.Pages(
    ready=lambda: (True, "has a view"),
    live=lambda: True,
    counters=lambda: {"answered": 3},
    histograms=lambda: {"quote": {"p99_ms": 5.0}},
)


@pytest.fixture
def client():
    """A client towards minions."""
    with minion_http.open_client(clocks.ManualClock()) as made:
        yield made


def request_of(request_id="r-1", method="GET", body=b"", key="", headers=()):
    """Returns a checked request."""
    target = "/berthing/quote"
    return requests.Request(
        request_id, "harbour", "berthing", "quote", method, target, headers,
        body, deadline=0.0, idempotency_key=key,
    )  # fmt: skip


def send(client, address, request="r-1", timeout_s=LONG_S, fresh=False):
    """Sends a request, or a plain one of that id, to an address."""
    if isinstance(request, str):
        request = request_of(request)
    minion = minions.Minion("i", "berthing", address, "dc", "rack", 8, 64)
    return client.send(minion, request, timeout_s, fresh)


class Recorder:
    """Answers each request with its own body, and remembers it."""

    def __init__(self):
        self.seen = []

    def __call__(self, incoming):
        """Handles one request."""
        self.seen.append(incoming)
        return requests.Answer(200, (), incoming.body)


@contextlib.contextmanager
def serving(handle):
    """Yields a callers' server on a free port."""
    clock = clocks.ManualClock()
    with caller_http.serve(
        "127.0.0.1:0", handle, PAGES, clock, lambda: MAX_BODY_BYTES
    ) as server:
        yield server
