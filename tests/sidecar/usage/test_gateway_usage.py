"""Tests of the gateway's use of the usage caps."""

import asyncio
import os
import random
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.routing.gateway import Gateway
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.settings import Address, SidecarSettings
from vanillamast_sidecar.usage.usage_limiter import UsageLimiter
from vanillamast_sidecar.usage.usage_shares import UsageShares

from tests.sidecar.usage.fleet_model import BOUNDS, organisation

ACME = organisation(2.0, 0.0)
ROUTE = Route(
    "lookup", "", "/x/", True, 1.0, 0.5, 1, 2, (("browse", 1.0),), False
)


class IdentifyingGateway(Gateway):
    """A gateway whose requests are all of one organisation."""

    def _create_exchange(self, *args):
        exchange = super()._create_exchange(*args)
        exchange.organisation = ACME
        return exchange


@pytest.fixture
async def gateway():
    """Returns a gateway that hears a hub and has no server."""
    settings = SidecarSettings(
        "m1",
        "a",
        "browse",
        *[Address("127.0.0.1", 1)] * 6,
        1.5,
        BOUNDS,
        FieldNames(*[b"x"] * 8),
    )
    record = NodeRecord("127.0.0.1:1", "a", 1, 0, False, None)
    mesh = SimpleNamespace(
        membership=Membership(record),
        usage=UsageLimiter("127.0.0.1:1", BOUNDS),
        config_version=1,
    )
    gateway = IdentifyingGateway(
        settings,
        mesh,
        SimpleNamespace(is_nested=lambda _: False),
        SimpleNamespace(choose=lambda *_: None),
        CrashSuspects(CrashSettings(), random.Random(1)),
        EventLogger("m1", os.open(os.devnull, os.O_WRONLY)),
        Metrics(),
    )
    gateway.apply_snapshot(Snapshot(1, (ROUTE,), {}, CallerLimits(), b""))
    mesh.usage.apply_shares(UsageShares(True, []), gateway.loop.time())
    return gateway


async def ask(gateway):
    """Returns the response to a request."""
    request = HttpRequest("GET", "/x/1", [], b"")
    return await gateway.handle_request(request, gateway.loop.time())


def admitted(gateway):
    """Returns the requests that count."""
    return gateway.mesh.usage.accounts["acme"].admitted


class TestGatewayUsage:
    """What is refused, and what counts."""

    async def test_requests_above_the_cap_get_429(self, gateway):
        """Guards against refusals without the time to return."""
        gateway._give_back_usage = lambda _: None
        responses = [await ask(gateway) for _ in range(20)]
        last = responses[-1]
        assert last.status == 429 and last.body == b"over_cap\n"
        assert float(dict(last.headers)[b"Retry-After"]) >= 0.3

    async def test_requests_that_found_no_server_do_not_count(self, gateway):
        """Guards against a cap that is used up by refusals of servers."""
        for _ in range(20):
            assert (await ask(gateway)).status == 503
        assert admitted(gateway) == 0

    async def test_requests_that_may_have_run_count(self, gateway):
        """Guards against a cap that failing servers enlarge."""

        async def attempt(exchange, peer, may_wait):
            exchange.may_have_run = True
            return CallResult(
                Outcome.ANSWERED,
                response=HttpResponse(200, []),
                sent_to_server=True,
                kind=ResponseKind.ANSWER,
            )

        gateway.selector.choose = lambda *_: object()
        gateway._attempt = attempt
        assert (await ask(gateway)).status == 200
        assert admitted(gateway) == 1

    async def test_requests_whose_caller_has_gone_count(self, gateway):
        """Guards against running requests that are given back."""

        async def attempt(exchange, peer, may_wait):
            await asyncio.sleep(60.0)

        gateway.selector.choose = lambda *_: object()
        gateway._attempt = attempt
        task = asyncio.create_task(ask(gateway))
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert admitted(gateway) == 1
