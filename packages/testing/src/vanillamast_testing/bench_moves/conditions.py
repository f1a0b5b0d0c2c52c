"""Conditions under which a move is tried: sound and bad versions."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(slots=True)
class Situation:
    """Where and when a group of requests is sent.

    Attributes:
      new: Whether they go to the new version.
      server: Index of the backend server among those of its version.
      domain: Failure domain of the backend server.
      route: Index of the route.
      elapsed_s: Time since the start of the move.
      since_done_s: Time since share 1 was reached, negative before.
      since_up_s: Time since the server started.
      utilization: Part of the version's slots that is busy.
      disturbed: Whether a disturbance of everything is going on.
    """

    new: bool
    server: int
    domain: int
    route: int
    elapsed_s: float
    since_done_s: float
    since_up_s: float
    utilization: float
    disturbed: bool


@dataclasses.dataclass(slots=True)
class Effect:
    """What a condition adds to a group of requests.

    Attributes:
      failure: Added probability of a failure.
      connect_failure: Probability that no connection is established.
      slowdown: Factor on the latency.
      load: Factor on the request rate; read for route 0 of the old version.
    """

    failure: float = 0.0
    connect_failure: float = 0.0
    slowdown: float = 1.0
    load: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Condition:
    """A kind of version or of trouble.

    Attributes:
      name: Name.
      bad: Whether the new version should be taken back.
      effect: What happens to a group of requests.
      lost_domain: Failure domain whose servers are lost in mid-move.
      lost_rack: Whether only the rack with the new version's servers is lost.
      restarts: Whether the new version's servers restart one by one.
    """

    name: str
    bad: bool
    effect: Callable[[Situation], Effect]
    lost_domain: int | None = None
    lost_rack: bool = False
    restarts: bool = False


CONDITIONS: dict[str, Condition] = {}


def condition(
    name: str,
    bad: bool,
    lost_domain: int | None = None,
    lost_rack: bool = False,
    restarts: bool = False,
) -> Callable[[Callable[[Situation], Effect]], Callable[[Situation], Effect]]:
    """Returns a decorator that registers an effect as a condition."""

    def decorate(
        effect: Callable[[Situation], Effect],
    ) -> Callable[[Situation], Effect]:
        CONDITIONS[name] = Condition(
            name, bad, effect, lost_domain, lost_rack, restarts
        )
        return effect

    return decorate


@condition("good", bad=False)
def good(where: Situation) -> Effect:
    """Both versions are alike."""
    return Effect()


@condition("good_noisy_hour", bad=False)
def good_noisy_hour(where: Situation) -> Effect:
    """Bursts of failures hit both versions alike."""
    return Effect(failure=0.15 if where.disturbed else 0.0)


@condition("good_one_bad_instance", bad=False)
def good_one_bad_instance(where: Situation) -> Effect:
    """One instance of the new version fails half of its requests."""
    broken = where.new and where.server == 0
    return Effect(failure=0.5 if broken else 0.0)


@condition("good_domain_lost", bad=False, lost_domain=0)
def good_domain_lost(where: Situation) -> Effect:
    """All servers of a failure domain vanish in mid-move."""
    return Effect()


@condition("good_rack_lost", bad=False, lost_domain=0, lost_rack=True)
def good_rack_lost(where: Situation) -> Effect:
    """A failure domain loses the new version's servers alone."""
    return Effect()


@condition("good_cold_starts", bad=False, restarts=True)
def good_cold_starts(where: Situation) -> Effect:
    """Servers are slow in their first 10 s; the new ones restart one by one."""
    return Effect(slowdown=6.0 if where.since_up_s < 10.0 else 1.0)


@condition("good_load_surge", bad=False)
def good_load_surge(where: Situation) -> Effect:
    """Surges of traffic slow both versions."""
    return Effect(load=1.7 if where.disturbed else 1.0)


@condition("bad_at_once", bad=True)
def bad_at_once(where: Situation) -> Effect:
    """The new version fails 20% of its requests from the start."""
    return Effect(failure=0.2 if where.new else 0.0)


@condition("bad_mild", bad=True)
def bad_mild(where: Situation) -> Effect:
    """The new version fails 3% of its requests from the start."""
    return Effect(failure=0.03 if where.new else 0.0)


@condition("bad_later", bad=True)
def bad_later(where: Situation) -> Effect:
    """The new version fails 20% of its requests 20 s after share 1."""
    late = where.new and where.since_done_s >= 20.0
    return Effect(failure=0.2 if late else 0.0)


@condition("bad_midway", bad=True)
def bad_midway(where: Situation) -> Effect:
    """The new version fails 20% of its requests from 100 s on."""
    late = where.new and where.elapsed_s >= 100.0
    return Effect(failure=0.2 if late else 0.0)


@condition("bad_under_load", bad=True)
def bad_under_load(where: Situation) -> Effect:
    """The new version fails 10% once a fifth of its slots is busy."""
    loaded = where.new and where.utilization >= 0.2
    return Effect(failure=0.1 if loaded else 0.0)


@condition("bad_one_route", bad=True)
def bad_one_route(where: Situation) -> Effect:
    """The new version fails 30% of the requests of its rarest route."""
    return Effect(failure=0.3 if where.new and where.route == 2 else 0.0)


@condition("bad_connect", bad=True)
def bad_connect(where: Situation) -> Effect:
    """The new version refuses 20% of the connections."""
    return Effect(connect_failure=0.2 if where.new else 0.0)


@condition("slow_at_once", bad=True)
def slow_at_once(where: Situation) -> Effect:
    """The new version takes three times as long."""
    return Effect(slowdown=3.0 if where.new else 1.0)


@condition("slow_mild", bad=True)
def slow_mild(where: Situation) -> Effect:
    """The new version takes 1.6 times as long."""
    return Effect(slowdown=1.6 if where.new else 1.0)
