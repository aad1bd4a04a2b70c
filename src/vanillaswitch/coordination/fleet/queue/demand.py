"""What a pool's tasks ask for, by what room is still worth to their jobs.

Load pattern: queues take turns, and the backlog of one that is over goes on
asking for all machines while the next one begins. Taken together, work that
nobody waits for any more counts as much as what can be in time.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.queue import book
from vanillaswitch.coordination.fleet.queue import queue_order


@dataclasses.dataclass(frozen=True)
class Demand:
    """Thousandths of a core that tasks use and wait for.

    Attributes:
        useful: of tasks that last, and of jobs that can be in time.
        late: of jobs that are late and still of use.
        past_use: of jobs that are of no use any more.
    """

    useful: int = 0
    late: int = 0
    past_use: int = 0

    def plus(self, group: queue_order.Group, cpu: int) -> "Demand":
        """Returns the demand with that of one more step."""
        if group <= queue_order.Group.IN_TIME:
            return dataclasses.replace(self, useful=self.useful + cpu)
        if group == queue_order.Group.LATE:
            return dataclasses.replace(self, late=self.late + cpu)
        return dataclasses.replace(self, past_use=self.past_use + cpu)


def by_pool(
    entries: Iterable[book.Entry],
    service_of: Callable[[book.Entry], str],
    group_of: Callable[[book.OpenStep], queue_order.Group],
) -> dict[str, Demand]:
    """Adds up the demand of each pool.

    Args:
        entries: jobs that have not ended.
        service_of: returns the pool of a job.
        group_of: returns what room is worth to an open step.
    """
    found: dict[str, Demand] = {}
    for entry in entries:
        service = service_of(entry)
        for step in entry.open.values():
            cpu = book.need(step.step).cpu * step.unfinished
            known = found.get(service, Demand())
            found[service] = known.plus(group_of(step), cpu)
    return found
