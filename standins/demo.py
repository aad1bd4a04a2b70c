"""The main job on the stand-ins, with a report that people can read.

``python -m standins.demo`` starts three entries and three controllers as
processes, applies a configuration, sends requests of all classes, changes the
configuration, and runs a small maintenance wave under load.
"""

import pathlib
import tempfile

import click
import gevent

from standins import deployment
from standins import load
from standins import load_plan
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder

_RATE_PER_S = 20.0
_WAVE_S = 120.0
_EXAMPLES = {"mare-dues": "examples/mare-dues", "larkspur": "examples/larkspur"}


def class_plans(
    config: config_lib.Config, requests: int
) -> tuple[load_plan.ClassPlan, ...]:
    """Returns one plan for each class, on the first service that has it."""
    plans: dict[str, load_plan.ClassPlan] = {}
    for service, definition in config.services.items():
        for route in definition.routes:
            kind = config.classes[route.request_class].kind
            plans.setdefault(
                route.request_class,
                load_plan.ClassPlan(
                    name=route.request_class,
                    target=f"/{service}{route.path}",
                    requests=requests,
                    rate_per_s=_RATE_PER_S,
                    method=route.method,
                    once=kind is config_lib.RequestKind.ONCE,
                    timeout_ms=3000,
                ),
            )
    return tuple(plans.values())


def report_load(report: load_plan.LoadReport) -> None:
    """Prints a line for each class."""
    click.echo(
        f"  {'class':<16} {'sent':>5} {'answered':>9} {'not run':>8} "
        f"{'unknown':>8} {'wrong':>6} {'p50 ms':>8} {'p99 ms':>8}"
    )
    for figures in report.classes:
        click.echo(
            f"  {figures.name:<16} {figures.sent:>5} {figures.answered:>9} "
            f"{figures.not_run:>8} {figures.unknown:>8} {figures.wrong:>6} "
            f"{figures.p50_ms:>8.1f} {figures.p99_ms:>8.1f}"
        )


def _operate(
    running: deployment.Deployment, *arguments: str, asks: bool = True
) -> None:
    """Runs an operator's command and shows what it said.

    Args:
        running: whose platform the command asks.
        arguments: the command.
        asks: whether the command asks the platform at all.
    """
    click.echo(f"$ vanillaswitch {' '.join(arguments)}")
    where = ("--platform", running.platform) if asks else ()
    code, output = running.command(*arguments, *where)
    for line in output.splitlines()[:30]:
        click.echo(f"  {line}")
    if code != 0:
        raise click.ClickException(f"the command ended with {code}")


def _change(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copies a configuration and adds a file that refines it."""
    for path in sorted(source.glob("*.json")):
        (target / path.name).write_text(path.read_text())
    (target / "90-change.json").write_text(
        '{"policies": {"retry_ratio": 0.05}}\n'
    )


def _wave_name(config: config_lib.Config) -> str:
    """Returns the wave with the fewest services."""
    return min(config.waves, key=lambda name: len(config.waves[name].services))


def _run_wave(running: deployment.Deployment, name: str) -> None:
    _operate(running, "wave", "plan", name)
    _operate(running, "wave", "start", name)
    with gevent.Timeout(_WAVE_S, click.ClickException("the wave hangs")):
        while True:
            _, output = running.command(
                "wave", "status", name, "--platform", running.platform
            )
            if "finished" in output:
                break
            gevent.sleep(0.5)
    _operate(running, "wave", "status", name)


def run(example: pathlib.Path, requests: int) -> None:
    """Runs the whole job once and prints its report."""
    source = example / "config"
    config = check.check(folder.read(source))
    classes = class_plans(config, requests)
    with tempfile.TemporaryDirectory() as name:
        place = pathlib.Path(name)
        shape = deployment.Shape(example)
        with deployment.run(shape, place) as running:
            click.echo(
                f"{len(running.entries)} entries, "
                f"{len(running.controllers)} controllers, "
                f"{len(running.minions)} minions"
            )
            _operate(running, "config", "check", str(source), asks=False)
            _operate(running, "config", "apply", str(source), "--first")
            running.wait_ready()
            click.echo("Requests on a calm fleet:")
            report_load(_load(running, classes, seed=1))
            changed = place / "changed"
            changed.mkdir()
            _change(source, changed)
            _operate(running, "config", "diff", str(changed))
            _operate(running, "config", "apply", str(changed), "--from", "1")
            click.echo("Requests while a wave is running:")
            loading = gevent.spawn(_load, running, classes, seed=2)
            _run_wave(running, _wave_name(config))
            report_load(loading.get())
            _operate(running, "fleet", "status")
            doubled = [k for k, n in running.runs().items() if n > 1]
            click.echo(f"Charges and orders that ran twice: {len(doubled)}")
            codes = [entry.stop() for entry in running.entries.values()]
            click.echo(f"Graceful stops of the entries: exit codes {codes}")


def _load(
    running: deployment.Deployment,
    classes: tuple[load_plan.ClassPlan, ...],
    seed: int,
) -> load_plan.LoadReport:
    """Sends requests to the entries; another seed makes other keys."""
    return load.run(
        load_plan.Plan(seed, classes, entries=running.callers_addresses)
    )


@click.command()
@click.option(
    "--example",
    type=click.Choice(sorted(_EXAMPLES)),
    default="mare-dues",
    show_default=True,
)
@click.option("--requests", default=100, show_default=True)
def main(example: str, requests: int) -> None:
    """Runs the main job on loopback and prints a report."""
    run(pathlib.Path(_EXAMPLES[example]), requests)


if __name__ == "__main__":
    main()
