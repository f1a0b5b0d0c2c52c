"""Tests of load balancing, admission and route matching at a fixed time."""

import collections
import random

import msgspec
import pytest
from vanillamast_core import Announcement, ServerState
from vanillamast_core.configuration import CallerClass, Route, Service
from vanillamast_core.requests import (
    Attempt,
    BodyEnded,
    Exchange,
    ExchangeEffect,
    HeadersReceived,
    NotRun,
    Refusal,
    Refuse,
    RequestInputs,
    RequestRouter,
    RequestSettings,
    Wait,
    balancing_policies,
)

NOW = 1000.0
CLASSES = {
    "interactive": CallerClass(priority=0, queue_limit=100),
    "background": CallerClass(priority=5, max_share=0.5, queue_limit=100),
}
ROUTES = {
    "pages": Route("/", "pages"),
    "audit": Route("/audit", "pages", caller_class="background"),
}


class NeverNewVersion:
    """A version chooser that never chooses the new version."""

    def __init__(self, share: float, rng: random.Random):
        self.share = share

    def choose(self) -> bool:
        """Returns False."""
        return False


def server(index: int, domain: str = "a", **changes: object) -> Announcement:
    """Returns the announcement of a server whose slow start is over."""
    announcement = Announcement(
        f"i{index}",
        1,
        "r",
        domain,
        "",
        service="pages",
        server_version="v1",
        server_address=f"127.0.0.1:{index + 1}",
        state=ServerState.SERVING,
        slots=10,
    )
    return msgspec.structs.replace(announcement, **changes)


def make_router(
    servers: list[Announcement], policy: str = "power_of_two"
) -> RequestRouter:
    """Returns a router with the given backend servers."""
    router = RequestRouter(
        RequestSettings(policy=policy), "a", random.Random(3), NeverNewVersion
    )
    router.set_routes(ROUTES, CLASSES, {"pages": Service("v1")})
    router.set_servers("pages", servers, False, NOW, NOW)
    return router


def begin(
    router: RequestRouter, path: str = "/"
) -> tuple[Exchange, list[ExchangeEffect]]:
    """Starts one request."""
    exchange = router.route("GET", path, RequestInputs(), NOW)
    assert isinstance(exchange, Exchange)
    return exchange, router.start(exchange, NOW)


def end(router: RequestRouter, exchange: Exchange) -> list[ExchangeEffect]:
    """Ends one request with a complete response."""
    number = exchange.attempts
    router.handle(exchange, HeadersReceived(number, 200), NOW)
    return router.handle(exchange, BodyEnded(number), NOW)


class TestBalancing:
    """Balancing policies, slow start, overflow and reported load."""

    @pytest.mark.parametrize("policy", list(balancing_policies))
    def test_equal_servers_get_equal_work(self, policy: str) -> None:
        """Guards against a policy that prefers a server for no reason."""
        router = make_router([server(i) for i in range(4)], policy)
        for _ in range(40):
            begin(router)
        held = [
            v.outstanding for v in router.get_pool("pages").servers.values()
        ]
        assert sum(held) == 40
        assert max(held) <= 10

    def test_cold_server_gets_little(self) -> None:
        """Guards against overloading a server that has just started."""
        cold = server(0, serving_since_ms=int(NOW * 1000))
        router = make_router([cold, server(1)])
        counts: collections.Counter[str] = collections.Counter()
        for _ in range(10):
            _, effects = begin(router)
            assert isinstance(effects[0], Attempt)
            counts[effects[0].decision.instance] += 1
        assert counts["i0"] <= 2

    def test_overflow_grows_with_utilization(self) -> None:
        """Guards against an abrupt switch to other failure domains."""
        servers = [server(0, slots=100), server(1, "b", slots=100)]
        router = make_router(servers)
        reasons = []
        for _ in range(100):
            _, effects = begin(router)
            assert isinstance(effects[0], Attempt)
            reasons.append(effects[0].decision.reason)
        assert set(reasons[:70]) == {"local"}
        overflow = reasons[70:].count("overflow")
        assert 0 < overflow < 15

    def test_reported_load_counts_less_with_age(self) -> None:
        """Guards against following a load report that is out of date."""
        router = make_router([server(0)])
        server_view = router.get_pool("pages").servers["i0"]
        server_view.report_load(0.8, NOW)
        assert server_view.estimated_in_flight(NOW) == 8.0
        assert server_view.estimated_in_flight(NOW + 2.0) == 4.0
        server_view.outstanding = 5
        assert server_view.estimated_in_flight(NOW + 2.0) == 5.0


class TestAdmission:
    """Concurrency limits, caller classes and queues."""

    def test_background_never_takes_the_last_slots(self) -> None:
        """Guards against background requests that block interactive ones."""
        router = make_router([server(0)])
        for _ in range(8):
            begin(router, "/audit")
        assert router.get_pool("pages").servers["i0"].outstanding == 5
        for _ in range(5):
            _, effects = begin(router)
            assert isinstance(effects[0], Attempt)

    def test_freed_slot_goes_to_the_first_class(self) -> None:
        """Guards against background requests that overtake interactive ones."""
        router = make_router([server(0)])
        running = [begin(router)[0] for _ in range(10)]
        background, effects = begin(router, "/audit")
        assert isinstance(effects[0], Wait)
        interactive, effects = begin(router)
        assert isinstance(effects[0], Wait)
        effects = end(router, running[0])
        attempts = [e.exchange for e in effects if isinstance(e, Attempt)]
        assert attempts == [interactive]
        effects = end(router, running[1])
        attempts = [e.exchange for e in effects if isinstance(e, Attempt)]
        assert attempts == [background]

    def test_too_long_wait_is_refused_at_once(self) -> None:
        """Guards against callers that wait for a slot that comes too late."""
        router = make_router([server(0)])
        for _ in range(10):
            begin(router)
        pool = router.get_pool("pages")
        pool.mean_duration_s = 1.0
        _, effects = begin(router)
        assert isinstance(effects[0], Wait)
        refused = 0
        for _ in range(10):
            _, effects = begin(router)
            if isinstance(effects[0], Refuse):
                refused += 1
                assert effects[0].refusal.kind == "overloaded"
                assert effects[0].refusal.not_run
        assert refused >= 8

    def test_limit_follows_shedding_and_success(self) -> None:
        """Guards against sending a server more than it accepts."""
        router = make_router([server(0, connections=12)])
        limiter = router.get_pool("pages").servers["i0"].limiter
        exchange, _ = begin(router)
        router.handle(exchange, NotRun(1), NOW)
        assert limiter.limit == pytest.approx(7.0)
        for _ in range(300):
            exchange, _ = begin(router)
            end(router, exchange)
        assert limiter.limit == 12.0


class TestRoutes:
    """Route matching by prefix and method."""

    def test_longest_prefix_at_segment_boundary(self) -> None:
        """Guards against a prefix that matches within a path segment."""
        router = make_router([server(0)])
        names = {}
        for path in ("/", "/audit", "/audit/7", "/auditor", "/x/audit"):
            found = router.route("GET", path, RequestInputs(), NOW)
            assert isinstance(found, Exchange)
            names[path] = found.route_name
        assert names == {
            "/": "pages",
            "/audit": "audit",
            "/audit/7": "audit",
            "/auditor": "pages",
            "/x/audit": "pages",
        }
        refused = router.route("POST", "/", RequestInputs(), NOW)
        assert isinstance(refused, Refusal)
        assert refused.status == 405
