"""``vanillaswitch deployment``: how a fleet on the users' platform stands."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import pathlib
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import console
from vanillaswitch.cli import exits
from vanillaswitch.coordination.fleet import status_summaries
from vanillaswitch.internal import registry
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable
from vanillaswitch.wiring import operator_view

Found = object
"""A frozen data class that tells of one subject."""

Explain = Callable[[operator_view.OperatorView, str], Found | None]
"""Looks a subject up by its name; None where nothing is known of it."""

SUBJECTS: registry.Registry[Explain] = registry.Registry("kind of subject")

settings_option = click.option(
    "--settings",
    "file",
    required=True,
    envvar=platform_settings.ENVIRONMENT_VARIABLE,
    type=click.Path(path_type=pathlib.Path),
    help="Settings file of any of its processes.",
)


@click.group("deployment")
def command() -> None:
    """Tells how a fleet on the users' platform stands, from its rows.

    Exit codes: 0 done, 1 nothing is known of the subject, 2 wrong usage or
    settings, 3 the platform gave no answer.
    """


@contextlib.contextmanager
def _opened(
    file: pathlib.Path, as_json: bool
) -> Iterator[operator_view.OperatorView]:
    try:
        settings = platform_settings.load(file)
    except errors.SettingsError as error:
        raise click.UsageError(str(error)) from error
    with console.refusing(as_json), operator_view.opened(settings) as view:
        yield view


@command.command()
@settings_option
@console.json_option
def status(file: pathlib.Path, as_json: bool) -> None:
    """Prints owner, queues, instances, machines, waves, unusable rows."""
    with _opened(file, as_json) as view:
        found = view.overview()
    console.tell(as_json, _document(found), "\n".join(_fleet_lines(found)))


@command.command()
@click.argument("subject")
@settings_option
@console.json_option
def explain(subject: str, file: pathlib.Path, as_json: bool) -> None:
    """Prints what the rows tell of SUBJECT.

    SUBJECT is job/ID, account/NAME, instance/ID, machine/NAME or wave/NUMBER.
    """
    kind, _, name = subject.partition("/")
    if kind not in SUBJECTS.names or not name:
        kinds = ", ".join(f"{known}/NAME" for known in SUBJECTS.names)
        raise click.UsageError(f"{subject}: give one of {kinds}")
    with _opened(file, as_json) as view:
        found = SUBJECTS.get(kind)(view, name)
    if found is None:
        text = f"{subject}: the store has no row of it"
        console.tell(as_json, {"unknown": subject}, text, refused=True)
        sys.exit(exits.REFUSED)
    console.tell(as_json, _document(found), "\n".join(_lines(found)))


@SUBJECTS.register("job")
def _job(view: operator_view.OperatorView, name: str) -> Found | None:
    return view.job(name)


@SUBJECTS.register("account")
def _account(view: operator_view.OperatorView, name: str) -> Found | None:
    return view.account(name)


@SUBJECTS.register("instance")
def _instance(view: operator_view.OperatorView, name: str) -> Found | None:
    return view.instance(name)


@SUBJECTS.register("machine")
def _machine(view: operator_view.OperatorView, name: str) -> Found | None:
    return view.machine(name)


@SUBJECTS.register("wave")
def _wave(view: operator_view.OperatorView, name: str) -> Found | None:
    waves = {wave.wave: wave for wave in view.waves()}
    return waves.get(f"wave/{name}")


def _document(found: Found) -> Mapping[str, object]:
    assert dataclasses.is_dataclass(found)
    assert not isinstance(found, type)
    return dataclasses.asdict(found)


def _lines(found: Found) -> Iterable[str]:
    if isinstance(found, status_summaries.JobSummary):
        return _job_lines(found)
    if isinstance(found, status_summaries.AccountSummary):
        return _account_lines(found)
    if isinstance(found, status_summaries.InstanceSummary):
        return _instance_lines(found)
    if isinstance(found, status_summaries.WaveSummary):
        return [_wave_line(found)]
    if isinstance(found, fleet.Machine):
        return [_machine_line(found)]
    assert isinstance(found, unusable.Unusable)
    return [f"its row can't be used: {found.reason}"]


def _job_lines(job: status_summaries.JobSummary) -> Iterator[str]:
    cancelled = ", cancelled by its client" if job.cancelled else ""
    account = f", account {job.account}" if job.account else ""
    yield f"job {job.job} of {job.queue}{account}: {job.state}{cancelled}"
    for crash in job.given_up:
        yield f"  given up: {crash}"
    for name, state in job.steps.items():
        yield f"  step {name}: {state}"
    for task in job.tasks:
        yield f"  {_task_text(task)}"


def _account_lines(
    account: status_summaries.AccountSummary,
) -> Iterator[str]:
    jobs = ", ".join(f"{n} {state}" for state, n in account.jobs.items())
    yield (
        f"account {account.account}: {account.keys} keys, weight "
        f"{account.weight:g}; {jobs or 'no jobs'}"
    )
    for quantity, most in dataclasses.asdict(account.limit).items():
        used = getattr(account.running, quantity)
        yield f"  {quantity}: {used} in use, limit {most or 'none'}"
    for pool, found in account.pools.items():
        yield f"  {_pool_share_text(pool, found)}"
    for job in account.waiting_for_limit:
        yield f"  job {job} waits for the limit"


def _pool_share_text(
    pool: str, found: status_summaries.PoolShareSummary
) -> str:
    text = f"pool {pool}: {found.waiting_jobs} jobs wait"
    if found.longest_wait_ms is not None:
        text += f", the longest for {found.longest_wait_ms} ms"
    return f"{text}; share {found.share:.3f} of fair {found.fair_share:.3f}"


def _task_text(task: status_summaries.TaskSummary) -> str:
    where = f" on {task.instance}" if task.instance else ""
    parts = [f"task {task.task}: {task.state}, run {task.run}{where}"]
    if task.failed:
        parts.append(f"failed {task.failed} times")
    parts.extend(f"crashed: {crash}" for crash in task.crashes)
    if task.apart:
        parts.append("runs apart")
    return "; ".join(parts)


def _instance_lines(
    instance: status_summaries.InstanceSummary,
) -> Iterator[str]:
    room = instance.capacity
    yield f"instance {instance.instance}: {instance.state}"
    if instance.service:
        yield (
            f"  {instance.service} at {instance.address}: cpu {room.cpu}, "
            f"mem_mb {room.mem_mb}, gpu {room.gpu}; born {instance.born_ms}"
        )
    for run in instance.runs:
        yield f"  job {run}"


def _wave_line(wave: status_summaries.WaveSummary) -> str:
    left = f": {', '.join(wave.left)}" if wave.left else ""
    return (
        f"{wave.wave}: {wave.state or 'not begun'}, "
        f"{len(wave.left)} of {wave.machines} machines left{left}"
    )


def _machine_line(machine: fleet.Machine) -> str:
    return (
        f"machine {machine.name}: {machine.state.value} in pool "
        f"{machine.pool}, {machine.zone}, instance {machine.instance or 'none'}"
    )


def _fleet_lines(found: status_summaries.FleetSummary) -> Iterator[str]:
    owner = f"{found.owner} at {found.owner_address}" if found.owner else "none"
    yield f"owner: {owner}"
    counted = {
        "queue": found.queues,
        "service": found.services,
        "pool": found.machines,
    }
    for kind, named in counted.items():
        for name, states in named.items():
            text = ", ".join(f"{n} {state}" for state, n in states.items())
            yield f"{kind} {name}: {text}"
    for name, count in found.waiting_accounts.items():
        yield f"account {name}: {count} jobs wait"
    for wave in found.waves:
        yield _wave_line(wave)
    for key, reason in found.unusable.items():
        yield f"unusable: {key}: {reason}"
