"""Slots of a backend server and the requests that wait for one."""

import heapq
import itertools
from typing import Generic, TypeVar

T = TypeVar("T")

# Weight of the newest duration in a mean: about the last 20 requests.
DURATION_WEIGHT = 0.1
# Mean before the first request ended, in seconds.
INITIAL_MEAN_S = 0.1


class AdmissionQueue(Generic[T]):
    """Grants slots by priority, then by arrival.

    The queue decides only; its owner runs what it grants.

    Attributes:
      slots: Requests that the server runs at once.
      running: Requests that hold a slot.
      mean_s: Mean time that a request holds a slot, in seconds.
      route_mean_s: The same by route.
      waiting: Heap of (priority, order, item).
      removed: Orders of entries that left the heap's set but not the heap.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.mean_s = INITIAL_MEAN_S
        self.route_mean_s: dict[str, float] = {}
        self.waiting: list[tuple[int, int, T]] = []
        self.removed: set[int] = set()
        self.order = itertools.count()

    @property
    def size(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.waiting) - len(self.removed)

    def take_slot(self) -> bool:
        """Takes a slot if one is free and nobody waits."""
        if self.running >= self.slots or self.size:
            return False
        self.running += 1
        return True

    def expected_wait_s(self, priority: int) -> float:
        """Returns how long a request of a priority would wait for a slot."""
        ahead = sum(
            1
            for rank, order, _ in self.waiting
            if rank <= priority and order not in self.removed
        )
        excess = self.running + ahead - self.slots + 1
        if excess <= 0:
            return 0.0
        return excess * self.mean_s / max(1, self.slots)

    def expected_duration_s(self, route: str) -> float:
        """Returns how long a request of a route holds a slot."""
        return self.route_mean_s.get(route, self.mean_s)

    def push(self, priority: int, item: T) -> int:
        """Makes an item wait; returns its order."""
        order = next(self.order)
        heapq.heappush(self.waiting, (priority, order, item))
        return order

    def remove(self, order: int) -> None:
        """Takes a waiting item out."""
        if any(entry[1] == order for entry in self.waiting):
            self.removed.add(order)

    def pop(self) -> T | None:
        """Grants a free slot to the next item; None if there is none."""
        while self.waiting and self.running < self.slots:
            _, order, item = heapq.heappop(self.waiting)
            if order in self.removed:
                self.removed.discard(order)
                continue
            self.running += 1
            return item
        return None

    def drain(self) -> list[T]:
        """Takes out all waiting items."""
        items = [
            item
            for _, order, item in sorted(self.waiting, key=lambda e: e[:2])
            if order not in self.removed
        ]
        self.waiting.clear()
        self.removed.clear()
        return items

    def release(self) -> None:
        """Returns a slot."""
        self.running -= 1

    def record(self, route: str, held_s: float) -> None:
        """Counts how long a finished request held its slot."""
        self.mean_s += (held_s - self.mean_s) * DURATION_WEIGHT
        known = self.route_mean_s.get(route)
        if known is None:
            self.route_mean_s[route] = held_s
        else:
            self.route_mean_s[route] = (
                known + (held_s - known) * DURATION_WEIGHT
            )
