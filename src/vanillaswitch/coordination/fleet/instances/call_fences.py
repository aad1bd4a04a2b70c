"""Fencing tokens of the calls to instances that restart under their id.

A call without an answer may be executed seconds later, by whichever incarnation
is up then. A hold would acknowledge ends that this incarnation has not listed
yet, and a start would run a task a second time. An incarnation refuses all
calls with a lower token than it has seen. So each incarnation is called with a
higher token than any former one. The owner's writes supply the tokens: their
versions grow during a term, and the token of the next term is higher still.
"""

import dataclasses

from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import instance_state


@dataclasses.dataclass(frozen=True)
class _Fence:
    """The token of the calls to one incarnation.

    Attributes:
        incarnation: see ``Instance.incarnation``.
    """

    incarnation: int
    token: int


class CallFences:
    """The tokens of one term, by id of the instance.

    They outlive the records of the instances: an id that comes back gets a
    higher token than it had before.
    """

    def __init__(self, writer: fenced_writer.FencedWriter):
        """Starts with the token of the term for every instance."""
        self._writer = writer
        self._by_instance: dict[str, _Fence] = {}

    def token(self, instance: instance_state.Instance) -> int | None:
        """Returns the token for calls to the current incarnation.

        Returns:
            None if the owner has written nothing since the former incarnation
            was called, so that there is no higher token yet.
        """
        known = self._by_instance.get(instance.name)
        if known is None:
            token = self._writer.token
        elif known.incarnation == instance.incarnation:
            return known.token
        else:
            token = self._writer.last_written_version
            if token <= known.token:
                return None
        self._by_instance[instance.name] = _Fence(instance.incarnation, token)
        return token

    def is_newest(self, name: str, token: int) -> bool:
        """Whether no call to an instance has had a higher token."""
        known = self._by_instance.get(name)
        return known is None or token >= known.token
