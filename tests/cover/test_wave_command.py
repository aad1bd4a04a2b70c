"""The operators' commands ``wave`` and ``fleet``."""

import contextlib
import json

from click import testing
import pytest

from tests.common import fleet_harness
from vanillaswitch.cli import fleet as fleet_cli
from vanillaswitch.cli import wave as wave_cli
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.coordination.maintenance import wave_duty  # noqa: F401
from vanillaswitch.state import config as config_lib

WAVE = config_lib.Wave(("quotes",), config_lib.WaveTarget.MINIONS)
AT = ["--platform", "127.0.0.1:1"]


class Operator:
    """Runs commands against a bench."""

    def __init__(self, minions_down: int = 2):
        config = fleet_harness.build_config(
            minions_down=minions_down, waves={"kernel": WAVE}
        )
        self.bench = fleet_harness.FleetHarness(
            fleet_harness.minion_listings(), config
        )
        platform = self.bench.platform.interface
        rollout.apply(
            platform, self.bench.clock, self.bench.rng, config, "op", 0
        )

    def run(self, *args: str):
        """Returns the exit code and the output of a command."""
        group = {"wave": wave_cli.command, "fleet": fleet_cli.command}[args[0]]
        outcome = testing.CliRunner().invoke(
            group,
            [*args[1:], *AT],
            obj=lambda _: contextlib.nullcontext(self.bench.platform.interface),
        )
        return outcome.exit_code, outcome.output


def test_a_wave_is_planned_started_paused_and_resumed():
    operator = Operator()
    code, text = operator.run("wave", "plan", "kernel")
    assert (code, text.splitlines()[0]) == (0, "4 rounds, about 520 s")
    assert operator.run("wave", "start", "kernel")[0] == 0
    assert operator.run("wave", "start", "kernel")[0] == 1
    assert operator.run("wave", "pause", "kernel")[0] == 0
    for _ in range(4):
        operator.bench.step("wave/kernel")
    assert not operator.bench.instances_not_serving()
    assert operator.run("wave", "start", "kernel")[0] == 0
    while operator.bench.fleet().waves["kernel"].row.state == "running":
        operator.bench.step("wave/kernel")
    code, text = operator.run("wave", "status", "--json")
    assert len(json.loads(text)["kernel"]["done"]) == 6
    code, text = operator.run("fleet", "explain", "wave/kernel")
    rules = ["wave started", "wave paused", "wave resumed", "wave finished"]
    assert [rule for rule in rules if rule in text] == rules


def test_a_wave_that_can_not_finish_is_refused_before_it_starts():
    operator = Operator(minions_down=0)
    code, text = operator.run("wave", "plan", "kernel")
    assert code == 1
    assert "cannot finish: quotes: its budget allows no minion" in text
    assert operator.run("wave", "start", "kernel")[0] == 1
    assert not operator.bench.fleet().waves


@pytest.mark.parametrize(
    ("args", "expected"),
    [
        (["wave", "plan", "unknown"], 1),
        (["wave", "pause", "kernel"], 1),
        (["wave", "status", "kernel"], 1),
        (["wave", "plan"], 2),
        (["fleet", "status"], 0),
    ],
)
def test_the_exit_code_tells_what_happened(args, expected):
    assert Operator().run(*args)[0] == expected


def test_commands_tell_that_the_platform_is_away():
    operator = Operator()
    operator.bench.platform.table.faults.down = True
    assert operator.run("wave", "start", "kernel")[0] == 3
    assert operator.run("fleet", "status")[0] == 3


def worker_operator():
    """An operator of three workers, of which one may be down."""
    pools = {"batch": config_lib.Pool("quotes", 3)}
    config = fleet_harness.build_config(minions=0, pools=pools, workers_down=1)
    operator = Operator()
    operator.bench = fleet_harness.FleetHarness(
        fleet_harness.worker_listings(3), config, lambda _: ("batch", "quotes")
    )
    rollout.apply(
        operator.bench.platform.interface,
        operator.bench.clock,
        operator.bench.rng,
        config,
        "op",
        0,
    )
    return operator


def test_a_cordon_is_set_within_the_budget_and_taken_back():
    operator = worker_operator()
    why = ["--reason", "disk"]
    assert operator.run("fleet", "cordon", "worker-000", *why)[0] == 0
    assert operator.run("fleet", "cordon", "worker-000", *why)[0] == 1
    code, text = operator.run("fleet", "cordon", "worker-001", *why)
    assert (code, "1 of 1 allowed" in text) == (1, True)
    assert operator.run("fleet", "uncordon", "worker-001", *why)[0] == 1
    assert operator.run("fleet", "uncordon", "unknown", *why)[0] == 1
    assert operator.run("fleet", "uncordon", "worker-000")[0] == 2
    assert operator.run("fleet", "uncordon", "worker-000", *why)[0] == 0
    row = operator.bench.fleet().members["worker-000"].row
    assert (row.cordoned, row.reason) == (False, "")
    code, text = operator.run("fleet", "explain", "instance/worker-000")
    assert [text.count(w) for w in ("cordon lifted", "disk")] == [1, 2]


def test_of_two_operators_at_one_cordon_the_second_is_told():
    operator = worker_operator()
    why = ["--reason", "disk"]
    operator.bench.before_next_commit(
        lambda: operator.run("fleet", "cordon", "worker-001", *why)
    )
    code, text = operator.run("fleet", "cordon", "worker-000", *why)
    assert (code, "has changed meanwhile" in text) == (1, True)
