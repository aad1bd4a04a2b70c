"""Holds that reach an instance after it has restarted under its id."""

import dataclasses
import types

import gevent.event
import pytest

from standins import leased_instance
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class _Writer:
    """An owner's writer; each write raises the version."""

    is_term_over = False
    token = 5
    last_written_version = 5
    last_write_sent_at = 0.0

    def end_term(self):
        self.is_term_over = True


class _Upstreams:
    """Executes the calls of a client, or keeps the holds for later."""

    def __init__(self, model):
        self._model = model
        self.keeps_holds = False
        self.kept = []

    def renew_lease(self, target, token, seen, deadline_ms, *_args):
        del target
        if self.keeps_holds:
            self.kept.append((token, seen, deadline_ms))
            return fleet.NoAnswer(True, "timed out")
        return self._model.renew_lease(token, seen, deadline_ms)


def _client(model):
    scheduler = fleet_builders.new_scheduler()
    scheduler.handle_registration(model.registration, 0.0)
    writer, upstreams = _Writer(), _Upstreams(model)
    context = instance_client.CallContext(
        scheduler,
        upstreams,
        writer,
        clocks.SystemClock(),
        gevent.event.Event(),
    )
    client = instance_client.InstanceClient(context, "i-1")
    return types.SimpleNamespace(
        scheduler=scheduler, writer=writer, upstreams=upstreams, client=client
    )


def _renew(owner, again=False):
    owner.client._renew_lease(owner.scheduler.instances["i-1"], again)


def _run_and_end(model, token, count):
    for index in range(count):
        name = jobs.TaskName("1", 0, 0, index)
        start = fleet.StartRequest(name, 1, "", "", token, 10**9)
        model.start(start, fleet.Resources(1, 0))
        model.end(name, fleet.RunOutcome.DONE)


@pytest.mark.parametrize("removed", [False, True])
def test_a_late_hold_makes_no_new_incarnation_forget_its_ends(removed):
    """Guards against finished tasks that run again after a crash.

    The hold acknowledges ends of the former incarnation, by their numbers.
    """
    model = leased_instance.LeasedInstance(
        dataclasses.replace(fleet_builders.registration("i-1"), born_ms=1)
    )
    owner = _client(model)
    _renew(owner)
    _run_and_end(model, owner.writer.token, 8)
    _renew(owner)
    incarnation = owner.scheduler.instances["i-1"].incarnation
    owner.client.mark_ends_recorded(8, incarnation)
    owner.upstreams.keeps_holds = True
    _renew(owner)
    owner.upstreams.keeps_holds = False
    ((token, seen, deadline_ms),) = owner.upstreams.kept
    assert seen == 8
    model.restart(2)
    owner.writer.last_written_version += 1
    if removed:
        owner.scheduler.remove_instance("i-1", 3.0, "no machine runs it")
        owner.scheduler.handle_registration(model.registration, 3.0)
    _renew(owner, again=True)
    _renew(owner)
    _run_and_end(model, model.token, 8)
    assert fleet.is_fenced(model.renew_lease(token, seen, deadline_ms))
    _renew(owner)
    assert owner.scheduler.instances["i-1"].last_end_number == 8
    assert not owner.writer.is_term_over


def test_a_refused_call_to_a_former_incarnation_ends_no_term():
    """Guards against an owner that takes its own higher token for another's."""
    model = leased_instance.LeasedInstance(
        dataclasses.replace(fleet_builders.registration("i-1"), born_ms=1)
    )
    owner = _client(model)
    _renew(owner)
    answer = owner.upstreams.renew_lease

    def restarts_meanwhile(target, token, *args):
        model.restart(2)
        owner.scheduler.handle_registration(model.registration, 1.0)
        owner.writer.last_written_version += 1
        owner.upstreams.renew_lease = answer
        _renew(owner)
        return answer(target, token, *args)

    owner.upstreams.renew_lease = restarts_meanwhile
    _renew(owner)
    assert not owner.writer.is_term_over
    model.renew_lease(owner.writer.last_written_version + 1, 0, None)
    _renew(owner)
    assert owner.writer.is_term_over
