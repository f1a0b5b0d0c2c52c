"""Slots of a backend server and the requests that wait for it."""

import bisect
import itertools
import math
from typing import Generic, TypeVar

from vanillamast_sidecar.admission.decaying_rate import DecayingRate
from vanillamast_sidecar.admission.rate_limiter import RateLimiter
from vanillamast_sidecar.warmup.warm_up_limiter import WarmUpLimiter

T = TypeVar("T")

# Weight of the newest duration in a moving mean over about 20 requests.
NEWEST_DURATION_WEIGHT = 0.1
# Mean service time before the first request has arrived.
INITIAL_MEAN_SERVICE_S = 0.1
# Mean service time before the first request has ended, as a share of the time
# that the first request has until its soft deadline.
INITIAL_DURATION_SHARE = 0.4
# Largest share of the slots, and of the rate limit, that more urgent requests
# are expected to take, so that requests of the lowest rank are admitted while
# none wait before them.
MAX_OVERTAKEN_SHARE = 0.8


class AdmissionQueue(Generic[T]):
    """Grants slots by rank, then by soft deadline, within the rate limits.

    The queue only decides; its owner runs the granted requests.

    Attributes:
      slots: Requests that the server runs at once.
      limiter: Rate limit that the server names.
      warm_up: Rate limit while the server is cold; None without one.
      running: Requests that hold a slot.
      at_server: Those of them that were sent to the server.
      mean_service_s: Mean time that a request holds a slot, in seconds.
      mean_service_s_by_route: The same by route.
      recorded: Number of durations that the mean is made of.
      slot_use: Mean number of slots that each rank used recently.
      request_rates: Requests of each rank that ended recently, a second.
      waiting: Sorted (rank, soft_deadline, sequence) of the waiting requests.
      items: Item and expected duration of each, by sequence number.
    """

    def __init__(self, slots: int, warm_up: WarmUpLimiter | None = None):
        self.slots = slots
        self.limiter = RateLimiter()
        self.warm_up = warm_up
        self.running = 0
        self.at_server = 0
        self.mean_service_s = INITIAL_MEAN_SERVICE_S
        self.mean_service_s_by_route: dict[str, float] = {}
        self.recorded = 0
        self.slot_use: dict[int, DecayingRate] = {}
        self.request_rates: dict[int, DecayingRate] = {}
        self.waiting: list[tuple[int, float, int]] = []
        self.items: dict[int, tuple[T, float]] = {}
        self.sequence_numbers = itertools.count()

    @property
    def size(self) -> int:
        """Returns the number of waiting requests."""
        return len(self.waiting)

    def try_acquire_slot(self, now: float) -> bool:
        """Takes a slot if a request may be sent now and no request waits."""
        if self.running >= self.slots or self.waiting:
            return False
        if not self._try_acquire_rate(now):
            return False
        self.running += 1
        return True

    def _try_acquire_rate(self, now: float) -> bool:
        """Takes a token of each rate limit, or none at all."""
        warm_up = self.warm_up
        if warm_up is not None and not warm_up.may_admit(self.unsent, now):
            return False
        if not self.limiter.try_acquire(now):
            return False
        if warm_up is not None:
            warm_up.admit(now)
        return True

    @property
    def unsent(self) -> int:
        """Returns the number of requests with a slot that are not sent yet."""
        return self.running - self.at_server

    def may_send(self, now: float) -> bool:
        """Returns whether a request with a slot may be sent now."""
        return self.warm_up is None or self.warm_up.may_send(now)

    def begin_send(self, now: float) -> None:
        """Counts a request with a slot that is sent to the server."""
        self.at_server += 1
        if self.warm_up is not None:
            self.warm_up.record_sent(now)

    def end_send(self) -> None:
        """Counts the end of a request that was sent to the server."""
        self.at_server -= 1

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
        """Returns how long a request is expected to wait until it is sent.

        More urgent requests that arrive meanwhile overtake it; they are
        expected to use as many slots, and as much of the rate limit, as they
        recently did.
        """
        if self.running < self.slots and not self.waiting:
            return self.rate_delay_s(now)
        durations_ahead = [
            self.items[sequence][1]
            for other_rank, other_deadline, sequence in self.waiting
            if (other_rank, other_deadline) <= (rank, soft_deadline)
        ]
        return max(
            self._wait_for_slot_s(durations_ahead, rank, now),
            self._wait_for_rate_s(len(durations_ahead), rank, now),
        )

    def _wait_for_slot_s(
        self, durations_ahead: list[float], rank: int, now: float
    ) -> float:
        if self.running + len(durations_ahead) < self.slots:
            return 0.0
        slots = max(1, self.slots)
        overtaking_slots = _sum_more_urgent(self.slot_use, rank, now)
        free_share = 1.0 - min(MAX_OVERTAKEN_SHARE, overtaking_slots / slots)
        work_ahead_s = sum(durations_ahead)
        return (work_ahead_s + self.mean_service_s) / (slots * free_share)

    def _wait_for_rate_s(self, ahead: int, rank: int, now: float) -> float:
        wait_s = 0.0
        overtaking = _sum_more_urgent(self.request_rates, rank, now)
        limit = self.limiter.limit_per_s
        if limit is not None:
            free_share = 1.0 - min(MAX_OVERTAKEN_SHARE, overtaking / limit)
            wait_s = self.limiter.delay_s(now, ahead) / free_share
        warm_up = self.warm_up
        if warm_up is None or not warm_up.is_limiting(now):
            return wait_s
        rate_per_s = warm_up.rate_per_s or math.inf
        free_share = 1.0 - min(MAX_OVERTAKEN_SHARE, overtaking / rate_per_s)
        delay_s = warm_up.delay_s(self.unsent, ahead, now) / free_share
        return max(wait_s, min(delay_s, warm_up.cold_until - now))

    def rate_delay_s(self, now: float, ahead: int = 0) -> float:
        """Returns when the rate limits allow a request, in seconds from now.

        Args:
          now: Loop time, in seconds.
          ahead: Number of requests that are sent before it.
        """
        delay_s = self.limiter.delay_s(now, ahead)
        if self.warm_up is None:
            return delay_s
        return max(delay_s, self.warm_up.delay_s(self.unsent, ahead, now))

    def next_grant_s(self, now: float) -> float | None:
        """Returns in how many seconds the rate limits allow the next grant.

        Returns None if no request waits, or if it waits for a slot.
        """
        if not self.waiting or self.running >= self.slots:
            return None
        return self.rate_delay_s(now)

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

    def grant_next(self, now: float) -> T | None:
        """Grants a slot to the next item; None if none may be sent now."""
        if not self.waiting or self.running >= self.slots:
            return None
        if not self._try_acquire_rate(now):
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

    def release_slot(self, sent: bool = True) -> None:
        """Returns a slot.

        Args:
          sent: Whether the request was sent to the server.
        """
        self.running -= 1
        if not sent:
            self.limiter.give_back()
            if self.warm_up is not None:
                self.warm_up.give_back()

    def record_slot_use(self, rank: int, held_s: float, now: float) -> None:
        """Counts how long any ended request, also a failed one, held a slot."""
        self.slot_use.setdefault(rank, DecayingRate()).add(held_s, now)
        self.request_rates.setdefault(rank, DecayingRate()).add(1.0, now)

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


def _sum_more_urgent(
    rates: dict[int, DecayingRate], rank: int, now: float
) -> float:
    """Returns the sum of the rates of the ranks before a rank."""
    return sum(rate.value(now) for other, rate in rates.items() if other < rank)
