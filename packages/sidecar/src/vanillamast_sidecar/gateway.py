"""Takes the requests of the machine and finds servers for them."""

import asyncio

from vanillamast_sidecar.call_result import CallResult
from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.exchange import Exchange
from vanillamast_sidecar.http_message import (
    Headers,
    HttpRequest,
    HttpResponse,
    end_to_end,
)
from vanillamast_sidecar.mesh import Mesh
from vanillamast_sidecar.messages import Call, Reply
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.peer import Peer
from vanillamast_sidecar.reason import Reason
from vanillamast_sidecar.retry_budget import RetryBudget
from vanillamast_sidecar.route import Route
from vanillamast_sidecar.route_table import RouteTable
from vanillamast_sidecar.server_call import ServerCall
from vanillamast_sidecar.server_executor import ServerExecutor
from vanillamast_sidecar.server_selector import ServerSelector
from vanillamast_sidecar.settings import SidecarSettings
from vanillamast_sidecar.snapshot import Snapshot
from vanillamast_sidecar.weighted_split import WeightedSplit

# Requests are admitted if they are expected to end within this share of their
# latency objective: about half of them take longer than expected.
DUE_SHARE = 0.75
# The same for calls of backend servers, as a share of their time-out.
NESTED_DUE_SHARE = 0.5
# Calls of backend servers go before other requests of their priority.
RANKS_PER_PRIORITY = 2
# An answer that is ready just after the time-out is still delivered.
TIMEOUT_GRACE_S = 0.1
# Share of the deployment's retry ratio that this node uses: repeated
# requests make calls, which count as repeats at the services called.
RETRY_RATIO_SHARE = 0.5
# Share of the fleet's retry slack that all nodes together use.
RETRY_SLACK_SHARE = 0.6
# Callers come back after this long at least, in seconds, when a slot is
# expected sooner or nothing is known.
SHORTEST_RETRY_AFTER_S = 0.05
# The same from a node that starts or stops, in seconds: about the time that
# a started node needs for its configuration.
UNROUTED_RETRY_AFTER_S = 0.2
# A server that refused for want of slots is left out for this long at most,
# in seconds: until the next report of a near one; a far one sends none, and
# asking it costs bytes between domains.
NEAR_REFUSAL_S = 0.1
FAR_REFUSAL_S = 0.4
# Nodes that refuse a request before it is refused to the caller.
MAX_REFUSALS = 3

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
NOT_FOUND = 404


class Gateway:
    """First hop of a request: from its caller to the node beside a server.

    Attributes:
      settings: Settings of the node.
      mesh: Other nodes.
      executor: Runs requests on the server beside this node.
      selector: Chooses servers.
      log: Event logger.
      metrics: Metrics.
      snapshot: Configuration in force, None before the first one.
      table: Its routes.
      splits: Shares of the services of a route, by route and split.
      budgets: Retry budgets by service.
      exit_deadline: When the process ends at the latest, in loop time.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        mesh: Mesh,
        executor: ServerExecutor,
        selector: ServerSelector,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.settings = settings
        self.mesh = mesh
        self.executor = executor
        self.selector = selector
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.snapshot: Snapshot | None = None
        self.table = RouteTable(())
        self.splits: dict[str, WeightedSplit] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.exit_deadline = float("inf")

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Puts a configuration in force, whole and at once."""
        self.table = RouteTable(snapshot.routes)
        kept = {}
        for route in snapshot.routes:
            split = self.splits.get(route.name)
            if split is not None and split.split == route.split:
                kept[route.name] = split
        self.splits = kept
        self.snapshot = snapshot

    # One request.

    async def handle_request(
        self, request: HttpRequest, arrived: float
    ) -> HttpResponse:
        """Answers a request of a caller."""
        fields = self.settings.fields
        request_id = request.get(fields.request_id) or b""
        if self.snapshot is None:
            return self._refuse_unrouted(request_id, Reason.NO_CONFIGURATION)
        host = (request.get(b"host") or b"").decode("latin-1")
        route = self.table.match(host, request.target)
        if route is None:
            return self._no_route(request_id, host, request.target)
        exchange = self._exchange(request, route, request_id, arrived)
        if exchange.deadline > self.exit_deadline:
            # It could be cut off when the process ends.
            return self._refuse_unrouted(request_id, Reason.STOPPING)
        budget = self._budget(exchange.service)
        budget.count_first(arrived)
        try:
            return await self._serve(exchange, budget)
        except asyncio.CancelledError:
            self.metrics.count("requests", outcome=Reason.CALLER_GONE)
            self.log.write(
                "request.caller_gone",
                request=request_id.decode("latin-1"),
                route=route.name,
                after_s=round(self.loop.time() - arrived, 3),
            )
            raise

    def _refuse_unrouted(
        self, request_id: bytes, reason: Reason
    ) -> HttpResponse:
        """Refuses a request that this node cannot take at the moment."""
        self.log.write(
            "request.refused",
            request=request_id.decode("latin-1"),
            reason=reason,
            active=self.executor.get_load().running,
        )
        return self._refuse(request_id, reason, UNROUTED_RETRY_AFTER_S)

    def _no_route(
        self, request_id: bytes, host: str, target: str
    ) -> HttpResponse:
        self.metrics.count("requests", outcome=Reason.NO_ROUTE)
        self.log.write(
            "request.no_route",
            request=request_id.decode("latin-1"),
            host=host,
            target=target[:80],
            config_version=self.mesh.config_version,
        )
        return self._own_answer(NOT_FOUND, request_id, Reason.NO_ROUTE)

    def _exchange(
        self,
        request: HttpRequest,
        route: Route,
        request_id: bytes,
        arrived: float,
    ) -> Exchange:
        split = self.splits.get(route.name)
        if split is None:
            split = WeightedSplit(route.split)
            self.splits[route.name] = split
        timeout_s = route.timeout_s
        value = request.get(self.settings.fields.deadline_ms)
        if value is not None:
            left_s = _milliseconds(value)
            if left_s is not None:
                timeout_s = min(timeout_s, left_s)
        objective_s = min(timeout_s, route.target_latency_s)
        due_s = objective_s * DUE_SHARE
        rank = route.priority * RANKS_PER_PRIORITY + 1
        if self.executor.is_nested(request_id):
            # Late is better than never: the work of its parent is lost with
            # it.
            due_s = max(due_s, timeout_s * NESTED_DUE_SHARE)
            rank -= 1
        return Exchange(
            request,
            route,
            split.choose(),
            request_id,
            arrived,
            arrived + timeout_s,
            arrived + due_s,
            arrived + max(objective_s, due_s),
            rank,
            self._forwarded(request),
            set(),
        )

    def _forwarded(self, request: HttpRequest) -> Headers:
        """Returns the fields for the server; the system sets some itself."""
        fields = self.settings.fields
        own = (fields.deadline_ms, fields.expected_instance, fields.caller)
        headers = [
            (name, value)
            for name, value in end_to_end(request.headers)
            if name not in own
        ]
        headers.append((fields.caller, self.settings.service.encode()))
        return headers

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.retry_ratio * RETRY_RATIO_SHARE,
                0.0,
                bounds.retry_window_s,
            )
            self.budgets[service] = budget
        nodes = max(1, len(self.mesh.membership.peers))
        slack = self.settings.bounds.retry_slack * RETRY_SLACK_SHARE
        budget.allowance = slack / nodes
        return budget

    async def _serve(
        self, exchange: Exchange, budget: RetryBudget
    ) -> HttpResponse:
        while True:
            now = self.loop.time()
            peer = self.selector.choose(
                self.mesh.membership.peers_serving(exchange.service),
                exchange.tried,
                exchange.service,
                exchange.rank,
                exchange.latest,
                now,
            )
            if peer is None or now >= exchange.deadline:
                return self._conclude(exchange)
            result = await self._attempt(exchange, peer)
            exchange.last = result
            if result.outcome is Outcome.ANSWERED:
                exchange.answer = result.response
                if not self._worth_repeating(exchange, result):
                    return self._conclude(exchange)
            if not self._may_repeat(exchange, result, budget):
                return self._conclude(exchange)

    async def _attempt(self, exchange: Exchange, peer: Peer) -> CallResult:
        now = self.loop.time()
        instance = peer.record.instance
        assert instance is not None
        route = exchange.route
        exchange.tried.add(instance.id)
        wait_s, _ = peer.expected_times_s(now)
        load_age_s = now - peer.load_received_at
        peer.outstanding += 1
        peer.used_incarnation = (instance.id, instance.born_ms)
        try:
            if peer.is_self:
                result = await self._run_here(exchange)
            else:
                result = await self._run_there(exchange, peer)
        finally:
            peer.outstanding -= 1
        ended = self.loop.time()
        self.log.write(
            "request.attempt",
            request=exchange.request_id.decode("latin-1"),
            route=route.name,
            service=exchange.service,
            peer=peer.record.address,
            instance=instance.id,
            near=peer.same_domain,
            load_age_s=round(load_age_s, 3),
            expected_wait_s=round(wait_s, 3),
            outcome=result.outcome.name.lower(),
            reason=result.reason,
            status=result.response.status if result.response else 0,
            took_s=round(ended - now, 4),
        )
        self._note(exchange, peer, result, ended)
        return result

    def _note(
        self, exchange: Exchange, peer: Peer, result: CallResult, now: float
    ) -> None:
        """Remembers what an attempt says about the request and the server."""
        if result.sent_to_server:
            exchange.attempts += 1
        if result.outcome is not Outcome.NOT_RUN:
            exchange.may_have_run = True
        elif not result.sent_to_server:
            exchange.refusals += 1
            longest_s = NEAR_REFUSAL_S if peer.same_domain else FAR_REFUSAL_S
            peer.refused_until = now + min(longest_s, result.retry_after_s)
            peer.refused_rank = exchange.rank

    async def _run_here(self, exchange: Exchange) -> CallResult:
        own = self.mesh.membership.own.record.instance
        assert own is not None
        request = exchange.request
        call = ServerCall(
            exchange.request_id,
            own.id,
            own.born_ms,
            exchange.route.name,
            exchange.rank,
            exchange.route.idempotent,
            exchange.deadline,
            exchange.due,
            request.method,
            request.target,
            exchange.headers,
            request.body,
        )
        return await self.executor.run(call)

    async def _run_there(self, exchange: Exchange, peer: Peer) -> CallResult:
        instance = peer.record.instance
        link = peer.link
        assert instance is not None and link is not None
        now = self.loop.time()
        request = exchange.request
        route = exchange.route
        remaining_s = exchange.deadline - now

        def make(number: int, body: bytes) -> Call:
            return Call(
                number,
                now,
                remaining_s,
                exchange.due - now,
                exchange.request_id,
                instance.id,
                instance.born_ms,
                route.name,
                exchange.rank,
                route.idempotent,
                request.method,
                request.target,
                exchange.headers,
                body,
            )

        reply = await link.send_call(
            make,
            request.body,
            route.idempotent,
            remaining_s + TIMEOUT_GRACE_S,
        )
        return CallResult(
            reply.outcome,
            reply.reason,
            _response(reply),
            reply.sent_to_server,
            reply.retry_after_s,
        )

    # What an attempt's end means.

    def _worth_repeating(self, exchange: Exchange, result: CallResult) -> bool:
        """Returns whether another server may answer better than this one."""
        response = result.response
        return (
            exchange.route.idempotent
            and response is not None
            and response.status >= 500
        )

    def _may_repeat(
        self, exchange: Exchange, result: CallResult, budget: RetryBudget
    ) -> bool:
        """Returns whether the request may be offered to another server."""
        route = exchange.route
        now = self.loop.time()
        if exchange.may_have_run and not route.idempotent:
            return False
        if now >= exchange.deadline:
            return False
        if not result.sent_to_server:
            return exchange.refusals < MAX_REFUSALS
        if exchange.attempts >= route.max_attempts:
            return False
        if not budget.take(now):
            self.metrics.count("retries", outcome=Reason.BUDGET_SPENT)
            self.log.write(
                "request.not_retried",
                request=exchange.request_id.decode("latin-1"),
                reason=Reason.BUDGET_SPENT,
                firsts=len(budget.firsts),
                repeats=len(budget.repeats),
            )
            return False
        self.metrics.count("retries", outcome="sent")
        return True

    def _conclude(self, exchange: Exchange) -> HttpResponse:
        """Ends a request with the answer that there is."""
        if exchange.answer is not None:
            took_s = self.loop.time() - exchange.arrived
            self.metrics.count("requests", outcome="answered")
            self.metrics.observe("request_duration", took_s)
            return exchange.answer
        last = exchange.last
        reason = last.reason if last is not None else self._unoffered(exchange)
        if exchange.may_have_run:
            expired = last is not None and last.outcome is Outcome.EXPIRED
            status = GATEWAY_TIMEOUT if expired else BAD_GATEWAY
            self.metrics.count("requests", outcome=reason)
            self._log_end(exchange, status, reason)
            return self._own_answer(status, exchange.request_id, reason)
        wait_s = last.retry_after_s if last is not None else 0.0
        self._log_end(exchange, UNAVAILABLE, reason)
        return self._refuse(exchange.request_id, reason, wait_s)

    def _unoffered(self, exchange: Exchange) -> Reason:
        """Returns why a request was offered to no server."""
        peers = self.mesh.membership.peers_serving(exchange.service)
        now = self.loop.time()
        if any(
            peer.usable and peer.is_full_for(exchange.rank, now)
            for peer in peers
        ):
            return Reason.OVERLOADED
        return Reason.NO_SERVER

    def _log_end(self, exchange: Exchange, status: int, reason: Reason) -> None:
        peers = self.mesh.membership.peers_serving(exchange.service)
        self.log.write(
            "request.failed",
            request=exchange.request_id.decode("latin-1"),
            route=exchange.route.name,
            service=exchange.service,
            status=status,
            reason=reason,
            attempts=exchange.attempts,
            refusals=exchange.refusals,
            servers=len(peers),
            usable=sum(peer.usable for peer in peers),
            after_s=round(self.loop.time() - exchange.arrived, 3),
            config_version=self.mesh.config_version,
        )

    def _refuse(
        self, request_id: bytes, reason: Reason, wait_s: float
    ) -> HttpResponse:
        """Returns an answer that says that the request has not run."""
        self.metrics.count("requests", outcome=reason)
        response = self._own_answer(UNAVAILABLE, request_id, reason)
        after = max(SHORTEST_RETRY_AFTER_S, wait_s)
        response.headers.append((b"Retry-After", b"%.3f" % after))
        return response

    def _own_answer(
        self, status: int, request_id: bytes, reason: Reason
    ) -> HttpResponse:
        headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((self.settings.fields.request_id, request_id))
        return HttpResponse(status, headers, reason.encode() + b"\n")


def _milliseconds(value: bytes) -> float | None:
    """Returns a field's milliseconds in seconds, None if it is no number."""
    try:
        return max(0.0, float(value) / 1000.0)
    except ValueError:
        return None


def _response(reply: Reply) -> HttpResponse | None:
    if reply.status == 0:
        return None
    return HttpResponse(
        reply.status, list(reply.headers), reply.body, reply.phrase
    )
