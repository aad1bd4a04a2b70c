"""Charges under way when the process of an entry dies or stands still."""

import gevent
import pytest

from standins import callers as callers_lib
from standins import site as site_lib
from standins import verdicts
from tests.common import deployments
from vanillaswitch.protocol import peers

CHARGES = 6
ANSWERED = verdicts.Result.ANSWERED


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with site_lib.run(tmp_path_factory.mktemp("site")) as made:
        yield made


@pytest.fixture(scope="module")
def callers():
    with callers_lib.run(seed=1) as made:
        yield made


@pytest.mark.parametrize("fault", ["none", "answers lost", "table down"])
def test_an_entry_is_killed_in_the_middle_of_charges(site, callers, fault):
    """Six clerks charge, their connections break, and each asks again.

    The entry is killed while its charges are at the minions: alone, with the
    table's answers lost after each write, or with the table gone meanwhile.
    Nobody else may send them, so the others say "unknown"; a charge that was
    finished and written before gets its first answer.
    """
    with site.entries(3) as entries:
        killed, *others = map(deployments.listen, entries)
        done = callers.new_key()
        whole = callers.charge(killed, done)
        assert whole.result is ANSWERED
        platform = site.running.platform
        deployments.wait_until(
            lambda: (
                deployments.claim_state(platform, done) is peers.ClaimState.DONE
            )
        )
        if fault == "answers lost":
            site.table(lose_answers=10**6)
        used, tasks = deployments.start_charges(site, callers, killed, CHARGES)
        site.table(down=fault == "table down")
        entries[0].kill()
        assert all(told.cut for told in deployments.results(tasks))
        site.hold(False)
        if fault == "table down":
            assert callers.quote(others[0]).result is ANSWERED
            codes = _codes_of_all(callers, others[0], used)
            assert codes == {"claims-unavailable-unknown"}
            site.table(down=False)
        for entry in others:
            assert _codes_of_all(callers, entry, used) == {"outcome-unknown"}
            assert callers.charge(entry, done).body == whole.body
        assert callers.untrue(site.running.counts()) == ()


def test_a_frozen_entry_goes_on_after_others_answered_for_it(site, callers):
    """Clerks whose entry hangs ask elsewhere; then the entry wakes up.

    It is frozen with charges at the minions, and gets more requests that
    nobody reads. Its peer gives it up, all minions but one leave, and the
    clerks hear "unknown" there. Thawed, it gives its callers the whole
    answers, and sends none of the waiting requests to a minion that left.
    """
    with site.entries(2) as entries:
        frozen, other = map(deployments.listen, entries)
        used, tasks = deployments.start_charges(site, callers, frozen, CHARGES)
        entries[0].freeze()
        waiting = [
            gevent.spawn(callers.charge, frozen, callers.new_key())
            for _ in range(CHARGES)
        ]
        waiting += [gevent.spawn(callers.quote, frozen) for _ in range(CHARGES)]
        *left, _ = site.minions
        for name in left:
            site.running.switch_platform(f"instances/{name}/leave")
        assert _codes_of_all(callers, other, used) == {"outcome-unknown"}
        platform = site.running.platform
        deployments.wait_until(lambda: _gone(entries[1]) >= 1)
        deployments.wait_until(
            lambda: deployments.leaving(platform) == set(left)
        )
        before = [site.minions[name].received for name in left]
        entries[0].thaw()
        site.hold(False)
        firsts = deployments.results(tasks)
        assert {told.result for told in firsts} == {ANSWERED}
        found = {told.result for told in deployments.results(waiting)}
        assert ANSWERED in found
        assert found <= {ANSWERED, verdicts.Result.NOT_RUN}
        assert [site.minions[name].received for name in left] == before
        for told, key in zip(firsts, used, strict=True):
            assert callers.charge(other, key).body == told.body
        assert callers.untrue(site.running.counts()) == ()


def _codes_of_all(callers, entry, used):
    asked = [gevent.spawn(callers.charge, entry, key) for key in used]
    return {told.code for told in deployments.results(asked)}


def _gone(process):
    return process.page("counters").get("peers.members_gone", 0)
