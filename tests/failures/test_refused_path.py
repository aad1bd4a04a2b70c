"""A process that can't reach the store while others can."""

import contextlib
import dataclasses
import random

import gevent
import pytest

from tests.common import fleets
from vanillaswitch import errors
from vanillaswitch.coordination.fleet.intake import errands
from vanillaswitch.coordination.fleet.intake import helped_intake
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.intake import questions
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.transport import streams

_DEADLINE_S = 2.0


class _Table:
    """Rows of its own; may refuse, or keep the answers to writes."""

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
    """One process: its table, its address, and what it believes."""

    table: _Table
    errands: errands.Errands
    serving: helped_intake.HelpedIntake
    address: str
    owner: str = ""
    silent: bool = False
    heard: list = dataclasses.field(default_factory=list)


@contextlib.contextmanager
def _process(name, table):
    clock = clocks.SystemClock()
    asking = questions.Questions(clock, name)
    local = intakes.Intake(table, clock, name, lambda: 0.0)
    process = None

    def answered_at():
        return -1e9 if table.refuses else clock.monotonic()

    def on_message(_, message, reply):
        process.heard.append(message)
        if not process.silent:
            process.errands.on_message(message, reply)

    with streams.run(
        "127.0.0.1:0", on_message, clock, random.Random(1)
    ) as carried:
        others = errands.Errands(
            asking,
            local,
            carried.address,
            lambda: process.owner,
            answered_at,
            clock,
            lambda _: None,
        )
        serving = helped_intake.HelpedIntake(local, others, clock)
        process = _Process(table, others, serving, carried.address)
        asking.attach(carried)
        yield process


@pytest.fixture
def pair():
    """Yields a process that is refused, and the owner, which is not."""
    rows = {}
    with (
        _process("cut", _Table(rows, refuses=True)) as cut,
        _process("owner", _Table(rows)) as owner,
    ):
        cut.owner = owner.address
        yield cut, owner


def _deadline():
    return clocks.SystemClock().monotonic() + _DEADLINE_S


def test_a_job_is_taken_in_through_another_process(pair):
    """A third of all clients are refused for as long as a fault lasts.

    The store answers 503 to some processes and serves the others. A client
    that meets one of them is told to come back, though the process beside it
    could have taken its job.
    """
    cut, owner = pair
    job = fleets.job()
    assert cut.serving.submit(job, _deadline()) is intakes.Verdict.ACCEPTED
    assert cut.serving.submit(job, _deadline()) is intakes.Verdict.ACCEPTED
    assert len(owner.table.rows) == 1
    state = cut.serving.state(job.job_id, _deadline())
    assert state is jobs.JobState.QUEUED
    verdict = cut.serving.cancel(job.job_id, False, _deadline())
    assert verdict is intakes.Verdict.ACCEPTED
    assert cut.serving.state("f" * 16, _deadline()) is None


def test_in_an_outage_for_all_a_client_is_refused_at_once(pair):
    """Clients hang while processes hand their jobs to one another."""
    cut, owner = pair
    owner.table.refuses = True
    began = clocks.SystemClock().monotonic()
    verdict = cut.serving.submit(fleets.job(), _deadline())
    assert verdict is intakes.Verdict.NOT_DONE
    assert (
        clocks.SystemClock().monotonic() - began
        < 2 * errands.STORE_STATUS_TIMEOUT_S
    )
    sent = [type(message) for message in owner.heard]
    assert peers.Errand not in sent


def test_nobody_who_listens_means_not_run(pair):
    """A client is told "not known" though nothing of its job was sent."""
    cut, _ = pair
    cut.owner = "127.0.0.1:9"
    verdict = cut.serving.submit(fleets.job(), _deadline())
    assert verdict is intakes.Verdict.NOT_DONE


def test_an_errand_without_an_answer_is_never_called_not_run(pair):
    """A client is told "not run" and its job runs.

    The errand was carried out by a process that was cut off right after; its
    sender can't know that it was not.
    """
    cut, owner = pair
    assert cut.errands._can_help(owner.address)
    owner.silent = True
    verdict = cut.serving.submit(fleets.job(), _deadline())
    assert verdict is intakes.Verdict.UNKNOWN


def test_an_own_write_in_doubt_is_not_denied_by_another_process(pair):
    """A client is told "not run" and its job runs.

    This process's own write was sent and not answered, and the helper is
    refused by the store: nobody knows whether the first write takes effect.
    """
    cut, owner = pair
    owner.table.refuses = True
    cut.table.refuses = False
    cut.table.answers = False
    cut.table.read = lambda _: platform.Unavailable("silent")
    verdict = cut.serving.submit(fleets.job(), _deadline())
    assert verdict is intakes.Verdict.UNKNOWN


def test_an_owner_that_lost_its_path_hands_over_to_its_successor(pair):
    """The process that owned the fleet refuses all clients that it gets.

    Only its own path to the store is cut, so it knows no other owner than
    itself. The process that asks for its place can reach the store.
    """
    cut, owner = pair
    cut.owner = cut.address
    job = fleets.job()
    verdict = cut.serving.submit(job, _deadline())
    assert verdict is intakes.Verdict.NOT_DONE
    question = peers.OwnerQuestion("q-1", "boot", 1.0, owner.address)
    cut.errands.on_message(question, lambda _: None)
    assert cut.serving.submit(job, _deadline()) is intakes.Verdict.ACCEPTED


def test_the_owner_before_says_who_owns_the_fleet_now(pair):
    """A process that is cut off refuses clients since the owner changed.

    It read the owner's row for the last time before the change; the owner of
    that time can't reach the store either, but knows its successor.
    """
    cut, owner = pair
    with _process("next", _Table(owner.table.rows)) as following:
        owner.table.refuses = True
        owner.owner = following.address
        verdict = cut.serving.submit(fleets.job(), _deadline())
        assert verdict is intakes.Verdict.ACCEPTED


def test_a_job_taken_in_through_another_process_keeps_its_long_spec(pair):
    """A job that was accepted never runs: "it is not there", says the owner.

    Its entry had another process hand it in, and sent what it would have
    written into the job's row. The spec, which lies in a row of its own, was
    not among it; the owner asked for that row every 2 s.
    """
    cut, owner = pair
    job = fleets.job(spec="x" * 1000)
    assert cut.serving.submit(job, _deadline()) is intakes.Verdict.ACCEPTED
    specs = [
        row.value["spec"]
        for key, row in owner.table.rows.items()
        if key.startswith("spec/")
    ]
    assert specs == [job.spec]


def test_a_job_without_its_spec_is_never_taken_in(pair):
    """No job could ever run that was accepted from its row alone."""
    _, owner = pair
    stored = job_rows.unpack(job_rows.pack(fleets.job(spec="x" * 1000)))
    with pytest.raises(errors.InvariantError):
        owner.serving.submit(stored, _deadline())
    assert not owner.table.rows
