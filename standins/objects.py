"""An object store in memory."""

import hashlib

from standins import faults as faults_module
from vanillaswitch import errors
from vanillaswitch.protocol import platform


class MemoryObjects:
    """Implements ``platform.ObjectStore``.

    Attributes:
        faults: the switches that make it fail.
    """

    def __init__(self, faults: faults_module.Faults | None = None):
        """Makes an empty store.

        Args:
            faults: switches, own ones when not given.
        """
        self.faults = faults or faults_module.Faults()
        self._contents: dict[str, bytes] = {}

    def put(
        self, digest: str, content: bytes
    ) -> platform.Done | platform.Unavailable:
        """Stores an object; storing it again is harmless.

        Raises:
            errors.InvariantError: the digest is not that of the content.
        """
        if hashlib.sha256(content).hexdigest() != digest:
            raise errors.InvariantError(f"{digest} is not the digest")
        return self.faults.read(lambda: self._put(digest, content))

    def get(
        self, digest: str
    ) -> platform.ObjectContent | platform.Missing | platform.Unavailable:
        """Fetches an object."""
        return self.faults.read(lambda: self._get(digest))

    def _put(self, digest: str, content: bytes) -> platform.Done:
        self._contents[digest] = content
        return platform.Done()

    def _get(self, digest: str) -> platform.ObjectContent | platform.Missing:
        if digest not in self._contents:
            return platform.Missing()
        return platform.ObjectContent(self._contents[digest])
