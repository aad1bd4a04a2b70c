"""A process that can't reach the store while others can."""

import contextlib
import dataclasses
import random

import gevent
import pytest

from tests.common import fleet_builders
from vanillaswitch import errors
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.job_requests import job_service
from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.coordination.fleet.job_requests import request_forwarder
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.transport import streams

_DEADLINE_S = 2.0


class _Table:
    """Table that may refuse all calls or withhold answers to commits."""

    def __init__(self, rows, refuses=False, answers=True):
        self.rows = rows
        self.refuses = refuses
        self.answers = answers
        self.commits = 0

    def read(self, keys):
        if self.refuses:
            return platform.Unavailable("status 503")
        return platform.Rows(
            tuple(self.rows[key] for key in keys if key in self.rows)
        )

    def commit(self, transaction):
        self.commits += 1
        if self.refuses:
            return platform.Unavailable("status 503")
        found = [put.key for put in transaction.puts if put.key in self.rows]
        if found:
            return platform.Conflict(tuple(self.rows[key] for key in found))
        for put in transaction.puts:
            self.rows[put.key] = platform.Row(
                put.key, 1, put.value, transaction.token
            )
        if not self.answers:
            gevent.sleep(_DEADLINE_S)
            return platform.OutcomeUnknown("silent")
        return platform.Committed(1)


@dataclasses.dataclass
class _Process:
    """One process: its table, its address and the owner it knows."""

    table: _Table
    forwarder: request_forwarder.RequestForwarder
    service: job_service.JobService
    address: str
    owner: str = ""
    silent: bool = False
    received: list = dataclasses.field(default_factory=list)


@contextlib.contextmanager
def _process(name, table):
    clock = clocks.SystemClock()
    calls = peer_calls.PeerCalls(clock, name)
    local = job_stores.JobStore(table, clock, name, lambda: 0.0)
    process = None

    def answered_at():
        return -1e9 if table.refuses else clock.monotonic()

    def on_message(_, message, reply):
        process.received.append(message)
        if not process.silent:
            process.forwarder.on_message(message, reply)

    with streams.run(
        "127.0.0.1:0", on_message, clock, random.Random(1)
    ) as transport:
        forwarder = request_forwarder.RequestForwarder(
            calls,
            local,
            transport.address,
            lambda: process.owner,
            answered_at,
            clock,
            lambda _: None,
        )
        service = job_service.JobService(local, forwarder, clock)
        process = _Process(table, forwarder, service, transport.address)
        calls.set_transport(transport)
        yield process


@pytest.fixture
def pair():
    """Yields a process that the store refuses, and the owner."""
    rows = {}
    with (
        _process("cut", _Table(rows, refuses=True)) as cut,
        _process("owner", _Table(rows)) as owner,
    ):
        cut.owner = owner.address
        yield cut, owner


def _deadline():
    return clocks.SystemClock().monotonic() + _DEADLINE_S


def test_a_job_is_accepted_through_another_process(pair):
    """Otherwise a third of all clients are refused while a fault lasts.

    The store answers 503 to some processes and serves the others. Clients of
    the former are told to retry, although another process could accept the
    job.
    """
    cut, owner = pair
    job = fleet_builders.job()
    assert (
        cut.service.submit(job, _deadline())
        is job_stores.RequestResult.ACCEPTED
    )
    assert (
        cut.service.submit(job, _deadline())
        is job_stores.RequestResult.ACCEPTED
    )
    assert len(owner.table.rows) == 1
    state = cut.service.state(job.job_id, _deadline())
    assert state is jobs.JobState.QUEUED
    verdict = cut.service.cancel(job.job_id, False, _deadline())
    assert verdict is job_stores.RequestResult.ACCEPTED
    assert cut.service.state("f" * 16, _deadline()) is None


def test_in_a_full_outage_a_client_is_refused_at_once(pair):
    """Otherwise clients hang while processes forward jobs to each other."""
    cut, owner = pair
    owner.table.refuses = True
    began = clocks.SystemClock().monotonic()
    verdict = cut.service.submit(fleet_builders.job(), _deadline())
    assert verdict is job_stores.RequestResult.NOT_APPLIED
    assert (
        clocks.SystemClock().monotonic() - began
        < 2 * request_forwarder.STORE_STATUS_TIMEOUT_S
    )
    sent = [type(message) for message in owner.received]
    assert peers.Errand not in sent


def test_an_unreachable_helper_means_not_run(pair):
    """Otherwise a client gets "unknown" although nothing was sent."""
    cut, _ = pair
    cut.owner = "127.0.0.1:9"
    verdict = cut.service.submit(fleet_builders.job(), _deadline())
    assert verdict is job_stores.RequestResult.NOT_APPLIED


def test_a_forwarded_request_without_an_answer_has_an_unknown_outcome(pair):
    """Otherwise a client is told "not run" and its job runs.

    The helper may have executed the request before it was cut off, so the
    sender can't know the outcome.
    """
    cut, owner = pair
    assert cut.forwarder._peer_reaches_store(owner.address)
    owner.silent = True
    verdict = cut.service.submit(fleet_builders.job(), _deadline())
    assert verdict is job_stores.RequestResult.UNKNOWN


def test_a_local_write_without_an_answer_stays_unknown_if_forwarding_fails(
    pair,
):
    """Otherwise a client is told "not run" and its job runs.

    The write of this process got no answer, and the store refuses the helper.
    The first write may still take effect.
    """
    cut, owner = pair
    owner.table.refuses = True
    cut.table.refuses = False
    cut.table.answers = False
    cut.table.read = lambda _: platform.Unavailable("silent")
    verdict = cut.service.submit(fleet_builders.job(), _deadline())
    assert verdict is job_stores.RequestResult.UNKNOWN


def test_an_owner_without_the_store_forwards_to_its_successor(pair):
    """Otherwise the process that owned the fleet refuses all its clients.

    Only its own path to the store is cut, so it knows no other owner than
    itself. The process that asks to replace it can reach the store.
    """
    cut, owner = pair
    cut.owner = cut.address
    job = fleet_builders.job()
    verdict = cut.service.submit(job, _deadline())
    assert verdict is job_stores.RequestResult.NOT_APPLIED
    question = peers.OwnerQuestion("q-1", "boot", 1.0, owner.address)
    cut.forwarder.on_message(question, lambda _: None)
    assert (
        cut.service.submit(job, _deadline())
        is job_stores.RequestResult.ACCEPTED
    )


def test_the_previous_owner_tells_who_owns_the_fleet_now(pair):
    """Otherwise a process refuses clients after a change of owner.

    It is cut off and last read the owner's row before the change. The previous
    owner can't reach the store either, but knows its successor.
    """
    cut, owner = pair
    with _process("next", _Table(owner.table.rows)) as successor:
        owner.table.refuses = True
        owner.owner = successor.address
        verdict = cut.service.submit(fleet_builders.job(), _deadline())
        assert verdict is job_stores.RequestResult.ACCEPTED


def test_a_forwarded_job_keeps_its_long_spec(pair):
    """Otherwise an accepted job never runs, since its spec is missing.

    A process forwards only the content of the job's row. A long spec has a
    separate row and is lost; the owner polls for that row every 2 s.
    """
    cut, owner = pair
    job = fleet_builders.job(spec="x" * 1000)
    assert (
        cut.service.submit(job, _deadline())
        is job_stores.RequestResult.ACCEPTED
    )
    specs = [
        row.value["spec"]
        for key, row in owner.table.rows.items()
        if key.startswith("spec/")
    ]
    assert specs == [job.spec]


def test_a_job_without_its_spec_is_never_accepted(pair):
    """Otherwise a job is accepted from its row alone and can never run."""
    _, owner = pair
    stored = job_rows.row_to_job(
        job_rows.job_to_row(fleet_builders.job(spec="x" * 1000))
    )
    with pytest.raises(errors.InvariantError):
        owner.service.submit(stored, _deadline())
    assert not owner.table.rows
