"""The backend servers of one service and the requests that wait for them."""

import random
from typing import TYPE_CHECKING

from vanillamast_core.announcement import Announcement
from vanillamast_core.requests.admission_queue import AdmissionQueue
from vanillamast_core.requests.attempt_result import (
    AttemptOutcome,
    AttemptResult,
)
from vanillamast_core.requests.balancing import balancing_policies
from vanillamast_core.requests.exchange_effects import ExchangeEffect
from vanillamast_core.requests.exchange_events import Admitted, TimedOut
from vanillamast_core.requests.outlier_detector import OutlierDetector
from vanillamast_core.requests.retry_budget import RetryBudget
from vanillamast_core.requests.server_choice import ServerChoice
from vanillamast_core.requests.server_view import ServerView
from vanillamast_core.requests.settings import RequestSettings
from vanillamast_core.requests.version_chooser import VersionChooser
from vanillamast_core.server_state import ServerState

if TYPE_CHECKING:
    from vanillamast_core.requests.exchange import Exchange

MEAN_DURATION_WEIGHT = 0.1  # Weight of the newest duration in the mean.
TOO_MANY_REQUESTS = 429


class ServicePool:
    """Chooses backend servers and admits requests for one service.

    Attributes:
      service: Name of the service.
      settings: Settings of the request path.
      failure_domain: Failure domain of this node.
      rng: Random number generator.
      default_version: Server version that gets the traffic outside a move.
      old_version: Server version that a move takes traffic from.
      new_version: Server version that the move shifts the traffic to.
      new_share: Authorized share of the new version.
      version_chooser: Chooses between the two versions; None outside a
        move.
      servers: Usable backend servers by instance.
      servers_by_version: The same servers by server version.
      panic: Whether some version has no usable server, so that servers last
        known to serve are included.
      policy: Balancing policy.
      queue: Requests that wait for a slot.
      retry_budget: Limit on retries.
      outlier_detector: Ejection of failing backend servers.
      mean_duration_s: Mean time that a request holds a slot.
    """

    def __init__(
        self,
        service: str,
        settings: RequestSettings,
        failure_domain: str,
        rng: random.Random,
    ):
        self.service = service
        self.settings = settings
        self.failure_domain = failure_domain
        self.rng = rng
        self.default_version = ""
        self.old_version = ""
        self.new_version = ""
        self.new_share = 0.0
        self.version_chooser: VersionChooser | None = None
        self.servers: dict[str, ServerView] = {}
        self.servers_by_version: dict[str, list[ServerView]] = {}
        self.panic = False
        self.policy = balancing_policies.get(settings.policy)()
        self.queue = AdmissionQueue()
        self.retry_budget = RetryBudget(settings)
        self.outlier_detector = OutlierDetector(settings)
        self.mean_duration_s = 0.0

    # Inputs from the control plane.

    def set_servers(
        self,
        announcements: list[Announcement],
        panic: bool,
        now: float,
        wall: float,
    ) -> None:
        """Replaces the usable backend servers; known ones keep their state."""
        servers = {}
        for announcement in announcements:
            if _is_usable(announcement):
                server = self._get_or_create_server(announcement, now, wall)
                servers[announcement.instance] = server
        self.servers = servers
        self.panic = panic
        self.servers_by_version = {}
        for server in servers.values():
            version = server.announcement.server_version
            self.servers_by_version.setdefault(version, []).append(server)
        for same_version in self.servers_by_version.values():
            self.outlier_detector.end_excess_ejections(same_version, now)

    def _get_or_create_server(
        self, announcement: Announcement, now: float, wall: float
    ) -> ServerView:
        known = self.servers.get(announcement.instance)
        if known is not None and not known.is_replaced_by(announcement):
            known.update(announcement)
            return known
        age = max(0.0, wall - announcement.serving_since_ms / 1000.0)
        same_domain = announcement.failure_domain == self.failure_domain
        return ServerView(self.settings, announcement, same_domain, now - age)

    def set_split(
        self, old: str, new: str, share: float, chooser: VersionChooser
    ) -> None:
        """Sets the versions of a move and the share of the new version."""
        self.old_version = old
        self.new_version = new
        self.new_share = share
        self.version_chooser = chooser

    def clear_split(self) -> None:
        """Sends all traffic to the service's default version."""
        self.version_chooser = None

    # Choice of a backend server.

    def choose_first_version(self) -> str:
        """Chooses the server version for a first attempt."""
        if self.version_chooser is None:
            return self.default_version
        if self.new_share > 0.0 and self.version_chooser.choose():
            # The old version may always replace the new one; the reverse
            # would exceed the authorized share.
            return (
                self.new_version
                if self.servers_by_version.get(self.new_version)
                else self.old_version
            )
        return self.old_version

    def choose_retry_version(self) -> str:
        """Chooses the server version for a retry."""
        if self.version_chooser is None:
            return self.default_version
        if self.new_share >= 1.0 or not self.servers_by_version.get(
            self.old_version
        ):
            return (
                self.new_version if self.new_share > 0.0 else self.old_version
            )
        return self.old_version

    def choose(
        self,
        version: str,
        caller_class: str,
        tried: list[ServerView],
        now: float,
    ) -> ServerChoice | None:
        """Chooses a backend server with a free slot, None if there is none.

        Args:
          version: Server version to choose from.
          caller_class: Caller class whose share of the slots counts.
          tried: Backend servers to exclude.
          now: Monotonic time in seconds.
        """
        max_share = self.queue.get_class(caller_class).max_share
        same_domain: list[ServerView] = []
        cross_domain: list[ServerView] = []
        for server in self.servers_by_version.get(version, ()):
            if server.ejected_until > now or server in tried:
                continue
            if server.admits(caller_class, max_share):
                (same_domain if server.same_domain else cross_domain).append(
                    server
                )
        if not same_domain:
            if not cross_domain:
                return None
            candidates, reason = cross_domain, "no_local"
        elif cross_domain and self._should_overflow(version, cross_domain, now):
            candidates, reason = cross_domain, "overflow"
        else:
            candidates, reason = same_domain, "local"
        if self.panic:
            reason = "panic"
        chosen = self.policy.choose(candidates, self.rng, now)
        return ServerChoice(chosen, len(candidates), reason)

    def _should_overflow(
        self, version: str, cross_domain: list[ServerView], now: float
    ) -> bool:
        """Decides at random whether a request goes to another domain.

        The probability grows from 0 at the overflow threshold to the other
        domains' share of the capacity at full utilization.
        """
        in_flight = capacity = 0.0
        for server in self.servers_by_version[version]:
            if server.same_domain and server.ejected_until <= now:
                in_flight += server.estimated_in_flight(now)
                capacity += server.capacity(now)
        threshold = self.settings.overflow_at
        utilization = min(1.0, in_flight / capacity)
        if utilization <= threshold:
            return False
        excess = (utilization - threshold) / (1.0 - threshold)
        outside = sum(server.capacity(now) for server in cross_domain)
        return self.rng.random() < excess * outside / (outside + capacity)

    # Admission.

    def refusal_before_start(self, exchange: "Exchange", now: float) -> str:
        """Returns the refusal kind for a request that must not start.

        Returns:
          "" if the request may start or wait.
        """
        if not self._has_server():
            return "no_server"
        ahead = self.queue.count_ahead(exchange.route.caller_class)
        if ahead and self._expected_wait_s(ahead) > self._max_wait_s(
            exchange, now
        ):
            return "overloaded"
        return ""

    def _has_server(self) -> bool:
        """Returns whether an eligible server version has a usable server."""
        if self.version_chooser is None:
            return self.default_version in self.servers_by_version
        if self.old_version in self.servers_by_version:
            return True
        return (
            self.new_share > 0.0 and self.new_version in self.servers_by_version
        )

    def _max_wait_s(self, exchange: "Exchange", now: float) -> float:
        """Returns how long a request may wait for a slot."""
        caller_class = self.queue.get_class(exchange.route.caller_class)
        timeout_s = caller_class.queue_timeout_ms / 1000.0
        return min(timeout_s, exchange.deadline.remaining_s(now))

    def _expected_wait_s(self, ahead: int) -> float:
        slots = sum(server.limiter.limit for server in self.servers.values())
        return (ahead + 1) * self.mean_duration_s / max(1.0, slots)

    def admit(self, exchange: "Exchange", now: float) -> ServerChoice | None:
        """Returns a slot for a first attempt, None if others precede it."""
        name = exchange.route.caller_class
        if self.queue.count_ahead(name):
            return None
        return self._choose_for_first_attempt(name, now)

    def _choose_for_first_attempt(
        self, caller_class: str, now: float
    ) -> ServerChoice | None:
        version = self.choose_first_version()
        choice = self.choose(version, caller_class, [], now)
        if (
            choice is None
            and version == self.new_version
            and self.version_chooser is not None
        ):
            choice = self.choose(self.old_version, caller_class, [], now)
        return choice

    def choose_for_retry(
        self, exchange: "Exchange", now: float
    ) -> ServerChoice | None:
        """Returns a slot on another backend server, if the budget allows.

        Retries are not queued: under overload, slots go to first attempts.
        """
        tried = exchange.tried_servers
        if exchange.server is not None:
            tried = [*tried, exchange.server]
        name = exchange.route.caller_class
        choice = self.choose(self.choose_retry_version(), name, tried, now)
        if choice is None or not self.retry_budget.try_take(now):
            return None
        return choice

    def enqueue(self, exchange: "Exchange", now: float) -> bool:
        """Queues a request; returns False if the queue is full."""
        exchange.timer_at = now + self._max_wait_s(exchange, now)
        return self.queue.push(exchange.route.caller_class, exchange)

    def dequeue(self, exchange: "Exchange") -> None:
        """Removes a request from the queue."""
        self.queue.remove(exchange.route.caller_class, exchange)

    def dispatch(self, now: float) -> list[ExchangeEffect]:
        """Admits waiting requests to free slots."""
        effects: list[ExchangeEffect] = []
        if not self.queue.size:
            return effects
        for exchange in self.queue.iter_heads():
            name = exchange.route.caller_class
            if now >= exchange.timer_at:
                effects += exchange.handle(TimedOut(), now)
                continue
            choice = self._choose_for_first_attempt(name, now)
            if choice is not None:
                self.queue.remove(name, exchange)
                effects += exchange.handle(Admitted(choice), now)
        return effects

    # Results of attempts.

    def release_slot(
        self,
        server: ServerView,
        caller_class: str,
        result: AttemptResult,
        held_s: float,
    ) -> None:
        """Frees a slot and adjusts the server's concurrency limit."""
        server.release(caller_class)
        if result.outcome is not AttemptOutcome.ANSWERED:
            if result.outcome is AttemptOutcome.SHED:
                server.limiter.record_shed()
            return
        if result.status == TOO_MANY_REQUESTS:
            server.limiter.record_shed()
        elif result.status < 500:
            server.limiter.record_success()
        self.mean_duration_s += (
            held_s - self.mean_duration_s
        ) * MEAN_DURATION_WEIGHT

    def record_result(
        self, server: ServerView, result: AttemptResult, now: float
    ) -> None:
        """Counts a result as a success or failure for outlier detection."""
        if not result.failed:
            if result.outcome is AttemptOutcome.ANSWERED:
                self.outlier_detector.record_success(server)
            return
        if (
            result.outcome is AttemptOutcome.TIMED_OUT
            and result.latency_s < self.settings.timeout_blame_s
        ):
            return
        peers = self.servers_by_version.get(result.server_version, [])
        self.outlier_detector.record_failure(server, peers, now)


def _is_usable(announcement: Announcement) -> bool:
    return (
        announcement.state is ServerState.SERVING
        and not announcement.leaving
        and bool(announcement.server_address)
    )
