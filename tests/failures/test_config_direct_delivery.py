"""Direct delivery of an accepted configuration while the table is down."""

import contextlib
import dataclasses
import random

import click.testing
import gevent.queue
import pytest

from tests.common import config_platform
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
class _ControllerInbox:
    """Messages that a controller at ``address`` receives."""

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
        yield _ControllerInbox(listening.address, messages)


def _apply(store):
    return click.testing.CliRunner().invoke(
        cli.command,
        ["apply", FOLDER, "--platform", "127.0.0.1:1", "--first"],
        obj=lambda _: contextlib.nullcontext(store.platform()),
    )


def test_a_controller_gets_an_accepted_configuration_without_the_table(inbox):
    """Guards against an accepted change that no process gets in an outage.

    The table accepts it and goes down before any process has read it. The
    operator's command still has the body and sends it to the controllers
    whose sessions it read, one of which is dead.
    """
    store = config_platform.ConfigPlatform()
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


def test_a_configuration_that_was_not_accepted_is_sent_to_nobody(
    inbox, monkeypatch
):
    """A change that was not accepted must not come into force anywhere."""
    sent = []
    monkeypatch.setattr(
        "vanillaswitch.transport.hand_over.send",
        lambda *arguments: sent.append(arguments),
    )
    store = config_platform.ConfigPlatform()
    session = rows.Session("boot", inbox.address, "hall-recife", 1)
    put = platform.Put(keys.session("c"), platform.ABSENT, rows.dump(session))
    store.platform().table.commit(platform.Transaction("t", (put,)))
    assert _apply(store).exit_code == 0
    assert len(sent) == 1
    unavailable_store = config_platform.ConfigPlatform()
    unavailable_store.platform().table.commit(platform.Transaction("t", (put,)))
    unavailable_store.platform().table.faults.down = True
    assert _apply(unavailable_store).exit_code == 3
    assert len(sent) == 1
