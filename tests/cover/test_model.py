"""The laws of the model: what breaks them may judge no policy."""

import pathlib
import subprocess
import sys

import hypothesis
from hypothesis import strategies as st
import pytest

from standins.model import errors
from standins.model import experiment as experiments
from standins.model import judge
from standins.model import machines as modelled
from standins.model import scenario as scenarios
from standins.model import workload
from standins.model import world as worlds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_FILE = pathlib.Path("standins/model/experiments/turns.toml")
_POLICY = scenarios.Policy("now")


def _scenario(*faults, **fields):
    queues = (
        scenarios.Queue("quick", 3, 3.0, 0, 0.5, task_s=0.4, lasting=2),
        scenarios.Queue("long", 3, 0.5, 1, 3.8, width=8.0, cpu=1900.0),
    )
    values = {"seconds": 8.0, "turn_s": 2.0, "standby": 3} | fields
    return scenarios.Scenario("small", queues, fault=tuple(faults), **values)


class _Watched(worlds.World):
    """A world whose laws are looked at after each tick."""

    def _tick(self):
        super()._tick()
        seen: set[jobs.TaskName] = set()
        for machine in self.machines.machines.values():
            if machine.instance is None:
                continue
            capacity = fleet.Resources(
                self.scenario.machine_cpu, self.scenario.machine_mem_mb
            )
            used = machine.instance.used
            assert used.cpu <= capacity.cpu
            assert used.mem_mb <= capacity.mem_mb
            assert not seen & machine.instance.running.keys()
            seen |= machine.instance.running.keys()

    def _start(self, order, now):
        instance = self._instance(order.instance)
        before = len(instance.started) if instance else 0
        super()._start(order, now)
        if instance is None or len(instance.started) == before:
            return
        # What was there before a room has shrunk may fill it for good.
        known = self._scheduler.instances[order.instance].registration.capacity
        assert instance.used.cpu <= known.cpu
        assert instance.used.mem_mb <= known.mem_mb


_FAULT = st.builds(
    scenarios.Fault,
    kind=st.sampled_from(scenarios.FAULTS),
    at=st.floats(0.5, 6.0),
    for_s=st.floats(0.2, 3.0),
    queue=st.sampled_from(["", "quick", "long"]),
    count=st.integers(1, 3),
)


@hypothesis.settings(max_examples=12, deadline=None, derandomize=True)
@hypothesis.given(
    faults=st.lists(_FAULT, max_size=3), seed=st.integers(0, 1000)
)
def test_nothing_runs_twice_and_room_is_kept_whatever_fails(faults, seed):
    # Two of a kind would end each other: the model keeps one switch a kind.
    kinds = {fault.kind for fault in faults}
    hypothesis.assume(len(kinds) == len(faults))
    world = _Watched(_scenario(*faults), _POLICY, 1.0, seed)
    day = world.play()
    total = len(world.machines.machines) * world.machines.now
    kept = world.machines.seconds + world.machines.standby_seconds
    assert kept == pytest.approx(total)
    assert set(day.ended) <= {made.job.job_id for made in day.made}


@pytest.mark.parametrize("kind", ["crashing_tasks", "crashing_steps"])
@pytest.mark.parametrize("seed", range(3))
def test_tasks_that_crash_instances_are_given_up_and_no_others(kind, seed):
    """One bad job takes a pool down, or sound ones are given up with it."""
    fault = scenarios.Fault(kind, 1.0, 6.0, share=0.1)
    world = _Watched(_scenario(fault, seconds=12.0), _POLICY, 2.0, seed)
    day = world.play()
    assert day.given_up == day.bad
    assert day.instances_lost <= 5 * len(day.bad)


def test_a_calm_day_is_served_whole():
    scenario = _scenario(peak=1.5)
    day = worlds.World(scenario, _POLICY, 1.0, 1).play()
    found = judge.judge(scenario, day)
    assert found.credit > 0.97
    assert len(day.ended) == sum(bool(made.durations) for made in day.made)


def test_the_same_seed_gives_the_same_day():
    verdicts = [
        judge.judge(
            _scenario(), worlds.World(_scenario(), _POLICY, 1.0, 3).play()
        )
        for _ in range(2)
    ]
    assert verdicts[0].worth == verdicts[1].worth
    assert verdicts[0].start_ms == verdicts[1].start_ms


def test_a_store_that_is_away_takes_nothing_in():
    away = scenarios.Fault("store_away", at=2.0, for_s=4.0)
    world = worlds.World(_scenario(away), _POLICY, 1.0, 1)
    world.play()
    lost = [
        made
        for made in world.day.made
        if 2.0 < made.at < 2.5 and made.durations
    ]
    assert lost
    assert not any(made.job.job_id in world.day.ended for made in lost)


def test_more_is_asked_for_in_a_turn():
    made = workload.day(_scenario(), 4.0, 1)
    quick = [item for item in made if item.queue.name == "quick"]
    turn = sum(int(item.at // 2.0) % 2 == 0 for item in quick)
    assert turn > 10 * (len(quick) - turn)


def test_machines_on_standby_run_nothing():
    world = worlds.World(_scenario(), _POLICY, 1.0, 1)
    world.play()
    for machine in world.machines.machines.values():
        if machine.pool == modelled.STANDBY:
            assert machine.instance is None


def test_the_experiment_of_the_repository_can_be_read():
    experiment = scenarios.load(_FILE)
    assert "now" in [policy.name for policy in experiment.policy]
    assert experiments.table([]).startswith("| policy |")


@pytest.mark.parametrize(
    ("before", "after", "said"),
    [
        ("machines = 6\n", "machines = -6\n", "machines is -6"),
        ("standby = 6", "standbye = 6", "standbye"),
        ('order = "slack"', 'order = "slak"', "order 'slak' is not one of"),
        ("utilisation = 1.0", "utilization = 1.0", "machines.utilization"),
        ('kind = "dark"', 'kind = "dusk"', "kind 'dusk' is not one of"),
        ("seeds = [1, 2, 3]", "seeds = [", "line"),
    ],
)
def test_a_wrong_field_gets_one_line_that_names_it(
    tmp_path, before, after, said
):
    text = _FILE.read_text()
    assert before in text
    file = tmp_path / "wrong.toml"
    file.write_text(text.replace(before, after, 1))
    with pytest.raises(errors.ExperimentError) as caught:
        scenarios.load(file)
    message = str(caught.value)
    assert message.startswith(str(file))
    assert said in message
    assert "\n" not in message


def test_a_file_that_is_not_there_ends_the_command_with_2(tmp_path):
    missing = tmp_path / "none.toml"
    ran = subprocess.run(
        [sys.executable, "-m", "standins.model", str(missing)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ran.returncode == 2
    assert ran.stderr.startswith(str(missing))
