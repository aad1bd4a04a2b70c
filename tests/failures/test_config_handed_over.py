"""A configuration whose table goes down as soon as it has accepted it."""

import contextlib
import dataclasses
import random

import click.testing
import gevent.queue
import pytest

from tests.common import config_stores as stores
from tests.common import configs
from vanillaswitch.cli import config as cli
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import canonical
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.transport import streams

FOLDER = str(configs.EXAMPLES / "mare-dues" / "config")
HANG_S = 30.0


@dataclasses.dataclass(frozen=True)
class _Inbox:
    """What a controller at ``address`` gets."""

    address: str
    messages: gevent.queue.Queue


@pytest.fixture
def inbox():
    messages = gevent.queue.Queue()
    with streams.run(
        "127.0.0.1:0",
        lambda _sender, message, _reply: messages.put(message),
        clocks.SystemClock(),
        random.Random(1),
    ) as listening:
        yield _Inbox(listening.address, messages)


def _apply(store):
    return click.testing.CliRunner().invoke(
        cli.command,
        ["apply", FOLDER, "--platform", "127.0.0.1:1", "--first"],
        obj=lambda _: contextlib.nullcontext(store.platform()),
    )


def test_a_controller_gets_what_was_accepted_without_the_table(inbox):
    """A price change is accepted and in force nowhere for the whole outage.

    The table accepts it and goes down before any process has read it. The
    operator's command still has the body, and gives it to the controllers
    whose sessions it saw, a dead one among them.
    """
    store = stores.Store()
    puts = tuple(
        platform.Put(
            keys.session(name),
            platform.ABSENT,
            rows.dump(rows.Session("boot", address, "hall-recife", 1)),
        )
        for name, address in (("dead", "127.0.0.1:1"), ("c", inbox.address))
    )
    store.platform().table.commit(platform.Transaction("t", puts))
    assert _apply(store).exit_code == 0
    with gevent.Timeout(HANG_S):
        message = inbox.messages.get()
    head = rollout.read_head(store.platform().table).row
    assert isinstance(message, peers.ConfigBody)
    assert (message.version, message.digest) == (head.number, head.digest)
    assert canonical.digest(message.body) == head.digest


def test_what_was_refused_is_handed_to_nobody(inbox, monkeypatch):
    """A change that lost its race must come into force nowhere."""
    handed = []
    monkeypatch.setattr(
        "vanillaswitch.transport.hand_over.send",
        lambda *arguments: handed.append(arguments),
    )
    store = stores.Store()
    session = rows.Session("boot", inbox.address, "hall-recife", 1)
    put = platform.Put(keys.session("c"), platform.ABSENT, rows.dump(session))
    store.platform().table.commit(platform.Transaction("t", (put,)))
    assert _apply(store).exit_code == 0
    assert len(handed) == 1
    with_other = stores.Store()
    with_other.platform().table.commit(platform.Transaction("t", (put,)))
    with_other.platform().table.faults.down = True
    assert _apply(with_other).exit_code == 3
    assert len(handed) == 1
