"""Registries that decorators fill: behaviour that varies, chosen by name."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from vanillaswitch import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Named variants of one behaviour."""

    def __init__(self, kind: str):
        """Makes an empty registry.

        Args:
            kind: what the variants are, for messages ("routing policy").
        """
        self._kind = kind
        self._variants: dict[str, T] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """The registered names in alphabetical order."""
        return tuple(sorted(self._variants))

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that files its target under ``name``."""

        def decorate(variant: T) -> T:
            if name in self._variants:
                raise errors.InvariantError(
                    f"{self._kind} {name!r} is registered twice"
                )
            self._variants[name] = variant
            return variant

        return decorate

    def get(self, name: str) -> T:
        """Returns the variant called ``name``.

        Raises:
            errors.UnknownVariantError: no such name is registered.
        """
        try:
            return self._variants[name]
        except KeyError:
            raise errors.UnknownVariantError(
                self._kind, name, self.names
            ) from None
