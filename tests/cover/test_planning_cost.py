"""What a plan costs when far more waits than there is room for."""

from hypothesis import given
from hypothesis import strategies as st

from tests.common import fleets
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

INSTANCES = 40
WAITING = 200


def test_steps_that_wait_for_a_full_pool_look_at_no_instance(monkeypatch):
    """Each start waits for seconds in a turn that asks for too much.

    Hundreds of steps waited for a pool without room, and each plan, made at
    every end, let each of them look at every instance: 72 ms a plan with 276
    instances and 300 jobs waiting, 6 ms now.
    """
    core = fleets.new_core()
    names = [f"i-{number}" for number in range(INSTANCES)]
    fleets.adopt(core, *names, cpu=4000)
    step = jobs.Step(count=4, cpu=2000)
    for number in range(WAITING + INSTANCES // 2):
        core.job_added(fleets.job(number, (step,)), 0.0)
    assert len(fleets.plan(core).starts) == 2 * INSTANCES
    looked = []
    fits = rooms.Instance.fits

    def counted(instance, need):
        looked.append(instance)
        return fits(instance, need)

    monkeypatch.setattr(rooms.Instance, "fits", counted)
    assert not fleets.plan(core).starts
    assert not looked


_ROOM = st.integers(0, 4)


@given(
    st.lists(st.tuples(_ROOM, _ROOM, _ROOM), max_size=4),
    st.tuples(_ROOM, _ROOM, _ROOM),
)
def test_what_fits_somewhere_is_always_admitted(free, need):
    instances = []
    for number, capacity in enumerate(free):
        registration = fleets.registration(f"i-{number}")
        instance = rooms.Instance(registration, 0.0)
        object.__setattr__(registration, "capacity", fleet.Resources(*capacity))
        instances.append(instance)
    wanted = fleet.Resources(*need)
    if any(instance.fits(wanted) for instance in instances):
        assert placement.Widest(instances).admits(wanted)


def test_a_pool_without_instances_admits_nothing():
    assert not placement.Widest([]).admits(fleet.Resources(0, 0))
