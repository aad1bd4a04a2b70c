"""HTTP switches of the stand-in platform, for trials and the demo."""

from collections.abc import Callable
from typing import Any

import falcon

from standins import fleet as fleet_module

_SWITCHES = frozenset(
    {"down", "slow_s", "lose_answers", "drop_calls", "delay_effect"}
)


class _Faults:
    """POST /_standin/faults {"part": "table", "down": true}.

    Without ``part`` all parts are set; ``release_delayed`` releases.
    """

    def __init__(self, standin: fleet_module.MemoryPlatform):
        self._standin = standin

    def on_post(self, request: falcon.Request, _: falcon.Response) -> None:
        wanted = request.get_media()
        parts = self._standin.faults
        part = wanted.pop("part", None)
        if part is not None and part not in parts:
            raise falcon.HTTPBadRequest(description=f"no part {part!r}")
        release = wanted.pop("release_delayed", False)
        if not _SWITCHES.issuperset(wanted):
            raise falcon.HTTPBadRequest(
                description=f"switches are {sorted(_SWITCHES)}"
            )
        for faults in [parts[part]] if part else parts.values():
            for name, value in wanted.items():
                setattr(faults, name, value)
            if release:
                faults.release_delayed()


class _Instance:
    """POST /_standin/instances/{name}/{verb}."""

    def __init__(self, standin: fleet_module.MemoryPlatform):
        instances = standin.instances
        failing = standin.workers.failing_workers
        self._verbs: dict[str, Callable[[str], object]] = {
            "kill": instances.kill,
            "vanish": lambda name: instances.kill(name, vanish=True),
            "leave": instances.leave,
            "freeze": instances.freeze,
            "thaw": instances.thaw,
            "fail-to-return": instances.fail_to_return,
            "fail-tasks": failing.add,
        }

    def on_post(
        self,
        _request: falcon.Request,
        _response: falcon.Response,
        name: str,
        verb: str,
    ) -> None:
        if verb not in self._verbs:
            raise falcon.HTTPBadRequest(
                description=f"verbs are {sorted(self._verbs)}"
            )
        try:
            self._verbs[verb](name)
        except KeyError as error:
            raise falcon.HTTPNotFound from error


class _Jobs:
    """POST /_standin/jobs/{job}: how the tasks of a job really behave."""

    def __init__(self, standin: fleet_module.MemoryPlatform):
        self._workers = standin.workers

    def on_post(
        self, request: falcon.Request, _: falcon.Response, job: str
    ) -> None:
        wanted = request.get_media()
        if "usage_factor" in wanted:
            self._workers.usage_factor[job] = wanted["usage_factor"]
        if "run_time_s" in wanted:
            self._workers.run_time_s[job] = wanted["run_time_s"]
        if wanted.get("fails"):
            self._workers.failing_jobs.add(job)


class _Counters:
    """GET /_standin/counters."""

    def __init__(self, standin: fleet_module.MemoryPlatform):
        self._standin = standin

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        table = self._standin.table
        response.media = {
            "commits": table.commits,
            "reads": table.reads,
            "rows_written": table.rows_written,
            "reboots_in_use": self._standin.instances.reboots_in_use,
            "task_starts": self._standin.workers.starts,
            **self._standin.phases.document(),
        }


def add_routes(app: Any, standin: fleet_module.MemoryPlatform) -> None:
    """Adds the switches to a falcon application."""
    app.add_route("/_standin/faults", _Faults(standin))
    app.add_route("/_standin/instances/{name}/{verb}", _Instance(standin))
    app.add_route("/_standin/jobs/{job}", _Jobs(standin))
    app.add_route("/_standin/counters", _Counters(standin))
