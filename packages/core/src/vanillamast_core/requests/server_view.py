"""This node's state for one backend server."""

import dataclasses

from vanillamast_core.announcement import Announcement
from vanillamast_core.requests.concurrency_limiter import ConcurrencyLimiter
from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True, eq=False)
class ServerView:
    """One process of a backend server, as this node observes it.

    A restarted process gets a new view; exchanges that began with the old
    view release their slots there.

    Attributes:
      settings: Settings of the request path.
      announcement: The newest announcement.
      same_domain: Whether the server is in this node's failure domain.
      serving_since: Monotonic time, in seconds, when it began to serve.
      limiter: Limit on requests in flight from this node.
      outstanding: Requests in flight from this node.
      outstanding_by_class: Requests in flight by caller class.
      last_chosen: Round robin's sequence number of the last choice.
      consecutive_failures: Consecutive failures.
      ejections: Number of ejections; each success lowers it by 1.
      ejected_until: Monotonic time, in seconds, when the ejection ends.
      reported_load: Load that the server reported, 0 to 1.
      load_reported_at: Monotonic time, in seconds, of that report.
    """

    settings: RequestSettings
    announcement: Announcement
    same_domain: bool
    serving_since: float
    limiter: ConcurrencyLimiter = dataclasses.field(init=False)
    outstanding: int = 0
    outstanding_by_class: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    last_chosen: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    reported_load: float = 0.0
    load_reported_at: float = 0.0

    def __post_init__(self) -> None:
        self.limiter = ConcurrencyLimiter(
            self.settings,
            self.announcement.slots,
            self.announcement.connections,
        )

    def is_replaced_by(self, announcement: Announcement) -> bool:
        """Returns whether the announcement belongs to another process."""
        own = self.announcement
        return (
            own.server_address != announcement.server_address
            or own.server_version != announcement.server_version
            or own.serving_since_ms != announcement.serving_since_ms
        )

    def update(self, announcement: Announcement) -> None:
        """Applies a newer announcement of the same process."""
        self.announcement = announcement
        self.limiter.resize(announcement.slots, announcement.connections)

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is still in slow start."""
        return now - self.serving_since < self.settings.slow_start_s

    def capacity(self, now: float) -> float:
        """Returns the limit, lowered during slow start."""
        age = now - self.serving_since
        span = self.settings.slow_start_s
        if age >= span:
            return self.limiter.limit
        floor = self.settings.slow_start_floor
        warm_up = floor + (1.0 - floor) * max(0.0, age) / span
        return self.limiter.limit * warm_up

    def estimated_in_flight(self, now: float) -> float:
        """Estimates the server's requests in flight, from all nodes.

        This is the larger of this node's requests in flight and the number
        that the reported load implies, so a report can raise the estimate but
        not lower it. The report's weight decays with its age.
        """
        load = self.reported_load
        if load <= 0.0:
            return float(self.outstanding)
        age = now - self.load_reported_at
        implied = load * self.announcement.slots
        implied *= 0.5 ** (age / self.settings.load_half_life_s)
        return max(float(self.outstanding), implied)

    def score(self, now: float) -> float:
        """Returns the utilization with one more request; lower is better."""
        return (self.estimated_in_flight(now) + 1.0) / self.capacity(now)

    def admits(self, caller_class: str, max_share: float) -> bool:
        """Returns whether a request of the class may start here."""
        limit = self.limiter.limit
        if self.outstanding + 1 > limit:
            return False
        if max_share >= 1.0:
            return True
        share = max(1.0, limit * max_share)
        return self.outstanding_by_class.get(caller_class, 0) + 1 <= share

    def acquire(self, caller_class: str) -> None:
        """Takes a slot for a request that starts."""
        self.outstanding += 1
        self.outstanding_by_class[caller_class] = (
            self.outstanding_by_class.get(caller_class, 0) + 1
        )

    def release(self, caller_class: str) -> None:
        """Frees the slot of a request that ended."""
        self.outstanding -= 1
        self.outstanding_by_class[caller_class] -= 1

    def report_load(self, load: float, now: float) -> None:
        """Stores a load, 0 to 1, that the backend server reported."""
        self.reported_load = min(1.0, max(0.0, load))
        self.load_reported_at = now
