"""Tests of the node beside a server."""

import asyncio
import collections
import dataclasses
import os
import random

import pytest
from vanillamast_sidecar.admission.link_pacer import LinkPacer
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.admission.server_call import ServerCall
from vanillamast_sidecar.admission.server_executor import ServerExecutor
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.crashes.request_digest import digest_request
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.server_registry import ServerRegistry
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings

HOST = "127.31.0.1"
FIELDS = FieldNames(
    b"x-id",
    b"x-deadline",
    b"x-instance",
    b"x-caller",
    b"x-proof",
    b"x-not-run",
    b"limit",
    b"leaving",
)


class Backend:
    """A server that answers with scripted bytes.

    Attributes:
      requests: Heads of the requests that arrived.
      connections: Number of open connections.
      most_connections: Most open connections when a request arrived.
      script: Returns the bytes that answer the nth request on a connection,
        from its number and its id.
      answers_after_s: Time until it answers.
      ends: Ends of the server that the executor has reported.
      writers: Its connections.
    """

    def __init__(self):
        self.requests = []
        self.connections = 0
        self.most_connections = 0
        self.answers_after_s = 0.0
        self.ends = []
        self.writers = []
        self.script = lambda number, request_id: answer(request_id)

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        number = 0
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                self.most_connections = max(
                    self.most_connections, self.connections
                )
                await asyncio.sleep(self.answers_after_s)
                fields = dict(
                    line.split(b": ", 1)
                    for line in head.split(b"\r\n")[1:]
                    if line
                )
                request_id = fields.get(b"x-id", b"")
                writer.write(self.script(number, request_id))
                number += 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def close_connections(self):
        """Resets all connections."""
        for writer in self.writers:
            writer.transport.abort()


def answer(request_id, extra=b""):
    """Returns a signed response."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: 1\r\n%sContent-Length: 2\r\n"
        b"\r\nok" % (request_id, extra)
    )


def refusal(request_id):
    """Returns a response that says that the request has not run."""
    return (
        b"HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n"
        b"Content-Length: 0\r\n\r\n" % request_id
    )


@pytest.fixture
async def backend():
    """Returns a server with a node's executor beside it."""
    found = Backend()
    server = await asyncio.start_server(found.serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    address = Address(HOST, port)
    settings = SidecarSettings(
        "m1",
        "a",
        "browse",
        *[address] * 6,
        1.5,
        Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0),
        FIELDS,
    )
    registry = ServerRegistry(1.5)
    registry.handle_heartbeat(
        Heartbeat("i-1", 1, 1, "browse", str(address), "v1", 4, False, 0.0),
        0.0,
    )
    found.executor = ServerExecutor(
        settings,
        registry,
        MoveTable(lambda _: None),
        EventLogger("m1", os.open(os.devnull, os.O_WRONLY)),
        Metrics(),
        lambda: None,
        lambda: found.executor.handle_server_change(),
        CrashSuspects(CrashSettings(), random.Random(1)),
        found.ends.append,
    )
    found.executor.handle_server_change()
    found.server = server
    yield found
    found.executor.pool.drop_idle()
    server.close()


async def run(backend, request_id=b"1", timeout_s=5.0):
    """Runs a request that may run only once."""
    now = asyncio.get_running_loop().time()
    return await backend.executor.run(
        ServerCall(
            request_id,
            "i-1",
            1,
            "route",
            1,
            False,
            now + timeout_s,
            now + timeout_s,
            "POST",
            "/",
            [(b"x-id", request_id)] if request_id else [],
            b"",
        )
    )


class TestSecondCopies:
    """A response counts for the request that it answers, once."""

    async def test_a_second_copy_of_a_refusal(self, backend):
        """Guards against 'not run' for a request that has run."""

        def script(number, request_id):
            if number == 0:
                return refusal(request_id)
            return refusal(b"1") + answer(request_id)

        backend.script = script
        first = await run(backend, b"1")
        assert first.outcome is Outcome.NOT_RUN
        second = await run(backend, b"2")
        assert second.outcome is Outcome.ANSWERED

    async def test_a_second_copy_without_the_right_response(self, backend):
        """Guards against 'not run' for a request that still runs."""
        backend.script = lambda number, request_id: refusal(b"1")
        await run(backend, b"1")
        second = await run(backend, b"2", timeout_s=0.2)
        assert second.outcome is Outcome.EXPIRED

    async def test_requests_without_an_id_share_no_connection(self, backend):
        """Guards against a copy that nothing tells from the response."""

        def script(number, request_id):
            del number
            return refusal(request_id) if not request_id else answer(request_id)

        backend.script = script
        await run(backend, b"")
        pool = backend.executor.pool
        assert pool.idle == []
        await run(backend, b"1")
        (idle,) = pool.idle
        await run(backend, b"")
        assert pool.idle == [idle]


class TestInvalidStatuses:
    """A status that is none makes the outcome unclear."""

    @pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
    async def test_it_counts_against_the_server(self, backend, status):
        """Guards against a status that reaches a caller, or a second run."""
        backend.script = lambda number, request_id: answer(request_id).replace(
            b"200", status
        )
        result = await run(backend, timeout_s=1.0)
        assert result.outcome is Outcome.UNKNOWN
        assert result.reason is Reason.MALFORMED
        assert result.response is None
        assert len(backend.requests) == 1
        counters = backend.executor.metrics.counters
        assert counters["server_failures", (("reason", "malformed"),)] == 1


class TestOwnRefusals:
    """What the node learns of a server that refuses what it may have run."""

    def fail(self, backend, status, fields=b"X-Proof: 1\r\n"):
        """Makes the server answer with a status; returns what is counted."""
        outcomes = []
        backend.script = lambda number, request_id: (
            b"HTTP/1.1 %d No\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
            % (status, request_id, fields)
        )
        backend.executor.moves.count_outcome = lambda *args: outcomes.append(
            args[2]
        )
        return outcomes

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    async def test_it_counts_as_a_failure(self, backend, status):
        """Guards against a bad version that completes, and attracts load."""
        outcomes = self.fail(backend, status)
        result = await run(backend)
        assert result.outcome is Outcome.ANSWERED
        assert result.kind is ResponseKind.UNCONFIRMED
        assert outcomes == [True]
        assert backend.executor.get_load().failure_share > 0.0
        # Such an answer is quick, and no sign of a fast server.
        assert not backend.executor.queue.mean_service_s_by_route

    async def test_it_does_not_clear_a_suspect(self, backend):
        """Guards against a deadly request that one server had no room for."""
        digest = digest_request("POST", b"", "/", b"")
        suspects = backend.executor.suspects
        for number in range(CrashSettings().max_ends - 1):
            suspects.record_end(
                ServerEnd("browse", "v1", f"i-{number}", 1, [digest]),
                asyncio.get_running_loop().time(),
            )
        known = dict(suspects.suspects)
        assert known
        self.fail(backend, 503)
        await run(backend)
        assert suspects.suspects == known
        self.fail(backend, 500)
        await run(backend, b"2")
        assert not suspects.suspects

    async def test_a_rejected_request_is_not_the_servers_fault(self, backend):
        """Guards against faulty callers that make servers look bad."""
        outcomes = self.fail(backend, 400, b"X-Not-Run: 1\r\n")
        result = await run(backend)
        assert result.outcome is Outcome.NOT_RUN
        assert result.response.status == 400
        assert outcomes == []
        assert backend.executor.get_load().failure_share == 0.0


class TestStopping:
    """A stopping node runs what can end before its exit."""

    async def test_calls_that_would_outlive_it_do_not_run(self, backend):
        """Guards against calls of other nodes that are cut at the exit."""
        now = asyncio.get_running_loop().time()
        backend.executor.last_deadline = now + 1.0
        refused = await run(backend, b"1", timeout_s=2.0)
        assert (refused.outcome, refused.reason) == (
            Outcome.NOT_RUN,
            Reason.STOPPING,
        )
        assert backend.requests == []
        assert (await run(backend, b"2", 0.5)).outcome is Outcome.ANSWERED

    async def test_requests_that_wait_for_the_rate_limit_keep_it_busy(
        self, backend
    ):
        """Guards against an exit while requests wait and none runs."""
        now = asyncio.get_running_loop().time()
        backend.executor.queue.limiter.apply_limit(2.0, now)
        task = asyncio.create_task(run(backend, b"1"))
        await asyncio.sleep(0.05)
        assert backend.executor.is_busy()
        assert (await task).outcome is Outcome.ANSWERED
        assert not backend.executor.is_busy()


class TestNotices:
    """What a response says of the server takes effect at once."""

    async def test_a_limit_holds_the_next_requests_back(self, backend):
        """Guards against a limit that only the next heartbeat applies."""
        backend.script = lambda _, request_id: answer(
            request_id, b"Limit: 4\r\n"
        )
        started = asyncio.get_running_loop().time()
        await run(backend, b"0")
        results = await asyncio.gather(
            *(run(backend, b"%d" % number) for number in range(1, 5))
        )
        assert asyncio.get_running_loop().time() - started >= 0.9
        assert {result.outcome for result in results} == {Outcome.ANSWERED}

    async def test_what_cannot_be_sent_in_time_is_refused_at_once(
        self, backend
    ):
        """Guards against requests that wait until their time is over."""
        now = asyncio.get_running_loop().time()
        backend.executor.queue.limiter.apply_limit(0.5, now)
        result = await run(backend, b"1", timeout_s=1.0)
        assert result.reason is Reason.OVERLOADED
        assert result.retry_after_s > 1.5
        assert asyncio.get_running_loop().time() - now < 0.5

    async def test_a_leaving_server_gets_no_further_request(self, backend):
        """Guards against requests until the next heartbeat."""
        backend.script = lambda _, request_id: answer(
            request_id, b"Leaving: 1\r\n"
        )
        assert (await run(backend, b"1")).outcome is Outcome.ANSWERED
        assert (await run(backend, b"2")).reason is Reason.LEAVING


class TestConnectionLimit:
    """A server has no more connections than its service's limit."""

    async def test_requests_beyond_it_wait(self, backend):
        """Guards against connections that the server resets."""
        backend.executor.apply_connection_limit(2)
        backend.answers_after_s = 0.02
        results = await asyncio.gather(
            *(run(backend, b"%d" % number) for number in range(4))
        )
        assert {result.outcome for result in results} == {Outcome.ANSWERED}
        assert backend.most_connections == 2

    async def test_idle_connections_make_room(self, backend):
        """Guards against a limit that idle connections use up."""
        backend.executor.apply_connection_limit(2)
        backend.answers_after_s = 0.02
        await asyncio.gather(*(run(backend, b"%d" % n) for n in range(2)))
        for connection in backend.executor.pool.idle:
            # Too old for requests that may run only once.
            connection.idle_since -= 1.5
        results = await asyncio.gather(
            *(run(backend, b"%d" % number) for number in range(2, 4))
        )
        assert {result.outcome for result in results} == {Outcome.ANSWERED}
        assert backend.most_connections == 2


class TestServerEnds:
    """The end of a server is told apart from the loss of a connection."""

    async def test_an_end_is_reported_once_with_what_ran(self, backend):
        """Guards against a request that ends servers and is not noticed."""
        backend.answers_after_s = 0.2
        backend.script = lambda number, request_id: b""
        sends = [
            asyncio.create_task(run(backend, b"%d" % number))
            for number in range(3)
        ]
        await asyncio.sleep(0.1)
        backend.server.close()
        backend.close_connections()
        results = await asyncio.gather(*sends)
        assert {result.reason for result in results} == {Reason.CONNECTION_LOST}
        await backend.executor.end_detector.check
        (end,) = backend.ends
        assert (end.instance_id, end.version) == ("i-1", "v1")
        # The three requests differ in their ids only.
        assert len(end.digests) == 1

    async def test_a_lost_connection_is_no_end(self, backend):
        """Guards against a server that is given up for a lost response."""
        backend.answers_after_s = 0.1
        sends = asyncio.create_task(run(backend))
        await asyncio.sleep(0.05)
        backend.close_connections()
        assert (await sends).reason is Reason.CONNECTION_LOST
        await backend.executor.end_detector.check
        assert backend.ends == []
        assert (await run(backend, b"2")).outcome is Outcome.ANSWERED

    async def test_a_held_request_is_refused_as_not_run(self, backend):
        """Guards against a request that reaches a server while it is held."""
        digest = digest_request("POST", b"", "/", b"")
        for number in range(CrashSettings().max_ends):
            backend.executor.suspects.record_end(
                ServerEnd("browse", "v1", f"i-{number}", 1, [digest]),
                asyncio.get_running_loop().time(),
            )
        result = await run(backend)
        assert (result.outcome, result.reason) == (
            Outcome.NOT_RUN,
            Reason.HELD,
        )
        assert result.retry_after_s > 1.0
        assert backend.requests == []


class TestCallsThatMayNotWait:
    """Calls that look for a free slot."""

    async def call(self, backend, request_id, may_wait):
        """Runs a call that may or may not wait."""
        now = asyncio.get_running_loop().time()
        return await backend.executor.run(
            ServerCall(
                request_id,
                "i-1",
                1,
                "route",
                1,
                True,
                now + 5.0,
                now + 5.0,
                "GET",
                "/",
                [(b"x-id", request_id)],
                b"",
                may_wait=may_wait,
            )
        )

    async def test_they_are_refused_at_once_without_a_slot(self, backend):
        """Guards against a search that waits at the first full server."""
        backend.answers_after_s = 0.2
        running = [
            asyncio.create_task(self.call(backend, b"%d" % n, True))
            for n in range(4)
        ]
        await asyncio.sleep(0.05)
        result = await self.call(backend, b"9", False)
        assert result.outcome is Outcome.NOT_RUN
        assert result.reason is Reason.BUSY
        assert backend.executor.queue.size == 0
        for task in running:
            assert (await task).outcome is Outcome.ANSWERED

    async def test_they_run_in_a_free_slot(self, backend):
        """Guards against a search that never finds a slot."""
        result = await self.call(backend, b"1", False)
        assert result.outcome is Outcome.ANSWERED


class TestPace:
    """The pace that the server states."""

    async def test_it_is_in_the_load_report(self, backend):
        """Guards against nodes that take a slowed server for a fast one."""
        settings = backend.executor.settings
        backend.executor.settings = dataclasses.replace(
            settings,
            fields=dataclasses.replace(settings.fields, server_load=b"load"),
        )
        backend.script = lambda number, request_id: answer(
            request_id, b"Load: 1,0,4,%d\r\n" % (100 if number < 3 else 300)
        )
        for n in range(4):
            await run(backend, b"%d" % n)
        report = backend.executor.get_load()
        assert report.pace == 300
        mean_s = backend.executor.queue.mean_service_s
        assert report.mean_service_s > 2.0 * mean_s


class TestWarmUp:
    """A cold server gets no more than its warm-up rate."""

    RATE_PER_S = 10.0

    def turn_cold(self, backend, sequence=2, cold_s=30.0):
        """Applies a heartbeat that says that the server is cold."""
        executor = backend.executor
        executor.registry.handle_heartbeat(
            Heartbeat(
                "i-1",
                1,
                sequence,
                "browse",
                executor.registry.current.address,
                "v1",
                64,
                False,
                cold_s,
            ),
            asyncio.get_running_loop().time(),
        )
        executor.handle_server_change()

    async def send_all(self, backend, count, timeout_s=1.0):
        """Sends requests at once; returns the results by reason."""
        results = await asyncio.gather(
            *(run(backend, b"%d" % n, timeout_s) for n in range(count))
        )
        return collections.Counter(result.reason for result in results)

    async def test_a_crowd_gets_the_rate_and_the_rest_is_refused(self, backend):
        """Guards against a cold server that crashes under a crowd."""
        backend.executor.apply_warm_up(WarmUp(30.0, self.RATE_PER_S))
        self.turn_cold(backend)
        reasons = await self.send_all(backend, 60)
        assert 5 <= len(backend.requests) <= 13
        assert reasons[Reason.OVERLOADED] == 60 - len(backend.requests)

    async def test_nothing_changes_without_a_rate(self, backend):
        """Guards against a limit that no configuration asks for."""
        backend.executor.apply_warm_up(None)
        self.turn_cold(backend)
        assert await self.send_all(backend, 60) == {Reason.NONE: 60}

    async def test_a_later_configuration_applies_to_a_cold_server(
        self, backend
    ):
        """Guards against a rate that counts only from the next cold time."""
        backend.executor.apply_warm_up(None)
        self.turn_cold(backend)
        backend.executor.apply_warm_up(WarmUp(30.0, self.RATE_PER_S))
        await self.send_all(backend, 60)
        assert len(backend.requests) <= 13

    async def test_no_configuration_and_a_cold_server(self, backend):
        """Guards against a started node that cannot know the rate."""
        self.turn_cold(backend)
        assert (await run(backend)).reason is Reason.NO_CONFIGURATION
        assert backend.requests == []

    async def test_requests_admitted_before_it_turned_cold(self, backend):
        """Guards against a crowd that was admitted while it was warm."""
        backend.executor.apply_warm_up(WarmUp(30.0, self.RATE_PER_S))
        self.turn_cold(backend, 2, 0.0)
        connected = asyncio.Event()
        connect = backend.executor.pool.acquire

        async def acquire_late(*args):
            await connected.wait()
            return await connect(*args)

        backend.executor.pool.acquire = acquire_late
        sends = asyncio.create_task(self.send_all(backend, 60, 5.0))
        await asyncio.sleep(0.05)
        self.turn_cold(backend, 3)
        connected.set()
        reasons = await sends
        most = backend.executor.queue.warm_up.max_in_window
        assert len(backend.requests) == most
        assert reasons == {Reason.NONE: most, Reason.OVERLOADED: 60 - most}

    async def test_waiting_requests_run_when_the_cold_time_ends(self, backend):
        """Guards against a warm server that is still limited."""
        backend.executor.apply_warm_up(WarmUp(30.0, 0.5))
        self.turn_cold(backend, cold_s=0.2)
        started = asyncio.get_running_loop().time()
        assert await self.send_all(backend, 8, 2.0) == {Reason.NONE: 8}
        assert asyncio.get_running_loop().time() - started < 1.0


class TestEvacuation:
    """An evacuated server gets no request; those that run go on."""

    async def test_waiting_requests_are_refused_and_running_ones_go_on(
        self, backend
    ):
        """Guards against requests after the evacuation, and lost ones."""
        backend.executor.apply_connection_limit(1)
        backend.answers_after_s = 0.3
        sends = [
            asyncio.create_task(run(backend, b"%d" % number))
            for number in range(2)
        ]
        await asyncio.sleep(0.1)
        backend.executor.evacuations.apply([Evacuation("a", True, 1)])
        backend.executor.refuse_if_evacuated()
        results = await asyncio.gather(*sends)
        assert [result.reason for result in results] == [
            Reason.NONE,
            Reason.EVACUATED,
        ]
        assert results[1].outcome is Outcome.NOT_RUN
        assert (await run(backend, b"4")).reason is Reason.EVACUATED
        assert len(backend.requests) == 1

    async def test_others_and_withdrawn_evacuations_change_nothing(
        self, backend
    ):
        """Guards against refusals on servers that may be used."""
        evacuations = backend.executor.evacuations
        evacuations.apply([Evacuation("a", True, 1), Evacuation("b", True, 2)])
        evacuations.apply([Evacuation("a", False, 3)])
        backend.executor.refuse_if_evacuated()
        assert (await run(backend)).outcome is Outcome.ANSWERED


class TestDownloads:
    """Responses that the node's link carries slowly."""

    async def test_they_keep_their_slot_until_the_link_is_free(self, backend):
        """Guards against downloads that fill a link faster than it empties."""
        executor = backend.executor
        executor.download_routes = frozenset(("route",))
        executor.link = LinkPacer(4e-6)
        now = asyncio.get_running_loop().time()
        call = ServerCall(
            b"1",
            "i-1",
            1,
            "route",
            1,
            True,
            now + 60.0,
            now + 60.0,
            "GET",
            "/",
            [(b"x-id", b"1")],
            b"",
            remote=True,
        )
        assert (await executor.run(call)).outcome is Outcome.ANSWERED
        second = asyncio.create_task(executor.run(call))
        await asyncio.sleep(0.1)
        assert not second.done()
        assert executor.queue.running == 1
        second.cancel()
        with pytest.raises(asyncio.CancelledError):
            await second
        assert executor.queue.running == 0
