"""Tests of the first hop of a request."""

import os
import random
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpRequest
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.routing.gateway import Gateway
from vanillamast_sidecar.routing.route import Route
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
