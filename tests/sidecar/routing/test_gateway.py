"""Tests of the first hop of a request."""

import dataclasses
import os
import random
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import (
    LINES_PER_KIND,
    EventLogger,
)
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.routing.gateway import Gateway
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.routing.server_selector import ServerSelector
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings

PARENT = b"9c41d07b"
TIMEOUT_S = 0.4
OBJECTIVE_S = 0.12


def route(priority: int) -> Route:
    """Returns a route with a priority."""
    return Route(
        name="lookup",
        host="a.example",
        path_prefix="/x/",
        idempotent=True,
        timeout_s=TIMEOUT_S,
        target_latency_s=OBJECTIVE_S,
        priority=priority,
        max_attempts=2,
        split=(("browse", 1.0),),
    )


@pytest.fixture
async def gateway():
    """Returns a gateway whose local server runs the request `PARENT`."""
    address = Address("127.0.0.1", 1)
    settings = SidecarSettings(
        "m1",
        "a",
        "browse",
        *[address] * 6,
        1.5,
        Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0),
        FieldNames(*[b"x"] * 8),
    )
    executor = SimpleNamespace(
        is_nested=lambda request_id: request_id.startswith(PARENT + b".")
    )
    log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
    membership = Membership(NodeRecord("127.0.0.1:1", "a", 1, 0, False, None))
    return Gateway(
        settings,
        SimpleNamespace(membership=membership),
        executor,
        SimpleNamespace(),
        CrashSuspects(CrashSettings(), random.Random(1)),
        log,
        Metrics(),
    )


class TestGateway:
    """Ranks and soft deadlines of requests."""

    def exchange(self, gateway, priority, request_id):
        """Returns the exchange of a request that arrives at time 0."""
        request = HttpRequest("GET", "/x/1", [], b"")
        return gateway._create_exchange(
            request, route(priority), request_id, 0.0
        )

    async def test_nested_calls_rank_before_others_of_their_priority(
        self, gateway
    ):
        """Guards against parent requests that time out as their calls wait."""
        nested = self.exchange(gateway, 1, PARENT + b".1")
        other = self.exchange(gateway, 1, b"5a0e3a11")
        assert nested.rank < other.rank

    async def test_a_higher_priority_ranks_before_nested_calls(self, gateway):
        """Guards against ranks that ignore the priority of the route."""
        nested = self.exchange(gateway, 2, PARENT + b".1")
        urgent = self.exchange(gateway, 1, b"5a0e3a11")
        assert urgent.rank < nested.rank

    async def test_nested_calls_may_miss_the_latency_objective(self, gateway):
        """Guards against refusals that waste the work of the parent request."""
        nested = self.exchange(gateway, 1, PARENT + b".1")
        other = self.exchange(gateway, 1, b"5a0e3a11")
        assert (
            other.soft_deadline < OBJECTIVE_S < nested.soft_deadline < TIMEOUT_S
        )


class TestRequestsWithoutAttempt:
    """The reason why a request was sent to no server."""

    def add_server(self, gateway, **fields):
        """Adds a node with a server; returns its peer object."""
        server = InstanceRecord(
            "i-1", 1, 1, "browse", "v1", 4, True, False, 0.0, "127.0.0.2:1"
        )
        record = NodeRecord("127.0.0.2:1", "a", 1, 0, False, server)
        peer = gateway.mesh.membership.apply_record(record, True, 0.0)
        peer.link = SimpleNamespace(up=True)
        for name, value in fields.items():
            setattr(peer, name, value)
        return peer

    def reason(self, gateway):
        """Returns the reason for a request of priority 1."""
        request = HttpRequest("GET", "/x/1", [], b"")
        exchange = gateway._create_exchange(request, route(1), b"5a0e3a11", 0.0)
        return gateway._explain_no_attempt(exchange)

    async def test_servers_that_have_just_refused(self, gateway):
        """Guards against logs that report full servers as unreachable."""
        later = gateway.loop.time() + 60.0
        self.add_server(gateway, refused_until=later, refused_rank=0)
        assert self.reason(gateway) is Reason.OVERLOADED

    async def test_no_server_at_all(self, gateway):
        """Guards against logs that report a missing service as overloaded."""
        assert self.reason(gateway) is Reason.NO_SERVER

    async def test_servers_that_cannot_be_reached(self, gateway):
        """Guards against logs that report unresponsive servers as full."""
        later = gateway.loop.time() + 60.0
        self.add_server(
            gateway, refused_until=later, refused_rank=0, unresponsive=True
        )
        assert self.reason(gateway) is Reason.NO_SERVER

    async def test_servers_of_an_evacuated_domain(self, gateway):
        """Guards against logs that report an evacuation as an outage."""
        self.add_server(gateway)
        gateway.evacuations.apply([Evacuation("a", True, 1)])
        assert self.reason(gateway) is Reason.EVACUATED


class TestSlotSearch:
    """Requests look for a free slot where the deployment calls for it."""

    def add_servers(self, gateway, count, pace=0):
        """Adds nodes with servers; returns their peers."""
        peers = []
        for n in range(count):
            address = f"127.0.0.{n + 2}:1"
            server = InstanceRecord(
                f"i-{n}", 1, 1, "browse", "v1", 4, True, False, 0.0, address
            )
            record = NodeRecord(address, "a", 1, 0, False, server)
            peer = gateway.mesh.membership.apply_record(record, True, 0.0)
            peer.load = LoadReport(0, 0, 0.05, 0.0, 0.0, pace)
            peers.append(peer)
        return peers

    async def play(self, gateway, free_after):
        """Sends a request; returns the attempts as (server, may wait).

        Args:
          gateway: The gateway.
          free_after: Number of servers that refuse it for lack of a slot.
        """
        gateway.selector = ServerSelector(
            MoveTable(lambda _: None), random.Random(1)
        )
        attempts = []

        async def run_remotely(exchange, peer, may_wait):
            attempts.append((peer.record.instance.id, may_wait))
            if len(attempts) <= free_after:
                return CallResult(Outcome.NOT_RUN, Reason.BUSY)
            return CallResult(
                Outcome.ANSWERED,
                response=HttpResponse(200, []),
                sent_to_server=True,
                kind=ResponseKind.ANSWER,
            )

        gateway._run_remotely = run_remotely
        gateway.apply_snapshot(
            Snapshot(1, (route(1),), {}, CallerLimits(), b"")
        )
        gateway.mesh.config_version = 1
        request = HttpRequest("GET", "/x/1", [(b"host", b"a.example")], b"")
        response = await gateway.handle_request(request, gateway.loop.time())
        assert response.status == 200
        return attempts

    async def test_busy_servers_are_asked_once_each(self, gateway):
        """Guards against requests that wait while a slot is free."""
        self.add_servers(gateway, 6, pace=100)
        attempts = await self.play(gateway, free_after=2)
        assert len({server for server, _ in attempts}) == 3
        assert [may_wait for _, may_wait in attempts] == [False] * 3

    async def test_then_the_request_waits(self, gateway):
        """Guards against a request that is refused while it could wait."""
        self.add_servers(gateway, 2, pace=100)
        attempts = await self.play(gateway, free_after=2)
        assert [may_wait for _, may_wait in attempts] == [False, False, True]

    async def test_other_deployments_wait_at_once(self, gateway):
        """Guards against a change for deployments that do not ask for it."""
        self.add_servers(gateway, 6)
        attempts = await self.play(gateway, free_after=0)
        assert [may_wait for _, may_wait in attempts] == [True]


class TestKeys:
    """Requests under a configuration that has organisations."""

    @pytest.fixture
    def closed(self, gateway):
        """Returns a gateway with one organisation and one route."""
        fields = dataclasses.replace(gateway.settings.fields, organisation=b"o")
        gateway.settings = dataclasses.replace(gateway.settings, fields=fields)
        gateway.mesh.config_version = 4
        gateway.apply_snapshot(
            Snapshot(
                4,
                (route(1),),
                {},
                CallerLimits(),
                b"",
                (Organisation("acme", ("s3cret",), 0),),
            )
        )
        return gateway

    def request(self, key, target="/x/1"):
        """Returns a request with a key."""
        headers = [(b"host", b"a.example"), (b"o", b"forged")]
        headers.append((b"authorization", b"Bearer " + key))
        return HttpRequest("GET", target, headers, b"")

    async def test_a_request_without_a_known_key_is_not_run(self, closed):
        """Guards against requests of unknown callers, and against log floods.

        A request that were run would fail in this test.
        """
        for _ in range(10 * LINES_PER_KIND):
            response = await closed.handle_request(self.request(b"gue55"), 0.0)
        assert response.status == 401
        assert response.get_header(b"www-authenticate") == b"Bearer"
        assert "gue55" not in repr(self.request(b"gue55"))
        lines = closed.log.pending
        assert any(b"request.unauthenticated" in line for line in lines)
        assert len(lines) <= 2 * LINES_PER_KIND + 2  # In up to two seconds.
        for shown in (*lines, closed.metrics.render(), response.body):
            assert b"gue55" not in shown
        refused = closed.metrics.counters[
            ("key_refusals", (("reason", "unknown"),))
        ]
        assert refused == 10 * LINES_PER_KIND

    async def test_an_unknown_route_needs_no_key(self, closed):
        """Guards against responses by which callers cannot tell the fault."""
        request = self.request(b"gue55", "/none")
        assert (await closed.handle_request(request, 0.0)).status == 404

    async def test_a_known_key_is_replaced_by_the_organisation(self, closed):
        """Guards against keys that reach servers or other nodes."""
        request = self.request(b"s3cret")
        organisation = closed._identify(request, route(1), b"")
        exchange = closed._create_exchange(
            request, route(1), b"5a0e3a11", 0.0, organisation
        )
        assert exchange.organisation_name == "acme"
        assert (b"o", b"acme") in exchange.headers
        assert "s3cret" not in repr(exchange)
        assert "forged" not in repr(exchange)
        nested = closed._create_exchange(
            request, route(0), PARENT + b".1", 0.0, None
        )
        urgent = closed._create_exchange(
            request, route(0), b"5a0e3a11", 0.0, organisation
        )
        assert nested.rank < urgent.rank < exchange.rank


class TestEvacuatedServers:
    """A server whose node refuses because of an evacuation."""

    async def test_its_whole_domain_is_left_out(self, gateway):
        """Guards against a request that only evacuated servers refuse."""
        for number, domain in enumerate("aab", start=2):
            host = f"127.0.0.{number}"
            server = InstanceRecord(
                f"i-{number}", 1, 1, "browse", "v1", 4, True, False, 0.0, host
            )
            record = NodeRecord(f"{host}:1", domain, 1, 0, False, server)
            gateway.mesh.membership.apply_record(record, True, 0.0)
        request = HttpRequest("GET", "/x/1", [], b"")
        exchange = gateway._create_exchange(request, route(1), b"5a0e3a11", 0.0)
        peer = gateway.mesh.membership.peers["127.0.0.2:1"]
        result = CallResult(Outcome.NOT_RUN, Reason.EVACUATED)
        gateway._record_attempt(exchange, peer, result, 1.0)
        assert exchange.tried_instances == {"i-2", "i-3"}
        assert not exchange.may_have_run
