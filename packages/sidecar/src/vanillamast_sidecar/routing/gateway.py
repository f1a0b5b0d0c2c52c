"""Accepts callers' requests and has backend servers run them."""

import asyncio
import zlib
from typing import cast

from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_classifier import classify_response
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.admission.server_call import ServerCall
from vanillamast_sidecar.admission.server_executor import ServerExecutor
from vanillamast_sidecar.admission.server_notice import is_leaving
from vanillamast_sidecar.balancing.slot_search import SlotSearch
from vanillamast_sidecar.crashes.crash_suspects import (
    SPARE_RETRY_AFTER_S,
    Admission,
    CrashSuspects,
)
from vanillamast_sidecar.http.http_message import (
    Body,
    Headers,
    HttpRequest,
    HttpResponse,
    remove_hop_by_hop,
)
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import Call, Reply
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuations import Evacuations
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.organisations.key_hasher import KeyHasher
from vanillamast_sidecar.organisations.key_refusal import KeyRefusal
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.organisations.organisation_directory import (
    OrganisationDirectory,
)
from vanillamast_sidecar.routing.exchange import Exchange
from vanillamast_sidecar.routing.final_answer import (
    FinalAnswer,
    choose_final_answer,
)
from vanillamast_sidecar.routing.retry_budget import RetryBudget
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.routing.route_durations import RouteDurations
from vanillamast_sidecar.routing.route_table import RouteTable
from vanillamast_sidecar.routing.server_selector import ServerSelector
from vanillamast_sidecar.routing.weighted_split import WeightedSplit
from vanillamast_sidecar.settings import SidecarSettings

# A request is admitted if it is expected to end within this share of its
# latency objective: about half of the requests take longer than expected.
SOFT_DEADLINE_SHARE = 0.75
# The same for calls that backend servers make, as a share of their timeout.
NESTED_SOFT_DEADLINE_SHARE = 0.5
# Calls that backend servers make rank before other requests of their priority.
RANKS_PER_PRIORITY = 2
MOST_URGENT_RANK = 0
# A response that is ready this long after the timeout is still delivered.
TIMEOUT_GRACE_S = 0.1
# Share of the deployment's retry ratio that this node uses: a retried request
# makes calls of its own, which count as retries of the services called.
RETRY_RATIO_SHARE = 0.5
# Share of the fleet's retry slack that all nodes use together.
RETRY_SLACK_SHARE = 0.6
# Lower limit of Retry-After, for when a slot is expected sooner or nothing is
# known.
MIN_RETRY_AFTER_S = 0.05
# Retry-After of a node that starts or stops: about the time that a started
# node needs to get its configuration.
NOT_READY_RETRY_AFTER_S = 0.2
# After a server refused a request for lack of slots, it gets none of equal or
# less urgent rank for this long at most. In the same domain that is until its
# next load report; servers in other domains send none, and requests to them
# cost cross-domain traffic.
SAME_DOMAIN_BACKOFF_S = 0.1
CROSS_DOMAIN_BACKOFF_S = 0.4
# A report that a node has no memory for a request counts for this long: in
# other failure domains, only replies bring a new one.
MEMORY_REPORT_LIFETIME_S = 0.5
# Refusals by nodes after which the caller's request is refused.
MAX_REFUSALS = 3
# Callers choose the request id, and log lines of refused ones are frequent.
MAX_LOGGED_ID_BYTES = 128

TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
NOT_FOUND = 404
UNAUTHORIZED = 401


class Gateway:
    """First hop of a request: chooses a server and sends the request there.

    Attributes:
      settings: Settings of the node.
      mesh: Other nodes.
      executor: Runs requests on the local server.
      selector: Chooses servers.
      suspects: Requests under which servers have ended.
      log: Event logger.
      metrics: Metrics.
      evacuations: Failure domains that the operator has evacuated.
      snapshot: Active configuration, None before the first one.
      route_table: Routes of the active configuration.
      key_hasher: Hashes unknown API keys for logs.
      directory: Organisations of the active configuration.
      splits: Traffic split between the services of a route, by route name.
      budgets: Retry budgets by service.
      durations: Durations of routes, compared with others.
      last_deadline: Latest deadline of a request that is accepted, in loop
        time.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        mesh: Mesh,
        executor: ServerExecutor,
        selector: ServerSelector,
        suspects: CrashSuspects,
        log: EventLogger,
        metrics: Metrics,
        evacuations: Evacuations | None = None,
    ):
        self.settings = settings
        self.mesh = mesh
        self.executor = executor
        self.selector = selector
        self.suspects = suspects
        self.log = log
        self.metrics = metrics
        self.evacuations = evacuations or Evacuations()
        self.loop = asyncio.get_running_loop()
        self.snapshot: Snapshot | None = None
        self.route_table = RouteTable(())
        self.key_hasher = KeyHasher()
        self.directory = OrganisationDirectory((), self.key_hasher)
        self.splits: dict[str, WeightedSplit] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.durations = RouteDurations()
        self.last_deadline = float("inf")

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the active configuration, all parts at once."""
        self.route_table = RouteTable(snapshot.routes)
        self.directory = OrganisationDirectory(
            snapshot.organisations, self.key_hasher
        )
        self.metrics.set("organisations", len(snapshot.organisations))
        unchanged_splits = {}
        for route in snapshot.routes:
            split = self.splits.get(route.name)
            if split is not None and split.split == route.split:
                unchanged_splits[route.name] = split
        self.splits = unchanged_splits
        self.durations.keep_routes({route.name for route in snapshot.routes})
        self.snapshot = snapshot

    # A request.

    async def handle_request(
        self, request: HttpRequest, arrived_at: float
    ) -> HttpResponse:
        """Returns the response to a caller's request."""
        fields = self.settings.fields
        request_id = request.get_header(fields.request_id) or b""
        if self.snapshot is None:
            return self._refuse_not_ready(request_id, Reason.NO_CONFIGURATION)
        host = (request.get_header(b"host") or b"").decode("latin-1")
        route = self.route_table.match(host, request.target)
        if route is None:
            return self._respond_no_route(request_id, host, request.target)
        organisation = self._identify(request, route, request_id)
        if isinstance(organisation, HttpResponse):
            return organisation
        exchange = self._create_exchange(
            request, route, request_id, arrived_at, organisation
        )
        if exchange.deadline > self.last_deadline:
            # The process might exit before the request has ended.
            return self._refuse_not_ready(request_id, Reason.STOPPING)
        over_cap = self._apply_usage_cap(exchange)
        if over_cap is not None:
            return over_cap
        if self._searches_slots(exchange.service):
            exchange.search = SlotSearch()
        budget = self._get_budget(exchange.service)
        budget.count_request(arrived_at)
        try:
            response = await self._try_servers(exchange, budget)
            self._give_back_usage(exchange)
            return response
        except asyncio.CancelledError:
            self.metrics.count("requests", outcome=Reason.CALLER_GONE)
            self.log.write(
                "request.caller_gone",
                request=request_id.decode("latin-1"),
                route=route.name,
                after_s=round(self.loop.time() - arrived_at, 3),
            )
            raise

    def _apply_usage_cap(self, exchange: Exchange) -> HttpResponse | None:
        """Returns a refusal if the organisation has used up its cap."""
        organisation = exchange.organisation
        if organisation is None:
            return None
        wait_s = self.mesh.usage.admit(organisation, self.loop.time())
        if wait_s is None:
            return None
        self.log.write(
            "request.over_cap",
            request=exchange.request_id.decode("latin-1"),
            route=exchange.route.name,
            organisation=organisation.name,
            retry_after_s=round(wait_s, 3),
            hub_heard=self.mesh.usage.is_connected(self.loop.time()),
        )
        return self._refuse(
            exchange.request_id, Reason.OVER_CAP, wait_s, TOO_MANY_REQUESTS
        )

    def _give_back_usage(self, exchange: Exchange) -> None:
        """Does not count a request that has not run and never will.

        A request whose caller disconnects is counted: it may be running.
        """
        if exchange.organisation is not None and not exchange.may_have_run:
            self.mesh.usage.give_back(exchange.organisation)

    def _refuse_not_ready(
        self, request_id: bytes, reason: Reason
    ) -> HttpResponse:
        """Refuses a request while this node starts or stops."""
        self.log.write(
            "request.refused",
            request=request_id.decode("latin-1"),
            reason=reason,
            active=self.executor.get_load().running,
        )
        return self._refuse(request_id, reason, NOT_READY_RETRY_AFTER_S)

    def _respond_no_route(
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
        return self._make_response(NOT_FOUND, request_id, Reason.NO_ROUTE)

    def _identify(
        self, request: HttpRequest, route: Route, request_id: bytes
    ) -> Organisation | HttpResponse | None:
        """Returns the organisation of a request, or the response to refuse it.

        Returns:
          None if the request has no organisation and needs none.
        """
        found = self.directory.identify(request.headers, route)
        if not isinstance(found, KeyRefusal):
            return found
        reason = Reason.UNAUTHENTICATED
        self.metrics.count("requests", outcome=reason)
        self.metrics.count("key_refusals", reason=found.reason)
        self.log.write(
            "request.unauthenticated",
            request=request_id[:MAX_LOGGED_ID_BYTES].decode("latin-1"),
            route=route.name,
            status=UNAUTHORIZED,
            reason=reason,
            refusal=found.reason,
            key_hash=found.key_hash,
            config_version=self.mesh.config_version,
        )
        response = self._make_response(UNAUTHORIZED, request_id, reason)
        response.headers.append((b"WWW-Authenticate", b"Bearer"))
        return response

    def _create_exchange(
        self,
        request: HttpRequest,
        route: Route,
        request_id: bytes,
        arrived_at: float,
        organisation: Organisation | None = None,
    ) -> Exchange:
        split = self.splits.get(route.name)
        if split is None:
            split = WeightedSplit(route.split)
            self.splits[route.name] = split
        timeout_s = route.timeout_s
        value = request.get_header(self.settings.fields.deadline_ms)
        if value is not None:
            remaining_s = _parse_milliseconds(value)
            if remaining_s is not None:
                timeout_s = min(timeout_s, remaining_s)
        objective_s = min(timeout_s, route.target_latency_s)
        soft_deadline_s = objective_s * SOFT_DEADLINE_SHARE
        priority = self.directory.get_priority(route, organisation)
        rank = priority * RANKS_PER_PRIORITY + 1
        if self.executor.is_nested(request_id):
            # Refusing a nested call wastes the work of its parent request.
            soft_deadline_s = max(
                soft_deadline_s, timeout_s * NESTED_SOFT_DEADLINE_SHARE
            )
            # Nested calls carry no key. Those of an urgent organisation could
            # else wait behind requests of others.
            rank = rank - 1 if not self.directory.active else MOST_URGENT_RANK
        return Exchange(
            request,
            route,
            split.choose(),
            request_id,
            arrived_at,
            arrived_at + timeout_s,
            arrived_at + soft_deadline_s,
            arrived_at + max(objective_s, soft_deadline_s),
            rank,
            self._headers_to_forward(request, organisation),
            set(),
            organisation,
        )

    def _headers_to_forward(
        self, request: HttpRequest, organisation: Organisation | None
    ) -> Headers:
        """Returns the header fields to forward.

        Fields that nodes set themselves are dropped if the caller sent them.
        """
        fields = self.settings.fields
        own = (fields.deadline_ms, fields.expected_instance, fields.caller)
        headers = [
            (name, value)
            for name, value in remove_hop_by_hop(request.headers)
            if name not in own
        ]
        headers.append((fields.caller, self.settings.service.encode()))
        return self.directory.forward_headers(
            headers, fields.organisation, organisation
        )

    def _get_budget(self, service: str) -> RetryBudget:
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

    async def _try_servers(
        self, exchange: Exchange, budget: RetryBudget
    ) -> HttpResponse:
        while True:
            now = self.loop.time()
            peer, may_wait = self._choose_server(exchange, now)
            if peer is None or now >= exchange.deadline:
                return self._finish(exchange)
            if self.suspects.suspects:
                peer, retry_after_s = self._apply_suspicion(exchange, peer, now)
                if peer is None:
                    return self._finish_held(exchange, retry_after_s)
            result = await self._attempt(exchange, peer, may_wait)
            exchange.last_result = result
            if (
                result.outcome is Outcome.ANSWERED
                or result.kind is ResponseKind.REJECTION
            ):
                exchange.answer = result
                if not (exchange.route.idempotent and result.is_failure):
                    return self._finish(exchange)
            if not self._may_retry(exchange, result, budget):
                return self._finish(exchange)

    def _choose_server(
        self, exchange: Exchange, now: float
    ) -> tuple[Peer | None, bool]:
        """Returns the node to send to and whether the request may wait there.

        The node is None if there is no server.
        """
        peers = self.mesh.membership.peers_serving(exchange.service)
        ratio = self.durations.get_ratio(exchange.route.name, exchange.service)
        search = exchange.search
        excluded = exchange.tried_instances | self._find_without_memory(
            exchange, peers, now
        )
        if search is not None and not search.is_over:
            peer = self.selector.choose_to_ask(
                peers,
                excluded | search.busy,
                exchange.service,
                exchange.rank,
                exchange.same_domain_deadline,
                now,
                ratio,
            )
            if peer is not None:
                return peer, False
            search.end()
        peer = self.selector.choose(
            peers,
            excluded,
            exchange.service,
            exchange.rank,
            exchange.same_domain_deadline,
            now,
            ratio,
        )
        return peer, True

    def _find_without_memory(
        self, exchange: Exchange, peers: list[Peer], now: float
    ) -> set[str]:
        """Returns the servers whose nodes have no memory for a request."""
        short = [
            peer
            for peer in peers
            if peer.load.memory_level
            and not peer.is_self
            and now - peer.load_received_at < MEMORY_REPORT_LIFETIME_S
        ]
        if not short:
            return set()
        cost = exchange.compute_call_cost()
        return {
            peer.record.instance.id
            for peer in short
            if peer.record.instance is not None
            and not peer.load.has_memory_for(cost)
        }

    def _searches_slots(self, service: str) -> bool:
        """Returns whether requests to a service look for a free slot first."""
        enabled = self.settings.balancing.slot_search
        if enabled is not None:
            return enabled
        if self.snapshot is not None and self.snapshot.organisations:
            return True
        return any(
            peer.load.pace > 0
            for peer in self.mesh.membership.peers_serving(service)
        )

    def _apply_suspicion(
        self, exchange: Exchange, peer: Peer, now: float
    ) -> tuple[Peer | None, float]:
        """Returns where a request under which servers ended may run.

        Returns:
          The node that may run it, and Retry-After if there is none.
        """
        instance = peer.record.instance
        if instance is None:
            return peer, 0.0
        ready = [
            other
            for other in self.mesh.membership.peers_serving(exchange.service)
            if other.usable
            and other.version == instance.version
            and not self._is_evacuated(other)
        ]
        digest = exchange.compute_digest()
        admission, retry_after_s = self.suspects.judge(
            exchange.service, instance.version, digest, len(ready), now
        )
        if admission is Admission.ALLOWED:
            return peer, 0.0
        if admission is Admission.HELD:
            return None, retry_after_s
        # All nodes choose the same server, which keeps it from the others.
        chosen = min(ready, key=lambda other: _rank_server(digest, other))
        chosen_instance = chosen.record.instance
        assert chosen_instance is not None
        if chosen_instance.id in exchange.tried_instances:
            return None, SPARE_RETRY_AFTER_S
        return chosen, 0.0

    def _finish_held(
        self, exchange: Exchange, retry_after_s: float
    ) -> HttpResponse:
        """Returns the response to a request that is kept from the servers."""
        if exchange.may_have_run:
            return self._finish(exchange)
        self._log_failure(exchange, UNAVAILABLE, Reason.HELD)
        return self._refuse(exchange.request_id, Reason.HELD, retry_after_s)

    async def _attempt(
        self, exchange: Exchange, peer: Peer, may_wait: bool
    ) -> CallResult:
        now = self.loop.time()
        instance = peer.record.instance
        assert instance is not None
        route = exchange.route
        exchange.tried_instances.add(instance.id)
        wait_s, _ = peer.expected_times_s(now)
        mean_s = peer.load.mean_service_s
        load_age_s = now - peer.load_received_at
        peer.outstanding += 1
        peer.used_incarnation = (instance.id, instance.born_ms)
        try:
            if peer.is_self:
                result = await self._run_locally(exchange, may_wait)
            else:
                result = await self._run_remotely(exchange, peer, may_wait)
        finally:
            peer.outstanding -= 1
        ended = self.loop.time()
        if result.reason is Reason.BUSY:
            # The next attempt's line counts the servers that were asked.
            self._record_attempt(exchange, peer, result, ended)
            return result
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
            asked=len(exchange.search.busy) if exchange.search else 0,
        )
        if wait_s <= 0.0 and not result.is_failure and now >= peer.cold_until:
            self.durations.add(
                route.name, exchange.service, ended - now, mean_s
            )
        self._record_attempt(exchange, peer, result, ended)
        response = result.response
        if response is not None and is_leaving(response, self.settings.fields):
            self.mesh.membership.mark_leaving(peer, instance)
        return result

    def _record_attempt(
        self, exchange: Exchange, peer: Peer, result: CallResult, now: float
    ) -> None:
        """Applies the result of an attempt to the request and the peer."""
        if result.sent_to_server:
            exchange.attempts += 1
        if result.outcome is not Outcome.NOT_RUN:
            exchange.may_have_run = True
        elif result.reason is Reason.BUSY and exchange.search is not None:
            assert peer.record.instance is not None
            exchange.search.add_busy(peer.record.instance.id)
            exchange.tried_instances.discard(peer.record.instance.id)
            peer.handle_busy()
        elif result.reason is Reason.EVACUATED:
            exchange.refusals += 1
            self._leave_out_domain(exchange, peer.record.failure_domain)
        elif result.reason in (Reason.HELD, Reason.NO_ROOM):
            # The refusal is about the request and not about the server. The
            # load report with it says for which requests there is no memory.
            exchange.refusals += 1
        elif not result.sent_to_server:
            exchange.refusals += 1
            max_backoff_s = (
                SAME_DOMAIN_BACKOFF_S
                if peer.same_domain
                else CROSS_DOMAIN_BACKOFF_S
            )
            peer.refused_until = now + min(max_backoff_s, result.retry_after_s)
            peer.refused_rank = exchange.rank

    def _is_evacuated(self, peer: Peer) -> bool:
        return self.evacuations.is_evacuated(peer.record.failure_domain)

    def _leave_out_domain(self, exchange: Exchange, domain: str) -> None:
        """Leaves out the servers of a failure domain that is evacuated.

        This node may learn of the evacuation later than the refusing one.
        """
        for peer in self.mesh.membership.peers_serving(exchange.service):
            instance = peer.record.instance
            if peer.record.failure_domain == domain and instance is not None:
                exchange.tried_instances.add(instance.id)

    async def _run_locally(
        self, exchange: Exchange, may_wait: bool
    ) -> CallResult:
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
            exchange.soft_deadline,
            request.method,
            request.target,
            exchange.headers,
            request.body,
            organisation=exchange.organisation_name,
            may_wait=may_wait,
        )
        return await self.executor.run(call)

    async def _run_remotely(
        self, exchange: Exchange, peer: Peer, may_wait: bool
    ) -> CallResult:
        instance = peer.record.instance
        assert instance is not None
        link = await self.mesh.links.get(peer)
        if link is None:
            return CallResult(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        now = self.loop.time()
        request = exchange.request
        route = exchange.route
        remaining_s = exchange.deadline - now

        def make_call(number: int, body: Body) -> Call:
            return Call(
                number,
                now,
                remaining_s,
                exchange.soft_deadline - now,
                exchange.request_id,
                instance.id,
                instance.born_ms,
                route.name,
                exchange.rank,
                route.idempotent,
                request.method,
                request.target,
                exchange.headers,
                cast(bytes, body),
                exchange.organisation_name,
                may_wait,
                0 if route.idempotent else len(request.body),
            )

        reply = await link.send_call(
            make_call,
            request.body,
            route.idempotent,
            remaining_s + TIMEOUT_GRACE_S,
        )
        response = _response_from_reply(reply)
        kind = None
        if response is not None:
            kind = classify_response(response, self.settings.fields)
        return CallResult(
            reply.outcome,
            reply.reason,
            response,
            reply.sent_to_server,
            reply.retry_after_s,
            kind,
        )

    # The end of an attempt.

    def _may_retry(
        self, exchange: Exchange, result: CallResult, budget: RetryBudget
    ) -> bool:
        """Returns whether the request may be sent to another server."""
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
        if not budget.try_acquire(now):
            self.metrics.count("retries", outcome=Reason.BUDGET_SPENT)
            self.log.write(
                "request.not_retried",
                request=exchange.request_id.decode("latin-1"),
                reason=Reason.BUDGET_SPENT,
                firsts=len(budget.first_attempts),
                repeats=len(budget.retries),
            )
            return False
        self.metrics.count("retries", outcome="sent")
        return True

    def _finish(self, exchange: Exchange) -> HttpResponse:
        """Returns the server's response, or one that says why there is none."""
        answer, last = exchange.answer, exchange.last_result
        final = choose_final_answer(
            answer, last, exchange.may_have_run, exchange.route.idempotent
        )
        if answer is not None and answer.response is not None:
            if final is FinalAnswer.SERVER:
                took_s = self.loop.time() - exchange.arrived_at
                self.metrics.count("requests", outcome="answered")
                self.metrics.observe("request_duration", took_s)
                return answer.response
            reason = Reason.UNCONFIRMED
        elif last is not None:
            reason = last.reason
        else:
            reason = self._explain_no_attempt(exchange)
        if final is FinalAnswer.NOT_RUN:
            wait_s = last.retry_after_s if last is not None else 0.0
            self._log_failure(exchange, UNAVAILABLE, reason)
            return self._refuse(exchange.request_id, reason, wait_s)
        status = (
            GATEWAY_TIMEOUT if final is FinalAnswer.EXPIRED else BAD_GATEWAY
        )
        self.metrics.count("requests", outcome=reason)
        self._log_failure(exchange, status, reason)
        return self._make_response(status, exchange.request_id, reason)

    def _explain_no_attempt(self, exchange: Exchange) -> Reason:
        """Returns why a request was sent to no server."""
        peers = self.mesh.membership.peers_serving(exchange.service)
        now = self.loop.time()
        usable = [peer for peer in peers if peer.usable]
        if usable and all(self._is_evacuated(peer) for peer in usable):
            return Reason.EVACUATED
        if self._find_without_memory(exchange, usable, now):
            return Reason.NO_ROOM
        if any(
            peer.usable and peer.is_full_for(exchange.rank, now)
            for peer in peers
        ):
            return Reason.OVERLOADED
        return Reason.NO_SERVER

    def _log_failure(
        self, exchange: Exchange, status: int, reason: Reason
    ) -> None:
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
            after_s=round(self.loop.time() - exchange.arrived_at, 3),
            config_version=self.mesh.config_version,
        )

    def _refuse(
        self,
        request_id: bytes,
        reason: Reason,
        wait_s: float,
        status: int = UNAVAILABLE,
    ) -> HttpResponse:
        """Returns a response that says that the request has not run."""
        self.metrics.count("requests", outcome=reason)
        response = self._make_response(status, request_id, reason)
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        response.headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        return response

    def _make_response(
        self, status: int, request_id: bytes, reason: Reason
    ) -> HttpResponse:
        headers = [(b"Content-Type", b"text/plain")]
        if request_id:
            headers.append((self.settings.fields.request_id, request_id))
        return HttpResponse(status, headers, reason.encode() + b"\n")


def _rank_server(digest: int, peer: Peer) -> int:
    """Returns a rank that differs from one request to the next."""
    return zlib.crc32(peer.record.address.encode(), digest & 0xFFFFFFFF)


def _parse_milliseconds(value: bytes) -> float | None:
    """Returns milliseconds as seconds, None if the value is not a number."""
    try:
        return max(0.0, float(value) / 1000.0)
    except ValueError:
        return None


def _response_from_reply(reply: Reply) -> HttpResponse | None:
    if reply.status == 0:
        return None
    return HttpResponse(
        reply.status, list(reply.headers), reply.body, reply.phrase
    )
