"""Tests of how a node applies configuration versions."""

import hypothesis.stateful as stateful
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.configuration import (
    AddServices,
    Configuration,
    MethodNotAllowed,
    NoRoute,
    RemoveServices,
    Route,
    RouteFound,
    RoutingTable,
    Service,
    SwitchRoutes,
)

OWN = "own"
SERVICES = (OWN, "a", "b", "c")
WAIT_S = 2.0
MAX_WAIT_S = 6.0  # Half of the 12 s in which a version must be active.

ROUTES = st.dictionaries(
    st.sampled_from(["r1", "r2", "r3"]),
    st.builds(
        Route,
        path=st.sampled_from(["/", "/x", "/x/y"]),
        service=st.sampled_from(SERVICES),
        callers=st.sets(st.sampled_from([OWN, "a", "edge"]), min_size=1).map(
            lambda callers: tuple(sorted(callers))
        ),
    ),
)


def make_configuration(routes, release):
    """Returns a configuration with only the services that it needs."""
    named = {OWN, "a"} | {route.service for route in routes.values()}
    services = {name: Service(version=release) for name in named}
    return Configuration(services=services, routes=routes)


class Consumer:
    """Carries out the steps, like a node: keeps services and routes."""

    def __init__(self):
        self.services = set()
        self.routes = {}
        self.version = 0

    def run(self, step):
        """Carries out a step and checks the rules after it."""
        match step:
            case AddServices(services=services):
                assert self.services.isdisjoint(services)
                self.services |= set(services)
            case SwitchRoutes(version=version, routes=routes):
                assert version > self.version, "no-rollback"
                self.version, self.routes = version, dict(routes)
            case RemoveServices(services=services):
                assert self.services.issuperset(services)
                self.services -= set(services)
        named = {route.service for route in self.routes.values()}
        assert named <= self.services, "no-dangling-route"


class TableMachine(stateful.RuleBasedStateMachine):
    """Versions arrive in any order while servers appear and disappear.

    For the newest version offered, the oracle records since when each newly
    referenced service has been awaited without interruption.
    """

    table_type = RoutingTable

    @stateful.initialize(edge=st.booleans())
    def start(self, edge):
        """Starts a node."""
        self.edge = edge
        self.table = self.table_type(OWN, edge)
        self.consumer = Consumer()
        self.published = [(0, Configuration())]
        self.newest = 0
        self.usable = set()
        self.now = 100.0
        self.awaited = {}
        self.pending_since = None

    @stateful.rule(routes=ROUTES, release=st.sampled_from("123"))
    def publish(self, routes, release):
        """Publishes a version that the node need not know yet."""
        version = self.published[-1][0] + 2
        configuration = make_configuration(routes, release)
        self.published.append((version, configuration))

    @stateful.rule(back=st.integers(0, 3))
    def offer(self, back):
        """Offers the node one of the last versions."""
        version, configuration = self.published[-1 - back % len(self.published)]
        if version > self.newest:
            self.newest = version
            self.record_awaited(configuration)
        self.run(
            self.table.update(version, configuration, self.now, self.has_usable)
        )

    @stateful.rule(service=st.sampled_from(SERVICES))
    def toggle_server(self, service):
        """Adds or removes the usable servers of a service."""
        self.usable ^= {service}
        self.run(self.table.advance(self.now, self.has_usable))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.9, 1.0, 2.0]))
    def pass_time(self, seconds):
        """Lets time pass; the node wakes at the table's `wake_at`."""
        self.now += seconds
        if self.table.wake_at is None or self.now >= self.table.wake_at:
            self.run(self.table.advance(self.now, self.has_usable))

    def has_usable(self, service):
        """Returns whether a service of the table has a usable server."""
        assert service in self.table.services
        return service in self.usable

    def expected_routes(self, configuration):
        """Returns the node's routes, derived directly from the rule."""
        return {
            name: route
            for name, route in configuration.routes.items()
            if OWN in route.callers or (self.edge and "edge" in route.callers)
        }

    def record_awaited(self, configuration):
        """Records since when services are awaited."""
        named = {
            r.service for r in self.expected_routes(configuration).values()
        }
        in_use = {r.service for r in self.consumer.routes.values()}
        self.awaited = {
            service: self.awaited.get(service, self.now)
            for service in named - in_use
        }
        if self.pending_since is None:
            self.pending_since = self.now

    def run(self, steps):
        """Carries out steps and checks the time of the switch."""
        before = self.consumer.version
        due = before < self.newest and (
            self.now >= self.pending_since + MAX_WAIT_S
            or all(
                service in self.usable or self.now >= since + WAIT_S
                for service, since in self.awaited.items()
            )
        )
        for step in steps:
            self.consumer.run(step)
        assert (self.consumer.version > before) == due, "make before break"
        if due:
            self.awaited, self.pending_since = {}, None

    @stateful.invariant()
    def table_and_consumer_agree(self):
        """all-or-nothing: the routes are those of exactly one version."""
        table = self.table
        assert table.applied_version == self.consumer.version
        assert table.routes == self.consumer.routes
        assert set(table.services) == self.consumer.services
        configuration = dict(self.published)[table.applied_version]
        assert table.routes == self.expected_routes(configuration), (
            "all-or-nothing"
        )
        for route in table.routes.values():
            held = table.services[route.service]
            assert held == configuration.services[route.service]

    @stateful.invariant()
    def nothing_is_held_without_need(self):
        """Services that no route references are removed."""
        named = {r.service for r in self.table.routes.values()}
        if self.consumer.version < self.newest:
            pending = dict(self.published)[self.newest]
            named |= {r.service for r in self.expected_routes(pending).values()}
        assert set(self.table.services) == named

    @stateful.invariant()
    def no_version_waits_for_ever(self):
        """in-force: a wait ends even if versions keep replacing each other."""
        if self.pending_since is not None:
            assert self.table.wake_at <= self.pending_since + MAX_WAIT_S
        else:
            assert self.table.wake_at is None


TestRoutingTableFuzz = TableMachine.TestCase


class TestWaits:
    """Limits on the wait for usable servers."""

    def test_versions_that_replace_each_other_do_not_wait_for_ever(self):
        """Guards against a version that is not active within 12 s."""
        table = RoutingTable(OWN, edge=True)
        configurations = [
            make_configuration({"r1": Route("/", service)}, "1")
            for service in ("a", "b")
        ]
        for number in range(8):
            now = number * 1.5
            version = number + 1
            configuration = configurations[number % 2]
            table.update(version, configuration, now, lambda service: False)
            assert bool(table.applied_version) == (now >= MAX_WAIT_S)


PREFIXES = st.sampled_from(["/", "/x", "/xy", "/x/y", "/x/yx", "/xyx"])
PATHS = PREFIXES | st.sampled_from(
    ["/x/", "/x/yx/y", "/xyxy", "/y", "/x/yxy", "//x", "/xy/xy/xy"]
)
METHODS = st.sampled_from(["GET", "POST"])


class TestMatch:
    """Lookup of a request's route."""

    @given(st.lists(st.tuples(PREFIXES, METHODS), unique=True), PATHS, METHODS)
    def test_longest_prefix_decides_fuzz(self, keys, path, method):
        """Guards against matches within a segment and wrong refusals."""
        routes = {
            f"r{number}": Route(prefix, OWN, methods=(taken,))
            for number, (prefix, taken) in enumerate(keys)
        }
        table = RoutingTable("", edge=True)
        configuration = Configuration({OWN: Service("1")}, routes)
        table.update(1, configuration, 0.0, lambda service: True)
        matching = [
            prefix
            for prefix, _ in keys
            if prefix == "/" or f"{path}/".startswith(f"{prefix}/")
        ]
        found = table.match(method, path + "?q=/x/y")
        if not matching:
            assert found == NoRoute()
            return
        longest = max(matching, key=len)
        taken = {m: n for n, (p, m) in enumerate(keys) if p == longest}
        if method in taken:
            name = f"r{taken[method]}"
            assert found == RouteFound(name, routes[name])
        else:
            assert found == MethodNotAllowed(tuple(sorted(taken)))

    def test_targets_without_a_path_match_nothing(self):
        """Guards against "*" or an absolute URI taken for the root."""
        table = RoutingTable("", edge=True)
        routes = {"root": Route("/", OWN, methods=("OPTIONS",))}
        configuration = Configuration({OWN: Service("1")}, routes)
        table.update(1, configuration, 0.0, lambda service: True)
        for target in ("*", "http://x/a", ""):
            assert table.match("OPTIONS", target) == NoRoute()
