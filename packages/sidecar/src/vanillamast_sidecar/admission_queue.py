"""Slots of a backend server and the requests that wait for one."""

import bisect
import itertools
from typing import Generic, TypeVar

from vanillamast_sidecar.decaying_rate import DecayingRate

T = TypeVar("T")

# Weight of the newest duration in a mean: about the last 20 requests.
DURATION_WEIGHT = 0.1
# Mean before the first request ended, in seconds.
INITIAL_MEAN_S = 0.1
# Part of the slots that more urgent requests are expected to take at most: a
# request of any rank is admitted while nothing waits before it.
MOST_OVERTAKEN = 0.8


class AdmissionQueue(Generic[T]):
    """Grants slots by rank, then by the time at which a request is due.

    The queue decides only; its owner runs what it grants.

    Attributes:
      slots: Requests that the server runs at once.
      running: Requests that hold a slot.
      mean_s: Mean time that a request holds a slot, in seconds.
      route_mean_s: The same by route.
      used: Slots that the requests of each rank took lately.
      waiting: Sorted (rank, due, order) of the waiting requests.
      items: Item and expected duration of each, by order.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.mean_s = INITIAL_MEAN_S
        self.route_mean_s: dict[str, float] = {}
        self.used: dict[int, DecayingRate] = {}
        self.waiting: list[tuple[int, float, int]] = []
        self.items: dict[int, tuple[T, float]] = {}
        self.order = itertools.count()

    @property
    def size(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.waiting)

    def take_slot(self) -> bool:
        """Takes a slot if one is free and nobody waits."""
        if self.running >= self.slots or self.waiting:
            return False
        self.running += 1
        return True

    def expected_wait_s(self, rank: int, due: float, now: float) -> float:
        """Returns how long a request would wait for a slot.

        More urgent requests that arrive meanwhile overtake it; they are
        expected to take as many slots as lately.
        """
        if self.running < self.slots and not self.waiting:
            return 0.0
        ahead = sum(
            self.items[order][1]
            for place, at, order in self.waiting
            if (place, at) <= (rank, due)
        )
        slots = max(1, self.slots)
        overtaken = sum(
            rate.value(now) for place, rate in self.used.items() if place < rank
        )
        left = 1.0 - min(MOST_OVERTAKEN, overtaken / slots)
        return (ahead + self.mean_s) / (slots * left)

    def expected_duration_s(self, route: str) -> float:
        """Returns how long a request of a route holds a slot."""
        return self.route_mean_s.get(route, self.mean_s)

    def push(self, rank: int, due: float, duration_s: float, item: T) -> int:
        """Makes an item wait; returns its order."""
        order = next(self.order)
        bisect.insort(self.waiting, (rank, due, order))
        self.items[order] = (item, duration_s)
        return order

    def remove(self, order: int) -> None:
        """Takes a waiting item out."""
        if self.items.pop(order, None) is not None:
            self.waiting = [e for e in self.waiting if e[2] != order]

    def pop(self) -> T | None:
        """Grants a free slot to the next item; None if there is none."""
        if not self.waiting or self.running >= self.slots:
            return None
        _, _, order = self.waiting.pop(0)
        self.running += 1
        return self.items.pop(order)[0]

    def drain(self) -> list[T]:
        """Takes out all waiting items."""
        items = [self.items[order][0] for _, _, order in self.waiting]
        self.waiting.clear()
        self.items.clear()
        return items

    def release(self) -> None:
        """Returns a slot."""
        self.running -= 1

    def record_use(self, rank: int, held_s: float, now: float) -> None:
        """Counts the slot that a finished request held, whatever its end."""
        rate = self.used.get(rank)
        if rate is None:
            rate = DecayingRate()
            self.used[rank] = rate
        rate.add(held_s, now)

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
