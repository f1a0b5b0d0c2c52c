"""The backend servers of one service, as this node uses them."""

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

DURATION_WEIGHT = 0.1  # Weight of the newest duration in the mean.
TOO_MANY_REQUESTS = 429


class ServicePool:
    """Chooses backend servers and admits requests for one service.

    Attributes:
      service: Name of the service.
      settings: Settings of the request path.
      failure_domain: Failure domain of this node.
      rng: Random source.
      version: Version that gets the traffic outside a move.
      old: Version that a move's traffic leaves.
      new: Version that it goes to.
      share: Authorized share of the new version.
      split: Chooses between the two; None outside a move.
      views: Usable backend servers by instance.
      by_version: The same, by version.
      panic: Whether the servers are used because none is known to be alive.
      policy: Balancing policy.
      queue: Requests that wait for a slot.
      budget: Bound on retries.
      outliers: Ejection of failing backend servers.
      mean_s: Mean time that a request holds a slot, in seconds.
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
        self.version = ""
        self.old = ""
        self.new = ""
        self.share = 0.0
        self.split: VersionChooser | None = None
        self.views: dict[str, ServerView] = {}
        self.by_version: dict[str, list[ServerView]] = {}
        self.panic = False
        self.policy = balancing_policies.get(settings.policy)()
        self.queue = AdmissionQueue()
        self.budget = RetryBudget(settings)
        self.outliers = OutlierDetector(settings)
        self.mean_s = 0.0

    # Inputs from the control side.

    def set_servers(
        self,
        announcements: list[Announcement],
        panic: bool,
        now: float,
        wall: float,
    ) -> None:
        """Replaces the usable backend servers; known ones keep their view."""
        views = {}
        for announcement in announcements:
            if _is_usable(announcement):
                view = self._view(announcement, now, wall)
                views[announcement.instance] = view
        self.views = views
        self.panic = panic
        self.by_version = {}
        for view in views.values():
            version = view.announcement.server_version
            self.by_version.setdefault(version, []).append(view)
        for servers in self.by_version.values():
            self.outliers.readmit(servers, now)

    def _view(
        self, announcement: Announcement, now: float, wall: float
    ) -> ServerView:
        known = self.views.get(announcement.instance)
        if known is not None and not known.replaced_by(announcement):
            known.update(announcement)
            return known
        age = max(0.0, wall - announcement.serving_since_ms / 1000.0)
        local = announcement.failure_domain == self.failure_domain
        return ServerView(self.settings, announcement, local, now - age)

    def set_split(
        self, old: str, new: str, share: float, split: VersionChooser
    ) -> None:
        """Sets the versions of a move and the new one's share."""
        self.old = old
        self.new = new
        self.share = share
        self.split = split

    def clear_split(self) -> None:
        """Sends all traffic to the service's own version again."""
        self.split = None

    # Choice of a backend server.

    def first_version(self) -> str:
        """Returns the version for the next request's first attempt."""
        if self.split is None:
            return self.version
        if self.share > 0.0 and self.split.choose():
            # The old version may always stand in for the new one; the other
            # way round would exceed the authorized share.
            return self.new if self.by_version.get(self.new) else self.old
        return self.old

    def retry_version(self) -> str:
        """Returns the version for further attempts."""
        if self.split is None:
            return self.version
        if self.share >= 1.0 or not self.by_version.get(self.old):
            return self.new if self.share > 0.0 else self.old
        return self.old

    def choose(
        self,
        version: str,
        caller_class: str,
        tried: list[ServerView],
        now: float,
    ) -> ServerChoice | None:
        """Returns a backend server with a free slot, None if there is none.

        Args:
          version: Version to choose from.
          caller_class: Class whose share of the slots counts.
          tried: Backend servers to leave out.
          now: Monotonic time in seconds.
        """
        max_share = self.queue.caller_class(caller_class).max_share
        local: list[ServerView] = []
        remote: list[ServerView] = []
        for view in self.by_version.get(version, ()):
            if view.ejected_until > now or view in tried:
                continue
            if view.admits(caller_class, max_share):
                (local if view.local else remote).append(view)
        if not local:
            if not remote:
                return None
            candidates, reason = remote, "no_local"
        elif remote and self._overflows(version, remote, now):
            candidates, reason = remote, "overflow"
        else:
            candidates, reason = local, "local"
        if self.panic:
            reason = "panic"
        server = self.policy.choose(candidates, self.rng, now)
        return ServerChoice(server, len(candidates), reason)

    def _overflows(
        self, version: str, remote: list[ServerView], now: float
    ) -> bool:
        """Decides at random whether a request leaves the failure domain.

        The probability grows from 0 at the overflow threshold to the other
        domains' share of the capacity at full utilization.
        """
        busy = capacity = 0.0
        for view in self.by_version[version]:
            if view.local and view.ejected_until <= now:
                busy += view.busy(now)
                capacity += view.capacity(now)
        threshold = self.settings.overflow_at
        utilization = min(1.0, busy / capacity)
        if utilization <= threshold:
            return False
        excess = (utilization - threshold) / (1.0 - threshold)
        outside = sum(view.capacity(now) for view in remote)
        return self.rng.random() < excess * outside / (outside + capacity)

    # Admission.

    def refusal_before_start(self, exchange: "Exchange", now: float) -> str:
        """Returns the kind of refusal for a request that cannot start.

        Returns:
          "" if the request may start or wait.
        """
        if not self._has_server():
            return "no_server"
        ahead = self.queue.blocked_by(exchange.route.caller_class)
        if ahead and self._expected_wait(ahead) > self._patience(exchange, now):
            return "overloaded"
        return ""

    def _has_server(self) -> bool:
        """Returns whether any version that may be chosen has a server."""
        if self.split is None:
            return self.version in self.by_version
        if self.old in self.by_version:
            return True
        return self.share > 0.0 and self.new in self.by_version

    def _patience(self, exchange: "Exchange", now: float) -> float:
        """Returns how long, in seconds, a request may wait for a slot."""
        settings = self.queue.caller_class(exchange.route.caller_class)
        timeout = settings.queue_timeout_ms / 1000.0
        return min(timeout, exchange.deadline.remaining_s(now))

    def _expected_wait(self, ahead: int) -> float:
        slots = sum(view.limiter.limit for view in self.views.values())
        return (ahead + 1) * self.mean_s / max(1.0, slots)

    def admit(self, exchange: "Exchange", now: float) -> ServerChoice | None:
        """Returns a slot for a first attempt, unless others go first."""
        name = exchange.route.caller_class
        if self.queue.blocked_by(name):
            return None
        return self._choose_first(name, now)

    def _choose_first(self, name: str, now: float) -> ServerChoice | None:
        version = self.first_version()
        choice = self.choose(version, name, [], now)
        if choice is None and version == self.new and self.split is not None:
            choice = self.choose(self.old, name, [], now)
        return choice

    def choose_for_retry(
        self, exchange: "Exchange", now: float
    ) -> ServerChoice | None:
        """Returns a slot on another backend server, within the budget.

        A retry does not wait: under overload the slots are for first
        attempts.
        """
        tried = exchange.tried
        if exchange.server is not None:
            tried = [*tried, exchange.server]
        name = exchange.route.caller_class
        choice = self.choose(self.retry_version(), name, tried, now)
        if choice is None or not self.budget.take(now):
            return None
        return choice

    def enqueue(self, exchange: "Exchange", now: float) -> bool:
        """Makes a request wait; returns False if the queue is full."""
        exchange.timer_at = now + self._patience(exchange, now)
        return self.queue.push(exchange.route.caller_class, exchange)

    def dequeue(self, exchange: "Exchange") -> None:
        """Takes a request out of the queue."""
        self.queue.remove(exchange.route.caller_class, exchange)

    def dispatch(self, now: float) -> list[ExchangeEffect]:
        """Admits waiting requests while there are free slots."""
        effects: list[ExchangeEffect] = []
        if not self.queue.size:
            return effects
        for exchange in self.queue.heads():
            name = exchange.route.caller_class
            if now >= exchange.timer_at:
                effects += exchange.handle(TimedOut(), now)
                continue
            choice = self._choose_first(name, now)
            if choice is not None:
                self.queue.remove(name, exchange)
                effects += exchange.handle(Admitted(choice), now)
        return effects

    # Outcomes.

    def attempt_ended(
        self,
        server: ServerView,
        caller_class: str,
        result: AttemptResult,
        held_s: float,
    ) -> None:
        """Returns a slot and adapts the server's limit."""
        server.release(caller_class)
        if result.outcome is not AttemptOutcome.ANSWERED:
            if result.outcome is AttemptOutcome.SHED:
                server.limiter.shed()
            return
        if result.status == TOO_MANY_REQUESTS:
            server.limiter.shed()
        elif result.status < 500:
            server.limiter.succeeded()
        self.mean_s += (held_s - self.mean_s) * DURATION_WEIGHT

    def judge(
        self, server: ServerView, result: AttemptResult, now: float
    ) -> None:
        """Counts an outcome for or against a backend server."""
        if not result.failed:
            if result.outcome is AttemptOutcome.ANSWERED:
                self.outliers.succeeded(server)
            return
        if (
            result.outcome is AttemptOutcome.TIMED_OUT
            and result.latency_s < self.settings.timeout_blame_s
        ):
            return
        peers = self.by_version.get(result.server_version, [])
        self.outliers.failed(server, peers, now)


def _is_usable(announcement: Announcement) -> bool:
    return (
        announcement.state is ServerState.SERVING
        and not announcement.leaving
        and bool(announcement.server_address)
    )
