"""Conditions under which a move is tried: sound and failing versions."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class RequestGroup:
    """A group of requests and the state in which they are sent.

    Attributes:
      to_new_version: Whether they go to the new version.
      server_index: Index of the backend server among those of its version.
      server_domain: Failure domain of the backend server.
      route_index: Index of the route.
      elapsed_s: Time since the start of the move.
      since_full_share_s: Time since share 1 was reached, negative before.
      server_uptime_s: Time since the server started.
      utilization: Fraction of the version's slots that are busy.
      disturbed: Whether a disturbance of both versions is active.
    """

    to_new_version: bool
    server_index: int
    server_domain: int
    route_index: int
    elapsed_s: float
    since_full_share_s: float
    server_uptime_s: float
    utilization: float
    disturbed: bool


@dataclasses.dataclass(slots=True)
class Effect:
    """How a condition changes the outcomes of a group of requests.

    Attributes:
      failure_ratio: Added probability of a failure.
      connect_failure_ratio: Probability that no connection is established.
      latency_factor: Factor on the latency.
      rate_factor: Factor on the request rate. It is read once for all routes,
        from the effect on route 0 of the old version.
    """

    failure_ratio: float = 0.0
    connect_failure_ratio: float = 0.0
    latency_factor: float = 1.0
    rate_factor: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """A behavior of the new version or a failure during the move.

    Attributes:
      name: Name in flags and results.
      regression: Whether the new version should be rolled back.
      effect: Returns how a group of requests is affected.
      lost_domain: Failure domain whose servers fail during the move.
      lost_rack: Whether only the rack with the new version's servers fails.
      rolling_restart: Whether the new version's servers restart one by one.
    """

    name: str
    regression: bool
    effect: Callable[[RequestGroup], Effect]
    lost_domain: int | None = None
    lost_rack: bool = False
    rolling_restart: bool = False


CONDITIONS: dict[str, Condition] = {}


def register_condition(
    name: str,
    regression: bool,
    lost_domain: int | None = None,
    lost_rack: bool = False,
    rolling_restart: bool = False,
) -> Callable[
    [Callable[[RequestGroup], Effect]], Callable[[RequestGroup], Effect]
]:
    """Returns a decorator that registers an effect as a condition."""

    def decorate(
        effect: Callable[[RequestGroup], Effect],
    ) -> Callable[[RequestGroup], Effect]:
        CONDITIONS[name] = Condition(
            name, regression, effect, lost_domain, lost_rack, rolling_restart
        )
        return effect

    return decorate


@register_condition("good", regression=False)
def good(group: RequestGroup) -> Effect:
    """Both versions behave alike."""
    return Effect()


@register_condition("good_noisy_hour", regression=False)
def good_noisy_hour(group: RequestGroup) -> Effect:
    """Bursts of failures hit both versions alike."""
    return Effect(failure_ratio=0.15 if group.disturbed else 0.0)


@register_condition("good_one_bad_instance", regression=False)
def good_one_bad_instance(group: RequestGroup) -> Effect:
    """One instance of the new version fails half of its requests."""
    broken = group.to_new_version and group.server_index == 0
    return Effect(failure_ratio=0.5 if broken else 0.0)


@register_condition("good_domain_lost", regression=False, lost_domain=0)
def good_domain_lost(group: RequestGroup) -> Effect:
    """All servers of a failure domain fail during the move."""
    return Effect()


@register_condition(
    "good_rack_lost", regression=False, lost_domain=0, lost_rack=True
)
def good_rack_lost(group: RequestGroup) -> Effect:
    """A failure domain loses only the servers of the new version."""
    return Effect()


@register_condition("good_cold_starts", regression=False, rolling_restart=True)
def good_cold_starts(group: RequestGroup) -> Effect:
    """Servers are slow in their first 10 s; the new ones restart one by one."""
    return Effect(latency_factor=6.0 if group.server_uptime_s < 10.0 else 1.0)


@register_condition("good_load_surge", regression=False)
def good_load_surge(group: RequestGroup) -> Effect:
    """Surges of traffic slow both versions."""
    return Effect(rate_factor=1.7 if group.disturbed else 1.0)


@register_condition("bad_at_once", regression=True)
def bad_at_once(group: RequestGroup) -> Effect:
    """The new version fails 20% of its requests from the start."""
    return Effect(failure_ratio=0.2 if group.to_new_version else 0.0)


@register_condition("bad_mild", regression=True)
def bad_mild(group: RequestGroup) -> Effect:
    """The new version fails 3% of its requests from the start."""
    return Effect(failure_ratio=0.03 if group.to_new_version else 0.0)


@register_condition("bad_later", regression=True)
def bad_later(group: RequestGroup) -> Effect:
    """The new version fails 20% of its requests from 20 s after share 1."""
    late = group.to_new_version and group.since_full_share_s >= 20.0
    return Effect(failure_ratio=0.2 if late else 0.0)


@register_condition("bad_midway", regression=True)
def bad_midway(group: RequestGroup) -> Effect:
    """The new version fails 20% of its requests from 100 s on."""
    late = group.to_new_version and group.elapsed_s >= 100.0
    return Effect(failure_ratio=0.2 if late else 0.0)


@register_condition("bad_under_load", regression=True)
def bad_under_load(group: RequestGroup) -> Effect:
    """The new version fails 10% of its requests at 20% utilization or more."""
    loaded = group.to_new_version and group.utilization >= 0.2
    return Effect(failure_ratio=0.1 if loaded else 0.0)


@register_condition("bad_one_route", regression=True)
def bad_one_route(group: RequestGroup) -> Effect:
    """The new version fails 30% of the requests of its rarest route."""
    return Effect(
        failure_ratio=0.3
        if group.to_new_version and group.route_index == 2
        else 0.0
    )


@register_condition("bad_connect", regression=True)
def bad_connect(group: RequestGroup) -> Effect:
    """The new version refuses 20% of the connections."""
    return Effect(connect_failure_ratio=0.2 if group.to_new_version else 0.0)


@register_condition("slow_at_once", regression=True)
def slow_at_once(group: RequestGroup) -> Effect:
    """The new version takes three times as long."""
    return Effect(latency_factor=3.0 if group.to_new_version else 1.0)


@register_condition("slow_mild", regression=True)
def slow_mild(group: RequestGroup) -> Effect:
    """The new version takes 1.6 times as long."""
    return Effect(latency_factor=1.6 if group.to_new_version else 1.0)
