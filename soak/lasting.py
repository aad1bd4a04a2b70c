"""Services of a soak whose tasks last, and how many of them are away.

Their clients ask that no more of their tasks are ended by orders than each job
spares. Judged by what instances run: an order that ends a task at work breaks
the promise beside as many others that are away.
"""

from typing import Any

import gevent

from soak import clients
from soak import promises as promise_lib
from soak import world as worlds
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs
from vanillaswitch.transport import plain_http

FIRST = 1
"""Number of the first service; jobs of clients begin at a million."""


def _body(scale: worlds.Scale) -> dict[str, Any]:
    """Returns the job of a service as clients hand it in."""
    step = {
        "count": scale.tasks,
        "cpu": 500,
        "mem_mb": 100,
        "long_running": True,
        "may_miss": 1,
        "anti_affinity": scale.tasks_per_instance,
    }
    return {"spec": "service", "steps": [step]}


class Services:
    """The services of one soak, from their hand-in to their cancel."""

    def __init__(self, world: worlds.World):
        self._world = world
        self._body = _body(world.scale)
        self._records: list[promise_lib.JobRecord] = []

    def begin(self) -> None:
        """Hands the services in, each until it is accepted."""
        with plain_http.open_client(clocks.SystemClock()) as client:
            for number in range(FIRST, FIRST + self._world.scale.services):
                job_id = f"{number:016x}"
                account = self._world.account_of(job_id)
                record = promise_lib.JobRecord(
                    clients.parse(self._body, job_id, account)
                )
                self._world.promises.records[record.job.job_id] = record
                self._records.append(record)
                self._hand_in(client, record)

    def _hand_in(
        self, client: plain_http.PlainClient, record: promise_lib.JobRecord
    ) -> None:
        while record.accepted_at is None:
            status, _ = clients.call(
                client, self._world, "POST", record.job, self._body
            )
            if status == clients.OK:
                record.accepted_at = self._world.promises.now
            else:
                gevent.sleep(clients.PAUSE_S)

    def end(self, settle_s: float) -> None:
        """Waits until all tasks are at work again, and cancels the services."""
        until = self._world.promises.now + settle_s
        names = [name for item in self._records for name in _tasks(item.job)]
        promises = self._world.promises
        while promises.now < until and not promises.at_work.issuperset(names):
            gevent.sleep(clients.PAUSE_S)
        for name in names:
            if name not in promises.at_work:
                promises.breach("lasts", f"{name} did not come back")
        with plain_http.open_client(clocks.SystemClock()) as client:
            for record in self._records:
                record.cancel_sent = True
                while record.cancelled_at is None:
                    clients.cancel(client, self._world, record)


def _tasks(job: jobs.Job) -> list[jobs.TaskName]:
    return [
        jobs.TaskName(job.job_id, 0, 0, index)
        for index in range(job.steps[0].count)
    ]
