"""Queues of requests that wait for a slot on a backend server."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import TYPE_CHECKING

from vanillamast_core.configuration import CallerClass

if TYPE_CHECKING:
    from vanillamast_core.requests.exchange import Exchange


@dataclasses.dataclass(slots=True)
class AdmissionQueue:
    """The queues of one service: one bounded queue for each caller class.

    Attributes:
      classes: Caller classes by name.
      waiting: Waiting requests by caller class, oldest first.
      size: Number of waiting requests.
    """

    classes: dict[str, CallerClass] = dataclasses.field(default_factory=dict)
    waiting: dict[str, "collections.deque[Exchange]"] = dataclasses.field(
        default_factory=dict
    )
    size: int = 0

    def get_class(self, name: str) -> CallerClass:
        """Returns a caller class, with the default values if unknown."""
        found = self.classes.get(name)
        return found if found is not None else _DEFAULT_CLASS

    def count_ahead(self, name: str) -> int:
        """Returns how many queued requests precede a new one of the class."""
        if not self.size:
            return 0
        priority = self.get_class(name).priority
        return sum(
            len(queue)
            for other, queue in self.waiting.items()
            if other == name or self.get_class(other).priority < priority
        )

    def push(self, name: str, exchange: "Exchange") -> bool:
        """Appends a request.

        Returns:
          False if the class's queue is full.
        """
        queue = self.waiting.setdefault(name, collections.deque())
        if len(queue) >= self.get_class(name).queue_limit:
            return False
        queue.append(exchange)
        self.size += 1
        return True

    def remove(self, name: str, exchange: "Exchange") -> None:
        """Removes a request from the queue."""
        self.waiting[name].remove(exchange)
        self.size -= 1

    def iter_heads(self) -> Iterator["Exchange"]:
        """Yields the oldest request of each class, by priority.

        If the consumer removes the yielded request, the next one of the same
        class is yielded.
        """
        names = sorted(
            self.waiting, key=lambda name: self.get_class(name).priority
        )
        for name in names:
            queue = self.waiting[name]
            while queue:
                head = queue[0]
                yield head
                if queue and queue[0] is head:
                    break


_DEFAULT_CLASS = CallerClass()
