"""Client accounts: who submits jobs, with which keys and within which limits.

Keys are kept as digests only, so that none can get into a log line, a row or a
message.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib


def digest_key(key: bytes) -> bytes:
    """Returns the SHA-256 digest of an API key."""
    return hashlib.sha256(key).digest()


@dataclasses.dataclass(frozen=True)
class ResourceLimit:
    """What an account may have running at a time, over all pools.

    Attributes:
        cpu: thousandths of a core; 0 for no limit.
        mem_mb: megabytes of memory; 0 for no limit.
        gpu: number of accelerators; 0 for no limit.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account of the operators' configuration.

    Attributes:
        weight: jobs a second that it is entitled to while all is full; also its
            share of a full pool, relative to the weights of other accounts.
        priority: as configured; not used.
        limit: what it may have running at a time.
        key_digests: digests of its API keys.
    """

    name: str
    weight: float = 0.0
    priority: int = 0
    limit: ResourceLimit = ResourceLimit()
    key_digests: frozenset[bytes] = dataclasses.field(
        default=frozenset(), repr=False
    )


class AccountDirectory:
    """The accounts of one version of the configuration; immutable."""

    def __init__(self, accounts: Iterable[ClientAccount] = ()):
        """Indexes accounts by name and key.

        Args:
            accounts: in the order of the configuration. A key that several of
                them have belongs to the first, see ``shared_keys``.
        """
        self._by_name: dict[str, ClientAccount] = {}
        self._by_digest: dict[bytes, ClientAccount] = {}
        self._shared_keys: list[tuple[str, str]] = []
        for account in accounts:
            self._by_name[account.name] = account
            for digest in account.key_digests:
                holder = self._by_digest.setdefault(digest, account)
                if holder is not account:
                    self._shared_keys.append((holder.name, account.name))

    @property
    def by_name(self) -> Mapping[str, ClientAccount]:
        """The accounts by name."""
        return self._by_name

    @property
    def shared_keys(self) -> tuple[tuple[str, str], ...]:
        """For each key of two accounts, its holder and the other account."""
        return tuple(self._shared_keys)

    def find_by_key(self, key: bytes) -> ClientAccount | None:
        """Returns the account that holds an API key, None for an unknown key.

        Digests are compared instead of keys, so the time that this takes tells
        nothing about the keys.
        """
        return self._by_digest.get(digest_key(key))
