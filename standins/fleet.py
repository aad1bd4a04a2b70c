"""A typed fleet, and the whole platform in memory over it."""

import dataclasses
import json
import pathlib

import cattrs

from standins import faults as faults_module
from standins import instances
from standins import objects
from standins import phase_log
from standins import table
from standins import workers
from vanillaswitch.internal import clock as clock_module
from vanillaswitch.protocol import platform

MemoryInstances = instances.MemoryInstances
MemoryWorkers = workers.MemoryWorkers


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance of the fleet.

    Attributes:
        listing: what the platform's list says of it.
        control: "ip:port" of the stand-in minion's switches; empty for none.
    """

    listing: platform.Listing
    control: str = ""


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All instances, and how the platform treats them.

    Attributes:
        lag_s: age of the list and of the workers' reports.
        reboot_s: how long a reboot takes.
    """

    members: tuple[Member, ...] = ()
    lag_s: float = 2.0
    reboot_s: float = 5.0


class MemoryPlatform:
    """Every stand-in of the platform over one fleet, each with its faults.

    Attributes:
        table: the table.
        objects: the object store.
        instances: the instances.
        workers: the workers.
        phases: what the instances went through.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: clock_module.Clock,
        on_phase: instances.OnPhase | None = None,
    ):
        """Makes a platform with an empty table and all instances serving."""
        self.table = table.MemoryTable(faults_module.Faults(clock))
        self.objects = objects.MemoryObjects(faults_module.Faults(clock))
        self.instances = instances.MemoryInstances(
            [member.listing for member in fleet.members],
            clock,
            lag_s=fleet.lag_s,
            reboot_s=fleet.reboot_s,
            faults=faults_module.Faults(clock),
            on_phase=on_phase,
        )
        self.phases = phase_log.PhaseLog(
            member.listing for member in fleet.members
        )
        self.instances.add_listener(self.phases.on_phase)
        self.workers = workers.MemoryWorkers(
            self.instances,
            clock,
            lag_s=fleet.lag_s,
            faults=faults_module.Faults(clock),
        )

    @property
    def interface(self) -> platform.Platform:
        """The platform as coordination sees it."""
        return platform.Platform(
            self.table, self.objects, self.instances, self.workers
        )

    @property
    def faults(self) -> dict[str, faults_module.Faults]:
        """The switches by the name of the part that they make fail."""
        return {
            "table": self.table.faults,
            "objects": self.objects.faults,
            "instances": self.instances.faults,
            "workers": self.workers.faults,
        }


def load(path: pathlib.Path) -> Fleet:
    """Reads a fleet from a JSON file.

    Raises:
        cattrs.BaseValidationError: a field is wrong.
        OSError: the file can't be read.
        ValueError: it is not JSON.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    return converter.structure(json.loads(path.read_text()), Fleet)
