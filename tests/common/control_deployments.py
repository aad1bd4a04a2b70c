"""What tests of maintenance with real processes ask of a deployment."""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import shutil

import gevent

from standins import callers as callers_lib
from standins import deployment
from tests.common import deployments
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform as platform_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.transport import platform_http

EXAMPLE = pathlib.Path("examples/mare-dues")
DUTY = "wave/{}"


def refined(folder, **parts):
    """Returns a copy of the example's configuration with parts refined."""
    shutil.copytree(EXAMPLE / "config", folder)
    (folder / "90-refined.json").write_text(json.dumps(parts))
    return folder


def wave(*services, canary=4):
    """Returns a wave over the minions of services."""
    return {
        "services": services,
        "targets": "minions",
        "canary": canary,
    }


class Control:
    """A running deployment as operators and the platform see it."""

    def __init__(self, running, platform):
        self.running = running
        self._platform = platform
        self._numbers = iter(range(100, 200))

    @property
    def counters(self):
        """What the platform counted."""
        return deployment.fetch(self.running.platform, "/_standin/counters")

    def faults(self, part="table", **switches):
        """Sets switches of a part of the platform."""
        self.running.switch_platform("faults", part=part, **switches)

    def operate(self, *arguments):
        """Runs an operator's command; returns exit code and output."""
        where = ("--platform", self.running.platform)
        return self.running.command(*arguments, *where)

    def row(self, key, kind):
        """Returns a typed row of the table; None when it is missing."""
        found = self._platform.table.read([key]).rows
        return rows.load(kind, found[0].value) if found else None

    @property
    def config_number(self):
        """The number of the configuration in force."""
        return self.row(keys.CONFIG_HEAD, rows.ConfigHead).number

    def started(self, job):
        """Returns the places of a job's tasks in the order of all starts."""
        starts = self.counters["task_starts"]
        return [place for place, name in enumerate(starts) if name == job]

    def minions(self, *services):
        """Returns the names of the minions of services."""
        return {
            name
            for name, minion in self.running.minions.items()
            if minion.service in services
        }

    def wait_adopted(self):
        """Waits until every minion belongs to a pool."""
        wanted = {keys.instance(name) for name in self.running.minions}
        deployments.wait_until(
            lambda: (
                wanted
                <= {
                    row.key
                    for row in self._platform.table.scan(keys.INSTANCES).rows
                }
            )
        )

    def phase_count(self, names, *phases):
        """Returns how many of some instances are in one of some phases."""
        now = self.counters["phases"]
        return sum(now[name] in phases for name in names)

    def drained(self, names):
        """Returns those of some instances that were ever drained."""
        return self.counters["drains"].keys() & names

    def wait_phase(self, names, *phases):
        """Waits until one of some instances is in one of some phases."""
        deployments.wait_until(lambda: self.phase_count(names, *phases))

    def duty(self, name):
        """Returns the duty row of a wave."""
        return self.row(keys.duty(DUTY.format(name)), rows.Duty)

    def holder(self, name):
        """Returns the process that holds a wave, once one does."""
        deployments.wait_until(
            lambda: getattr(self.duty(name), "holder", "") in self._living()
        )
        return self.running.controllers[self.duty(name).holder]

    def wait_taken_over(self, name, epoch):
        """Waits until a wave has another holder than that of an epoch."""
        deployments.wait_until(lambda: self.duty(name).epoch > epoch)

    def wave(self, name):
        """Returns the row of a wave."""
        return self.row(keys.wave(name), wave_state.Wave)

    def wait_finished(self, name):
        """Waits until a wave is over."""
        finished = wave_state.WaveState.FINISHED
        deployments.wait_until(lambda: self.wave(name).state is finished)

    @contextlib.contextmanager
    def outage(self, processes):
        """Takes the table away, until each process saw it, or longer."""
        before = {p.name: _failed(p) for p in processes}
        self.faults(down=True)
        try:
            deployments.wait_until(
                lambda: all(_failed(p) >= before[p.name] + 2 for p in processes)
            )
            yield
        finally:
            self.faults(down=False)

    def start_controller(self):
        """Starts a controller under a new name."""
        name = f"controller-{next(self._numbers)}"
        return self.running.start_controller(name)

    def _living(self):
        return {n for n, p in self.running.controllers.items() if p.running}


@contextlib.contextmanager
def run(folder, config, entries, controllers) -> Iterator[Control]:
    """Yields a ready deployment with a configuration in force."""
    shape = deployment.Shape(
        EXAMPLE,
        entries,
        controllers,
        work_ms=1.0,
        reboot_s=0.3,
        lag_s=0.2,
        lease_s=1.5,
    )
    with (
        deployment.run(shape, folder) as running,
        platform_http.connect(running.platform) as platform,
    ):
        made = Control(running, platform)
        code, output = made.operate("config", "apply", str(config), "--first")
        assert code == 0, output
        running.wait_ready()
        made.wait_adopted()
        yield made


@contextlib.contextmanager
def clerks(control, service, seed):
    """Yields callers who ask for quotes and charges without a pause."""
    entries = control.running.callers_addresses
    with callers_lib.run(seed, service) as callers:

        def ask(entry):
            while True:
                callers.quote(entry)
                callers.charge(entry, callers.new_key())

        asking = [gevent.spawn(ask, entry) for entry in entries]
        try:
            yield callers
        finally:
            gevent.killall(asking)


def _failed(process):
    return process.page("counters")["config.polls_failed"]


def listed(platform):
    """Returns the platform's list by name."""
    with platform_http.connect(platform) as connected:
        found = connected.instances.list()
    assert isinstance(found, platform_lib.Listings)
    return {one.instance: one for one in found.instances}
