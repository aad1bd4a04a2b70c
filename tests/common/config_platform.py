"""An in-memory table and object store for tests of configurations."""

import dataclasses
import random

import greenlet

from standins import faults as faults_module
from standins import objects as objects_module
from standins import table as table_module
from tests.common import clocks
from tests.common import configs
from vanillaswitch.coordination.configuration import config_sync
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform as platform_module
from vanillaswitch.state import canonical
from vanillaswitch.state import config_view


def config_with_cores(cores):
    """Returns an example configuration with this quota of one team."""
    config = configs.example()
    ledger = dataclasses.replace(config.teams["ledger"], cores=float(cores))
    return dataclasses.replace(config, teams={**config.teams, "ledger": ledger})


def body_message(number, config):
    """Returns the message that carries a configuration."""
    body = canonical.dump(config)
    return peers.ConfigBody(number, canonical.digest(body), body)


def ignore_message(message):
    """Discards a message."""
    del message


class ConfigPlatform:
    """A platform with a table and an object store that can fail."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.faults = faults_module.Faults(self.clock)
        self.table = table_module.MemoryTable(self.faults)
        self.objects = objects_module.MemoryObjects()
        self._rng = random.Random(1)

    def platform(self, table=None):
        """Returns a platform with a table and an object store only."""
        return platform_module.Platform(
            table or self.table, self.objects, None, None
        )

    def apply(self, config, started_from, author="ana", table=None):
        """Applies a configuration as an operator does."""
        platform = self.platform(table)
        return rollout.apply(
            platform, self.clock, self._rng, config, author, started_from
        )

    def new_process(self, broadcast=ignore_message):
        """Returns the view and the task of a new process."""
        view = config_view.ConfigView()
        task = config_sync.ConfigSync(
            view, self.table, self.objects, self.clock, broadcast
        )
        return view, task


class InterleavedTable:
    """A table that switches to the parent greenlet before each call.

    It does not recognize the token of an earlier commit, because the interface
    does not promise that. A delayed effect also exhausts the caller's time.

    Attributes:
        fault_switches: faults to switch on for the next commits, taken from
            the end; "" for none.
    """

    def __init__(self, store, fault_switches):
        self.fault_switches = fault_switches
        self._store = store

    def read(self, keys):
        """Lets another operator run first, then reads."""
        greenlet.getcurrent().parent.switch()
        return self._store.table.read(keys)

    def commit(self, transaction):
        """Lets another operator run first, then commits."""
        greenlet.getcurrent().parent.switch()
        [put] = transaction.puts
        found = self._store.table.read([put.key]).rows
        if found and found[0].version != put.version:
            return platform_module.Conflict(found)
        return self._commit(
            transaction,
            self.fault_switches.pop() if self.fault_switches else "",
        )

    def _commit(self, transaction, fault_switch):
        faults = self._store.faults
        if fault_switch:
            setattr(faults, fault_switch, 1)
        outcome = self._store.table.commit(transaction)
        if fault_switch:
            setattr(faults, fault_switch, 0)
        if fault_switch == "delay_effect":
            self._store.clock.advance(rollout.SETTLE_TIMEOUT_S)
        return outcome
