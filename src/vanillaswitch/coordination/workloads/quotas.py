"""Quotas of teams, counted over all pools by what their tasks need."""

from collections.abc import Iterable
from collections.abc import Mapping

from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys


def quota_of(config: config_lib.Config, team: str) -> task_rows.ResourceVector:
    """Returns a team's quota; a team that is not declared may use nothing."""
    declared = config.teams.get(team)
    if declared is None:
        return task_rows.NO_RESOURCES
    return task_rows.ResourceVector(
        declared.cores, declared.memory_mb, declared.accelerators
    )


def usage_by_team(
    placed: Iterable[tuple[str, task_rows.ResourceVector]],
) -> dict[str, task_rows.ResourceVector]:
    """Returns the resources that each team uses.

    Args:
        placed: team and need of each task. Tasks that are being stopped
            count too: they hold their resources until they are gone.
    """
    total: dict[str, task_rows.ResourceVector] = {}
    for team, need in placed:
        total[team] = total.get(team, task_rows.NO_RESOURCES).plus(need)
    return total


def conflict_puts(
    teams: Iterable[str], versions: Mapping[str, int], duty: str
) -> list[platform.Put]:
    """Returns the writes that make concurrent starts for a team conflict.

    Two duties may start tasks for one team at the same time, and neither sees
    the other's tasks. Every transaction that starts tasks carries these
    writes, so that one of the two conflicts and counts the quota again.

    Args:
        teams: the teams whose tasks are started.
        versions: of the teams' quota rows, read before the task rows.
        duty: key of the duty that starts the tasks.
    """
    return [
        platform.Put(
            keys.quota(team),
            versions.get(team, platform.ABSENT),
            {"duty": duty},
        )
        for team in sorted(teams)
    ]
