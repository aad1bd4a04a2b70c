"""The rows that a controller writes through one maintenance wave."""

import dataclasses
import random

from standins import fleet as fleet_lib
from tests.common import clocks
from tests.common import records
from tests.common import sessions
from vanillaswitch.coordination import controller as controller_lib
from vanillaswitch.coordination import fleet_state
from vanillaswitch.coordination import wave_duty  # noqa: F401
from vanillaswitch.coordination import wave_plan
from vanillaswitch.coordination import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.state import settings as settings_lib

_WAVE = "new-kernel"
_DUTY = f"wave/{_WAVE}"
_STEPS = 200


class _Bench:
    """One controller over a platform in memory, moved by hand."""

    def __init__(self, example: str, service: str):
        wave = config_lib.Wave((service,), config_lib.WaveTarget.MINIONS)
        config = sessions.config_of(example, (service,), data_centres={})
        self.config = dataclasses.replace(config, waves={_WAVE: wave})
        self.clock = clocks.ManualClock()
        fleet = sessions.fleet_of(example, (service,), "123456")
        fleet = dataclasses.replace(fleet, reboot_s=1.0)
        self.platform = fleet_lib.MemoryPlatform(fleet, self.clock)
        self.listings = [member.listing for member in fleet.members]
        self.controller = controller_lib.Controller(
            settings_lib.Settings("controller-1", "dc", "", "", ""),
            self.platform.interface,
            self.clock,
            random.Random(1),
            lambda: self.config,
            lambda _message: None,
        )

    def adopt(self) -> None:
        """Writes the row of each instance, as found in its pool."""
        for one in self.listings:
            row = rows.Instance(
                one.service, one.kind, one.service, one.data_centre, one.rack
            )
            self.put(keys.instance(one.instance), row)

    def start(self) -> None:
        """Starts the wave as the operators' command does."""
        fleet = fleet_state.read(self.platform.interface)
        plan = wave_plan.plan(fleet, self.config, self.config.waves[_WAVE])
        row = wave_state.Wave(
            wave_state.WaveState.RUNNING,
            "run-1",
            plan.rounds,
            self.clock.wall(),
            plan.expected_s,
        )
        self.put(keys.wave(_WAVE), row)

    def put(self, key: str, row: object) -> None:
        """Inserts a row."""
        put = platform.Put(key, platform.ABSENT, rows.dump(row))
        self.platform.table.commit(platform.Transaction(key, (put,)))

    @property
    def state(self) -> str:
        """Where the wave stands."""
        [row] = self.platform.table.read([keys.wave(_WAVE)]).rows
        return row.value["state"]

    def hold(self) -> None:
        """Lets the controller settle in and take its duties."""
        while _DUTY not in self.controller.fences:
            self.pass_time()

    def pass_time(self) -> None:
        """Renews the lease and lets half a second pass."""
        self.controller.tick()
        self.clock.advance(controller_lib.STEP_S)


def record(example: str, service: str) -> str:
    """Runs a wave to its end and returns the record of its rows."""
    bench = _Bench(example, service)
    record = records.Record(hidden=(keys.SESSIONS,))
    table = bench.platform.table
    table.commit = records.recorded(record, table)
    bench.platform.instances.add_listener(
        lambda name, phase: record.add(f"{name} is {phase}")
    )
    record.title("The instances are adopted")
    bench.adopt()
    record.title("The only controller takes the duties")
    bench.hold()
    record.title("An operator starts the wave")
    bench.start()
    for number in range(1, _STEPS):
        if bench.state != wave_state.WaveState.RUNNING:
            break
        record.title(f"Step {number}")
        bench.controller.step(_DUTY)
        bench.pass_time()
    record.title(f"The wave is {bench.state}")
    return record.text()
