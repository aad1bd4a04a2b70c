"""One task of calls for each instance that the owner knows."""

import gevent

from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.internal import logs


class InstanceTasks:
    """Keeps a task running for each instance while the term lasts.

    An instance that was taken as gone may register again under its id, as one
    whose entry and lease had lapsed; it then needs a new task, or nobody
    would hold it any more.
    """

    def __init__(self, means: instance_task.Means):
        self._means = means
        self._tasks: dict[str, instance_task.InstanceTask] = {}

    def get(self, name: str) -> instance_task.InstanceTask | None:
        """Returns an instance's task."""
        return self._tasks.get(name)

    def ensure(self) -> None:
        """Starts the tasks that are missing."""
        for name in list(self._means.core.instances):
            if name not in self._tasks:
                task = instance_task.InstanceTask(self._means, name)
                self._tasks[name] = task
                gevent.spawn(self._run, name, task)

    def _run(self, name: str, task: instance_task.InstanceTask) -> None:
        """Runs a task; one that fails is told of and started anew."""
        try:
            task.run()
        except Exception as error:
            logs.error("the calls to {} failed: {!r}", name, error)
        finally:
            del self._tasks[name]
