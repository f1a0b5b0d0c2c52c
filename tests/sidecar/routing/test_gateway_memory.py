"""Tests of requests for which some nodes have no memory."""

import asyncio
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
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.routing.gateway import Gateway
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.routing.server_selector import ServerSelector
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings

ROUTE = Route(
    name="upload",
    host="a.example",
    path_prefix="/x/",
    idempotent=False,
    timeout_s=5.0,
    target_latency_s=5.0,
    priority=1,
    max_attempts=2,
    split=(("browse", 1.0),),
)
# One kilobyte is free.
SHORT = LoadReport(0, 0, 0.05, 0.0, 0.0, 0, 11)
AMPLE = LoadReport(0, 0, 0.05, 0.0, 0.0, 0, 0)


class Servers:
    """Nodes with a server each; some have no memory for a request.

    Attributes:
      gateway: The gateway that sends to them.
      asked: Ids of the servers that got the request, in that order.
      full: Ids of the servers whose nodes refuse it.
    """

    def __init__(self, gateway, count, full=()):
        self.gateway = gateway
        self.asked = []
        self.full = set(full)
        self.peers = []
        for n in range(count):
            address = f"127.0.0.{n + 2}:1"
            server = InstanceRecord(
                f"i-{n}", 1, 1, "browse", "v1", 4, True, False, 0.0, address
            )
            record = NodeRecord(address, "a", 1, 0, False, server)
            peer = gateway.mesh.membership.apply_record(record, True, 0.0)
            peer.apply_load_report(AMPLE, gateway.loop.time())
            self.peers.append(peer)
        gateway._run_remotely = self.run

    async def run(self, exchange, peer, may_wait):
        """Runs the request, or refuses it with a report."""
        server = peer.record.instance.id
        self.asked.append(server)
        if server not in self.full:
            return CallResult(
                Outcome.ANSWERED,
                response=HttpResponse(200, []),
                sent_to_server=True,
                kind=ResponseKind.ANSWER,
            )
        peer.apply_load_report(SHORT, self.gateway.loop.time())
        return CallResult(Outcome.NOT_RUN, Reason.NO_ROOM, retry_after_s=0.25)

    async def send(self, size=100_000):
        """Sends a request with a body; returns the response."""
        request = HttpRequest(
            "POST", "/x/1", [(b"host", b"a.example")], bytes(size)
        )
        return await self.gateway.handle_request(
            request, self.gateway.loop.time()
        )


@pytest.fixture
async def gateway():
    """Returns a gateway without a server of its own."""
    settings = SidecarSettings(
        "m1",
        "a",
        "other",
        *[Address("127.0.0.1", 1)] * 6,
        1.5,
        Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0),
        FieldNames(*[b"x"] * 8),
    )
    membership = Membership(NodeRecord("127.0.0.1:1", "a", 1, 0, False, None))
    found = Gateway(
        settings,
        SimpleNamespace(membership=membership, config_version=1),
        SimpleNamespace(is_nested=lambda _: False),
        ServerSelector(MoveTable(lambda _: None), random.Random(1)),
        CrashSuspects(CrashSettings(), random.Random(1)),
        EventLogger("m1", os.open(os.devnull, os.O_WRONLY)),
        Metrics(),
    )
    found.apply_snapshot(Snapshot(1, (ROUTE,), {}, CallerLimits(), b""))
    return found


class TestServersWithoutMemory:
    """Requests go to nodes that have memory for them."""

    async def test_a_refused_request_goes_elsewhere(self, gateway):
        """Guards against a request that fails while another node has room."""
        servers = Servers(gateway, 3, full=("i-0", "i-1"))
        for _ in range(20):
            assert (await servers.send()).status == 200

    async def test_a_report_keeps_large_requests_away(self, gateway):
        """Guards against requests that ask nodes known to have no room."""
        servers = Servers(gateway, 3)
        for peer in servers.peers[:2]:
            peer.apply_load_report(SHORT, gateway.loop.time())
        for _ in range(20):
            assert (await servers.send()).status == 200
        assert set(servers.asked) == {"i-2"}

    async def test_small_requests_still_go_there(self, gateway):
        """Guards against large requests that make a node useless to others."""
        servers = Servers(gateway, 1)
        plenty = LoadReport(0, 0, 0.05, 0.0, 0.0, 0, 20)
        servers.peers[0].apply_load_report(plenty, gateway.loop.time())
        assert (await servers.send(10)).status == 200

    async def test_no_node_has_memory(self, gateway):
        """Guards against a refusal without a reason or a time to return."""
        servers = Servers(gateway, 2, full=("i-0", "i-1"))
        response = await servers.send()
        assert response.status == 503
        assert response.body == b"no_room\n"
        assert response.get_header(b"retry-after") is not None
        # Nobody is asked again while the reports are fresh.
        asked = len(servers.asked)
        assert (await servers.send()).status == 503
        assert len(servers.asked) == asked

    async def test_an_old_report_does_not_count(self, gateway, monkeypatch):
        """Guards against a server that is never used again."""
        monkeypatch.setattr(
            "vanillamast_sidecar.routing.gateway.MEMORY_REPORT_LIFETIME_S",
            0.01,
        )
        servers = Servers(gateway, 1)
        servers.peers[0].apply_load_report(SHORT, gateway.loop.time())
        await asyncio.sleep(0.02)
        assert (await servers.send()).status == 200
