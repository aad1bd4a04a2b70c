"""The platform's outages and lost answers, seen through HTTP."""

import pytest

from tests.common import clocks
from tests.common import platforms
from vanillaswitch.protocol import platform
from vanillaswitch.transport import platform_http
from vanillaswitch.transport import sockets

COMMIT = platform.Transaction("t1", (platform.Put("a", 0, {"n": 1}),))
COMMITTED = platforms.http("200 OK", b'{"outcome":"committed","version":1}')


def test_a_lost_answer_is_settled_by_the_same_token():
    """A drain's intent is written twice, or given up though it holds.

    The table commits the intent; its answer is lost on the way back. The
    writer knows neither, sends the same transaction again and must get the
    first answer, not a conflict with its own write.
    """
    with platforms.served(clocks.ManualClock()) as (standin, client, _):
        standin.table.faults.lose_answers = 1
        outcome = client.table.commit(COMMIT)
        assert isinstance(outcome, platform.OutcomeUnknown)
        assert standin.table.commits == 1
        assert client.table.commit(COMMIT) == platform.Committed(1)
        assert standin.table.rows_written == 1


def test_a_write_may_take_effect_after_it_was_read_as_absent():
    """An instance is drained that nobody wants drained any more.

    A commit gets no answer, the row is read and is absent, and only then
    does the write take effect. Another write to the row in between makes
    the late one a conflict, so the row's version is what fences it off.
    """
    other = platform.Transaction("t2", (platform.Put("a", 0, {"n": 2}),))
    with platforms.served(clocks.ManualClock()) as (standin, client, _):
        standin.table.faults.delay_effect = 1
        outcome = client.table.commit(COMMIT)
        assert isinstance(outcome, platform.OutcomeUnknown)
        assert client.table.read(["a"]) == platform.Rows(())
        assert client.table.commit(other) == platform.Committed(1)
        standin.table.faults.release_delayed()
        (row,) = client.table.read(["a"]).rows
        assert row.token == "t2"


def test_a_lost_call_has_no_effect_until_it_is_sent_again():
    """A configuration is told as applied that never reached the table.

    The commit is lost before it arrives. The writer must be told that the
    outcome is unknown, and its second sending takes effect.
    """
    with platforms.served(clocks.ManualClock()) as (standin, client, _):
        standin.table.faults.drop_calls = 1
        outcome = client.table.commit(COMMIT)
        assert isinstance(outcome, platform.OutcomeUnknown)
        assert client.table.scan("") == platform.Rows(())
        assert client.table.commit(COMMIT) == platform.Committed(1)


def test_every_call_is_refused_while_the_platform_is_down():
    """A clerk's charge waits on a platform that is gone.

    The platform refuses everything. Each call says at once that it surely
    had no effect, and the next call after the outage works.
    """
    with platforms.served(clocks.ManualClock()) as (standin, client, _):
        for faults in standin.faults.values():
            faults.down = True
        outcomes = [
            client.table.read(["a"]),
            client.table.commit(COMMIT),
            client.objects.get("0" * 64),
            client.instances.list(),
            client.instances.status(["berthing-1"]),
            client.instances.drain("berthing-1", "d"),
            client.workers.reports(),
            client.workers.renew("worker-1", [], 1.0),
        ]
        assert {type(one) for one in outcomes} == {platform.Unavailable}
        standin.table.faults.down = False
        assert client.table.commit(COMMIT) == platform.Committed(1)


def test_a_refused_connection_is_known_to_have_had_no_effect():
    """A charge is told "unknown" though it never left.

    Nothing listens at the platform's address. No byte was sent, so the
    commit is Unavailable, which may be told as not run.
    """
    listener = sockets.listen("127.0.0.1:0")
    address = sockets.bound_address(listener)
    listener.close()
    with platform_http.connect(address) as client:
        assert isinstance(client.table.commit(COMMIT), platform.Unavailable)


def test_a_silent_connection_costs_one_call_and_new_ones_work():
    """Every commit hangs although the platform is well.

    Something between forgets an open connection: bytes go in and nothing
    comes back. The commit on it ends as unknown after its time limit, is
    not sent again by itself, and the next one uses a new connection.
    """
    with platforms.scripted(
        lambda n: None if n == 2 else COMMITTED, timeout_s=1.0
    ) as (script, client):
        assert client.table.commit(COMMIT) == platform.Committed(1)
        outcome = client.table.commit(COMMIT)
        assert isinstance(outcome, platform.OutcomeUnknown)
        assert script.connections == 1
        assert client.table.commit(COMMIT) == platform.Committed(1)
        assert (script.connections, len(script.requests)) == (2, 3)


@pytest.mark.parametrize("verb", ["drain", "reboot", "resume"])
def test_an_operation_whose_answer_was_lost_is_done_once(verb):
    """An instance reboots twice and cuts off work.

    The platform does the operation and its answer is lost. The controller
    asks again with the same operation id; nothing may happen a second time.
    """
    clock = clocks.ManualClock()
    with platforms.served(clock) as (standin, client, _):
        standin.instances.faults.lose_answers = 1
        operate = getattr(client.instances, verb)
        outcome = operate("berthing-1", "op")
        assert isinstance(outcome, platform.OutcomeUnknown)
        clock.advance(platforms.FLEET.reboot_s)
        (before,) = client.instances.status(["berthing-1"])
        assert operate("berthing-1", "op") == platform.Done()
        assert client.instances.status(["berthing-1"]) == (before,)
        assert before.boots == (2 if verb == "reboot" else 1)
