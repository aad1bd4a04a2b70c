"""``vanillaswitch wave``: plan, start, pause and watch maintenance waves."""

import getpass
import random
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import console
from vanillaswitch.cli import exits
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_commands
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import rows


@click.group("wave")
def command() -> None:
    """Plans, starts, pauses and watches maintenance waves.

    Exit codes: 0 done, 1 refused or can't finish, 2 wrong usage, 3 the
    platform gave no answer.
    """


_name = click.argument("name")


@command.command()
@_name
@console.platform_option
@click.option(
    "--order",
    type=click.Choice(wave_plan.ORDER_STRATEGIES.names),
    default=wave_plan.DEFAULT_ORDER,
    show_default=True,
    help="How instances are put into rounds.",
)
@console.json_option
@click.pass_context
def plan(
    ctx: click.Context, name: str, address: str, order: str, as_json: bool
) -> None:
    """Prints who goes when, how long it takes, and what forbids it."""
    with console.connected(ctx, address, as_json) as source:
        config = console.in_force(source)
        spec = config.waves.get(name)
        if spec is None:
            raise errors.WaveRefusedError(f"there is no wave {name!r}")
        planned = wave_plan.plan_wave(
            console.read_fleet(source), config, spec, order
        )
    console.tell(as_json, rows.dump(planned), _plan_text(planned))
    if planned.cannot:
        sys.exit(exits.REFUSED)


@command.command()
@_name
@console.platform_option
@console.operator_option
@console.json_option
@click.pass_context
def start(
    ctx: click.Context,
    name: str,
    address: str,
    operator: str | None,
    as_json: bool,
) -> None:
    """Starts a wave, or resumes one that is paused or was stopped."""
    with console.connected(ctx, address, as_json) as source:
        config = console.in_force(source)
        fleet = console.read_fleet(source)
        request = _request(name, operator)
        changed = wave_commands.start(fleet, config, request)
        _commit(source, fleet, changed)
    _tell_wave(as_json, name, changed.waves[name])


@command.command()
@_name
@console.platform_option
@console.operator_option
@console.json_option
@click.pass_context
def pause(
    ctx: click.Context,
    name: str,
    address: str,
    operator: str | None,
    as_json: bool,
) -> None:
    """Pauses a wave: what it has begun is finished, nothing more begins."""
    with console.connected(ctx, address, as_json) as source:
        fleet = console.read_fleet(source)
        changed = wave_commands.pause(fleet, _request(name, operator))
        _commit(source, fleet, changed)
    _tell_wave(as_json, name, changed.waves[name])


@command.command()
@click.argument("name", required=False)
@console.platform_option
@console.json_option
@click.pass_context
def status(
    ctx: click.Context, name: str | None, address: str, as_json: bool
) -> None:
    """Prints where each wave stands and why; of one wave when named."""
    with console.connected(ctx, address, as_json) as source:
        fleet = console.read_fleet(source)
        waves = {
            key: fleet.wave_with_done(key)
            for key in sorted(fleet.waves)
            if name in (None, key)
        }
        if name and not waves:
            raise errors.WaveRefusedError(f"{name} was never started")
    told = {key: rows.dump(wave) for key, wave in waves.items()}
    lines = [_wave_text(key, wave) for key, wave in waves.items()]
    console.tell(as_json, told, "\n".join(lines) or "no wave was started")


def _request(name: str, operator: str | None) -> wave_commands.WaveRequest:
    return wave_commands.WaveRequest(
        name,
        operator or getpass.getuser(),
        clocks.SystemClock().wall(),
        ids.new_id(random.SystemRandom()),
    )


def _commit(
    source: platform.Platform,
    fleet: fleet_state.Fleet,
    changed: changes.Changes,
) -> None:
    if not console.commit(source, fleet, changed):
        raise errors.WaveRefusedError(
            "the wave has changed meanwhile, nothing was written: look at "
            "`wave status`, then try again"
        )


def _plan_text(planned: wave_plan.WavePlan) -> str:
    lines = [
        f"{len(planned.rounds)} rounds, about {planned.expected_s:.0f} s",
        *(
            f"round {number}: {', '.join(names)}"
            for number, names in enumerate(planned.rounds, 1)
        ),
        *(f"skipped {n}: {why}" for n, why in planned.skipped.items()),
        *(f"cannot finish: {reason}" for reason in planned.cannot),
    ]
    return "\n".join(lines)


def _tell_wave(as_json: bool, name: str, wave: wave_state.Wave) -> None:
    console.tell(as_json, rows.dump(wave), _wave_text(name, wave))


def _wave_text(name: str, wave: wave_state.Wave) -> str:
    total = sum(len(names) for names in wave.rounds)
    current = wave.current_round
    place = f"{len(wave.rounds)} rounds"
    if current is not None:
        place = f"in round {current + 1} of {len(wave.rounds)}"
    failed = "".join(
        f"\n  failed {one}: {why}" for one, why in wave.failed.items()
    )
    waits = f"\n  waits: {wave.waits}" if wave.waits else ""
    waits += "".join(f"\n  slow {one}: {why}" for one, why in wave.slow.items())
    return (
        f"{name}: {wave.state}, {place}, "
        f"{len(wave.done)} of {total} done ({wave.reason}){waits}{failed}"
    )
