"""Registries of named entries, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from vanillamast_core.errors import DuplicateEntryError, UnknownEntryError

T = TypeVar("T")


class Registry(Generic[T]):
    """Named entries of one sort, registered by a decorator.

    Attributes:
      subject: What the entries are, for error messages.
      entries: The registered entries by name, in order of registration.
    """

    def __init__(self, subject: str):
        self.subject = subject
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its target under a name.

        Args:
          name: The entry's name.

        Raises:
          DuplicateEntryError: The name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self.entries:
                raise DuplicateEntryError(self.subject, name)
            self.entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns the entry registered under a name.

        Raises:
          UnknownEntryError: Nothing is registered under the name.
        """
        try:
            return self.entries[name]
        except KeyError:
            raise UnknownEntryError(self.subject, name, list(self)) from None

    def __iter__(self) -> Iterator[str]:
        return iter(self.entries)

    def __contains__(self, name: object) -> bool:
        return name in self.entries

    def __len__(self) -> int:
        return len(self.entries)
