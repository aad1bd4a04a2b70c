"""The operators' command ``deployment``, on rows in a stand-in store."""

import contextlib
import json

from click import testing

from standins import edge_http
from standins import edge_processes
from tests.common import crash_simulation
from tests.common import fleet_builders
from vanillaswitch.cli import deployment
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import http_table
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.transport import plain_http

_CRASHING = fleet_builders.job(7, (jobs.Step(count=1, cpu=900),))
_HEALTHY = fleet_builders.job(
    8,
    (
        jobs.Step(count=2, cpu=100, long_running=True),
        jobs.Step(count=1, cpu=100, after=(0,)),
    ),
)


class _Workstation:
    """Runs the command against a deployment, and writes its rows."""

    def __init__(self, outside, store, settings):
        self._outside = outside
        self._store = store
        self._settings = settings

    @property
    def rows(self):
        """The store's rows, where the platform itself writes."""
        return self._outside.rows

    def put(self, key, document):
        """Writes a row of the system's own."""
        transaction = platform.Transaction(
            f"token {key}", (platform.Put(key, platform.ABSENT, document),)
        )
        assert isinstance(self._store.commit(transaction), platform.Committed)

    def put_day(self, day, *submitted):
        """Writes the rows of jobs as the owner of a test day left them."""
        for job in submitted:
            self.put(
                f"{fenced_writer.JOB_TABLE}/{job.job_id}",
                job_rows.job_to_row(job),
            )
            entry = day.scheduler.tracker.get(job.job_id)
            self.put(
                f"{fenced_writer.PROGRESS_TABLE}/{job.job_id}",
                entry.to_document(),
            )

    def run(self, *args):
        """Returns exit code and output of a command."""
        outcome = testing.CliRunner().invoke(
            deployment.command, [*args, "--settings", self._settings]
        )
        return outcome.exit_code, outcome.output


@contextlib.contextmanager
def _open_workstation(tmp_path, instances=1):
    outside = edge_http.EdgePlatform(instances, task_s=0.05)
    settings = tmp_path / "edge.conf"
    settings.write_text(
        "node_name=edge-1\nip=127.0.0.1\nlisten.frontend=127.0.0.1:1\n"
        "listen.ready=127.0.0.1:2\ninternal_ports=3,4\n"
        f"platform.address={outside.address}\n"
        f"cloud_api.address={outside.address}\n"
    )
    clock = clocks.SystemClock()
    with outside.serving(), plain_http.open_client(clock) as client:
        store = http_table.HttpTable(
            client, outside.address, clock, lambda _: None
        )
        yield _Workstation(outside, store, str(settings))


def _day(seconds=10.0):
    day = crash_simulation.Simulation()
    day.submit(_HEALTHY)
    day.submit(_CRASHING, crashing=[(0, 0)])
    day.advance(seconds)
    return day


def test_a_job_that_was_given_up_is_explained_by_its_crashes(tmp_path):
    day = _day()
    with _open_workstation(tmp_path) as workstation:
        workstation.put_day(day, _CRASHING)
        code, text = workstation.run("explain", f"job/{_CRASHING.job_id}")
        assert code == 0
        first, *evidence = text.splitlines()
        assert first == f"job {_CRASHING.job_id} of quotes: failed"
        assert len(evidence) == 2
        assert all("given up: run" in line for line in evidence)


def test_a_suspected_task_is_shown_with_its_crashes(tmp_path):
    day = _day(0.5)
    with _open_workstation(tmp_path) as workstation:
        workstation.put_day(day, _CRASHING)
        code, text = workstation.run(
            "explain", f"job/{_CRASHING.job_id}", "--json"
        )
        (task,) = json.loads(text)["tasks"]
        assert code == 0
        assert task["apart"]
        assert len(task["crashes"]) == 1


def test_a_running_job_is_shown_with_its_steps_and_runs(tmp_path):
    day = _day()
    with _open_workstation(tmp_path) as workstation:
        workstation.put_day(day, _HEALTHY)
        workstation.put(f"{fenced_writer.CANCEL_TABLE}/{_HEALTHY.job_id}", {})
        code, text = workstation.run("explain", f"job/{_HEALTHY.job_id}")
        lines = text.splitlines()
        assert code == 0
        assert lines[0].endswith("running, cancelled by its client")
        assert lines[1] == "  step 0.0: 2 assigned"
        assert all(" on i-" in line for line in lines[2:])


def test_an_instance_is_shown_with_its_recorded_runs(tmp_path):
    day = _day()
    task = (
        day.scheduler.tracker.get(_HEALTHY.job_id)
        .open_steps_by_key[0, 0]
        .tasks[0]
    )
    with _open_workstation(tmp_path) as workstation:
        workstation.put_day(day, _HEALTHY, _CRASHING)
        entry = {
            "service": "berthing",
            "address": "127.0.0.1:1",
            "zone": "a",
            "state": "ready",
            "capacity": {"cpu": 4000, "mem_mb": 1},
            "labels": ["k", "r1"],
        }
        workstation.rows.write("servers", task.instance, entry)
        code, text = workstation.run("explain", f"instance/{task.instance}")
        assert code == 0
        assert f"job {_HEALTHY.job_id} 0.0.0 run {task.run}" in text


def test_a_wave_is_shown_with_the_machines_that_are_left(tmp_path):
    with _open_workstation(tmp_path) as workstation:
        machines = {"wave": 3, "machines": ["m-1", "m-2"], "duration_s": 60}
        workstation.rows.write("op", "wave/3", machines)
        workstation.put(
            f"{operator_table.WAVE_PROGRESS_TABLE}/wave/3",
            {"machines": ["m-1"]},
        )
        code, text = workstation.run("explain", "wave/3")
        assert code == 0
        assert text == "wave/3: not begun, 1 of 2 machines left: m-2\n"


def test_the_fleet_is_counted_and_unusable_rows_are_named(tmp_path):
    with _open_workstation(tmp_path) as workstation:
        workstation.rows.write("servers", "x-1", {"service": 7})
        workstation.rows.write("op", "config", edge_processes.config())
        workstation.put_day(_day(), _HEALTHY, _CRASHING)
        me = fenced_writer.OwnerRow("edge-2", "10.0.0.2:1", "boot")
        workstation.put(fenced_writer.OWNER_KEY, me.document())
        code, text = workstation.run("status")
        assert code == 0
        assert "owner: edge-2 at 10.0.0.2:1" in text
        assert "queue quotes: 1 failed, 1 running" in text
        assert "unusable: servers/x-1: " in text


def test_a_subject_without_rows_is_reported(tmp_path):
    with _open_workstation(tmp_path) as workstation:
        code, text = workstation.run("explain", "job/00")
        assert (code, text) == (1, "job/00: the store has no row of it\n")
        assert workstation.run("explain", "planet/mars")[0] == 2


def test_an_unavailable_store_is_reported(tmp_path):
    with _open_workstation(tmp_path) as workstation:
        workstation.rows.down = True
        code, text = workstation.run("status")
        assert code == 3
        assert "the platform gave no answer" in text


def test_an_account_is_shown_with_what_it_uses_and_what_waits(tmp_path):
    with _open_workstation(tmp_path) as workstation:
        tenant = {
            "name": "mare",
            "api_keys": ["a-key-nobody-may-see"],
            "weight": 3,
            "max_count": {"cpu": 4000},
        }
        document = edge_processes.config() | {"tenants": [tenant]}
        workstation.rows.write("op", "config", document)
        step = (jobs.Step(count=1, cpu=3000),)
        for number in (1, 2):
            job = fleet_builders.job(number, step, account="mare")
            workstation.put(
                f"{fenced_writer.JOB_TABLE}/{job.job_id}",
                job_rows.job_to_row(job),
            )
        entry = job_tracker.JobEntry(fleet_builders.job(1, step), 0.0)
        (task,) = next(iter(entry.open_due_steps(0.0))).tasks
        task.state, task.run = open_steps.TaskState.ASSIGNED, 1
        workstation.put(
            f"{fenced_writer.PROGRESS_TABLE}/{entry.job.job_id}",
            entry.to_document(),
        )
        code, text = workstation.run("explain", "account/mare")
        assert code == 0
        assert "account mare: 1 keys, weight 3" in text
        assert "cpu: 3000 in use, limit 4000" in text
        assert "1 jobs wait; share " in text
        assert text.count("of fair 1.000") == 1
        assert f"job {2:016x} waits for the limit" in text
        assert "nobody-may-see" not in text
        assert workstation.run("explain", "account/sahel")[0] == 1
        code, text = workstation.run("explain", f"job/{1:016x}")
        assert "account mare" in text
        _, text = workstation.run("status")
        assert "account mare: 1 jobs wait" in text
