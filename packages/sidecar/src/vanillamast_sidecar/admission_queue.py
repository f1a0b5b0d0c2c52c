"""Slots of a backend server and the requests that wait for one."""

import bisect
import itertools
from typing import Generic, TypeVar

from vanillamast_sidecar.decaying_rate import DecayingRate

T = TypeVar("T")

# Weight of the newest duration in a moving mean over about 20 requests.
NEWEST_DURATION_WEIGHT = 0.1
# Mean service time before the first request has arrived.
INITIAL_MEAN_SERVICE_S = 0.1
# Mean service time before the first request has ended, as a share of the time
# that the first request has until its soft deadline.
INITIAL_DURATION_SHARE = 0.4
# Largest share of the slots that more urgent requests are expected to take,
# so that requests of the lowest rank are admitted while none wait before them.
MAX_OVERTAKEN_SHARE = 0.8


class AdmissionQueue(Generic[T]):
    """Grants slots by rank, then by soft deadline.

    The queue only decides; its owner runs the granted requests.

    Attributes:
      slots: Requests that the server runs at once.
      running: Requests that hold a slot.
      mean_service_s: Mean time that a request holds a slot, in seconds.
      mean_service_s_by_route: The same by route.
      recorded: Number of durations that the mean is made of.
      slot_use: Mean number of slots that each rank used recently.
      waiting: Sorted (rank, soft_deadline, sequence) of the waiting requests.
      items: Item and expected duration of each, by sequence number.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.mean_service_s = INITIAL_MEAN_SERVICE_S
        self.mean_service_s_by_route: dict[str, float] = {}
        self.recorded = 0
        self.slot_use: dict[int, DecayingRate] = {}
        self.waiting: list[tuple[int, float, int]] = []
        self.items: dict[int, tuple[T, float]] = {}
        self.sequence_numbers = itertools.count()

    @property
    def size(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.waiting)

    def try_acquire_slot(self) -> bool:
        """Takes a slot if one is free and no request waits."""
        if self.running >= self.slots or self.waiting:
            return False
        self.running += 1
        return True

    def assume_duration(self, remaining_s: float) -> None:
        """Estimates the mean service time while no request has ended.

        A restarted node else takes requests for shorter than they are, and
        queues more of them than can end in time.

        Args:
          remaining_s: Time until a request's soft deadline.
        """
        if not self.recorded:
            self.mean_service_s = max(
                INITIAL_MEAN_SERVICE_S, remaining_s * INITIAL_DURATION_SHARE
            )

    def expected_wait_s(
        self, rank: int, soft_deadline: float, now: float
    ) -> float:
        """Returns how long a request is expected to wait for a slot.

        More urgent requests that arrive meanwhile overtake it; they are
        expected to use as many slots as they recently did.
        """
        if self.running < self.slots and not self.waiting:
            return 0.0
        work_ahead_s = sum(
            self.items[sequence][1]
            for other_rank, other_deadline, sequence in self.waiting
            if (other_rank, other_deadline) <= (rank, soft_deadline)
        )
        slots = max(1, self.slots)
        overtaking_slots = sum(
            rate.value(now)
            for other_rank, rate in self.slot_use.items()
            if other_rank < rank
        )
        free_share = 1.0 - min(MAX_OVERTAKEN_SHARE, overtaking_slots / slots)
        return (work_ahead_s + self.mean_service_s) / (slots * free_share)

    def expected_duration_s(self, route: str) -> float:
        """Returns how long a request of a route is expected to hold a slot."""
        return self.mean_service_s_by_route.get(route, self.mean_service_s)

    def enqueue(
        self, rank: int, soft_deadline: float, duration_s: float, item: T
    ) -> int:
        """Adds a waiting item; returns its sequence number."""
        sequence = next(self.sequence_numbers)
        bisect.insort(self.waiting, (rank, soft_deadline, sequence))
        self.items[sequence] = (item, duration_s)
        return sequence

    def remove(self, sequence: int) -> None:
        """Removes a waiting item, if it still waits."""
        if self.items.pop(sequence, None) is not None:
            self.waiting = [e for e in self.waiting if e[2] != sequence]

    def grant_next(self) -> T | None:
        """Grants a free slot to the next item; None if either is missing."""
        if not self.waiting or self.running >= self.slots:
            return None
        _, _, sequence = self.waiting.pop(0)
        self.running += 1
        return self.items.pop(sequence)[0]

    def remove_all(self) -> list[T]:
        """Removes and returns all waiting items."""
        items = [self.items[sequence][0] for _, _, sequence in self.waiting]
        self.waiting.clear()
        self.items.clear()
        return items

    def release_slot(self) -> None:
        """Returns a slot."""
        self.running -= 1

    def record_slot_use(self, rank: int, held_s: float, now: float) -> None:
        """Counts how long any ended request, also a failed one, held a slot."""
        rate = self.slot_use.get(rank)
        if rate is None:
            rate = DecayingRate()
            self.slot_use[rank] = rate
        rate.add(held_s, now)

    def record_duration(self, route: str, held_s: float) -> None:
        """Updates the mean service times with an ended request."""
        self.recorded += 1
        weight = max(NEWEST_DURATION_WEIGHT, 1.0 / self.recorded)
        self.mean_service_s += (held_s - self.mean_service_s) * weight
        mean_s = self.mean_service_s_by_route.get(route)
        if mean_s is None:
            self.mean_service_s_by_route[route] = held_s
        else:
            self.mean_service_s_by_route[route] = (
                mean_s + (held_s - mean_s) * NEWEST_DURATION_WEIGHT
            )
