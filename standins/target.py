"""Configurations and fleets of any share of the target size.

What the letter leaves open is assumed: one service and one duty for each
pool, six minions for each service as today, one task for each accelerator but
two a pool, two jobs a pool.
"""

import dataclasses
import json
import pathlib
from typing import Any

import cattrs

from vanillaswitch.protocol import platform

WORKERS = 1300
POOLS = 153
TEAMS = 33
DATA_CENTRES = 7
MINIONS_A_SERVICE = 6
JOBS_A_POOL = 2
RACK = 4
CORES = 16.0
MEMORY_MB = 65_536
ACCELERATORS = 2


@dataclasses.dataclass(frozen=True)
class Size:
    """How large a fleet is; services are as many as pools."""

    pools: int = POOLS
    workers: int = WORKERS
    teams: int = TEAMS
    data_centres: int = DATA_CENTRES
    minions: int = MINIONS_A_SERVICE
    waves: int = 2

    def workers_of(self, pool: int) -> int:
        """Returns how many workers a pool has."""
        share, extra = divmod(self.workers, self.pools)
        return share + (pool < extra)


def scaled(share: float) -> Size:
    """Returns a share of the target."""
    return Size(
        pools=max(1, round(POOLS * share)),
        workers=max(1, round(WORKERS * share)),
        teams=max(1, round(TEAMS * share)),
    )


def document(size: Size) -> dict[str, Any]:
    """Returns a configuration as its folder would hold it."""
    services = [_service(number) for number in range(size.pools)]
    return {
        "data_centres": {
            _data_centre(n): {"region": f"region-{n % 2}"}
            for n in range(size.data_centres)
        },
        "classes": {
            "quote": {"priority": 0, "kind": "idempotent", "weight": 6},
            "charge": {"priority": 1, "kind": "once", "weight": 3},
        },
        "services": {name: _service_fields(size) for name in services},
        "pools": {
            name: {"service": name, "workers": size.workers_of(number)}
            for number, name in enumerate(services)
        },
        "teams": {
            f"team-{n:02}": {
                "cores": CORES * size.workers,
                "memory_mb": MEMORY_MB * size.workers,
                "accelerators": ACCELERATORS * size.workers,
            }
            for n in range(size.teams)
        },
        "jobs": _jobs(size),
        "waves": {
            f"wave-{target}": {"services": services, "targets": target}
            for target in ("minions", "workers")[: size.waves]
        },
    }


def _service_fields(size: Size) -> dict[str, Any]:
    budget = {"minions_down": 2, "workers_down": 2}
    if size.workers < 3 * size.pools:
        budget = {"minions_down": 1, "workers_down": 0}
    return {
        "availability_budget": budget,
        "routes": [
            {"method": "POST", "path": "/quotes", "request_class": "quote"},
            {"method": "POST", "path": "/charges", "request_class": "charge"},
        ],
        "minions": max(size.minions, 2),
    }


def _jobs(size: Size) -> dict[str, Any]:
    return {
        f"job-{pool:03}-{number}": {
            "pool": _service(pool),
            "team": f"team-{pool % size.teams:02}",
            "tasks": max(1, size.workers_of(pool) - 1),
            "cores": 4.0,
            "memory_mb": 8192,
            "accelerators": 1,
            "urgent": number == 0,
            "checkpoints": number == 1,
        }
        for pool in range(size.pools)
        for number in range(JOBS_A_POOL)
    }


def listings(size: Size) -> tuple[platform.Listing, ...]:
    """Returns the list of minions and workers; minions have no address."""
    found = []
    for pool in range(size.pools):
        kinds = [platform.InstanceKind.MINION] * size.minions
        kinds += [platform.InstanceKind.WORKER] * size.workers_of(pool)
        for number, kind in enumerate(kinds):
            found.append(_listing(size, pool, number, kind))
    return tuple(found)


def _listing(
    size: Size, pool: int, number: int, kind: platform.InstanceKind
) -> platform.Listing:
    data_centre = _data_centre((pool + number // RACK) % size.data_centres)
    is_worker = kind is platform.InstanceKind.WORKER
    return platform.Listing(
        instance=f"{_service(pool)}-{kind}-{number:02}",
        kind=kind,
        state=platform.ListedState.LIVE,
        data_centre=data_centre,
        rack=f"rack-{pool:03}-{number // RACK}",
        service="" if is_worker else _service(pool),
        cores=CORES,
        memory_mb=MEMORY_MB,
        accelerators=ACCELERATORS if is_worker else 0,
    )


def write(size: Size, folder: pathlib.Path) -> None:
    """Writes an example folder: ``config`` and ``fleet.json``."""
    config = folder / "config"
    config.mkdir(parents=True)
    (config / "10-all.json").write_text(json.dumps(document(size)))
    fleet = {"instances": cattrs.unstructure(listings(size))}
    (folder / "fleet.json").write_text(json.dumps(fleet))


def _service(number: int) -> str:
    return f"service-{number:03}"


def _data_centre(number: int) -> str:
    return f"hall-{number}"
