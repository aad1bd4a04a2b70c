"""One greenlet of lease renewals for each instance that the owner knows."""

import gevent

from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.internal import logs


class InstanceClients:
    """Keeps a renewal loop running for each instance during one term.

    An instance that was considered gone may register again under its id, for
    example after its registration and lease expired. It then needs a new loop;
    otherwise nothing would renew its lease any more.
    """

    def __init__(self, context: instance_client.CallContext):
        self._context = context
        self._clients: dict[str, instance_client.InstanceClient] = {}

    def get(self, name: str) -> instance_client.InstanceClient | None:
        """Returns the object that makes an instance's calls."""
        return self._clients.get(name)

    def start_missing(self) -> None:
        """Starts the loops of instances that have none."""
        for name in list(self._context.scheduler.instances):
            if name not in self._clients:
                client = instance_client.InstanceClient(self._context, name)
                self._clients[name] = client
                gevent.spawn(self._run, name, client)

    def _run(self, name: str, client: instance_client.InstanceClient) -> None:
        """Runs a loop; logs its failure.

        ``start_missing`` starts it again.
        """
        try:
            client.run_until_gone()
        except Exception as error:
            logs.error(
                "lease renewal loop of instance {} failed: {!r}", name, error
            )
        finally:
            del self._clients[name]
