"""Tests of the fake backend server and the load generator against it."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import falcon.asgi
import pytest
from vanillamast_core import ServerState
from vanillamast_testing import (
    Announcer,
    Backend,
    BackendSettings,
    Badness,
    LoadGenerator,
    LoadReport,
    LoadSettings,
    answer_body,
    merge_runs,
    serve,
)
from vanillamast_testing.connection_control import connection_of
from vanillamast_testing.load_gauge import LoadGauge
from vanillamast_testing.slot_pool import ShedError, SlotPool

HANG_TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def running_backend(
    **settings: Any,
) -> AsyncIterator[tuple[Backend, str, aiohttp.ClientSession]]:
    """Serves a warm backend server; yields it, its address and a client."""
    values = {"service": "browse", "version": "1", "work_ms": 0.0}
    chosen = BackendSettings(**{**values, "cold_factor": 1.0, **settings})
    async with aiohttp.ClientSession() as session:
        backend = Backend(chosen, Badness(), random.Random(1), session)
        async with serve(backend.app(), "127.0.0.1:0") as (address,):
            yield backend, address, session


async def until(condition: Any) -> None:
    """Waits until a condition holds; only a hang exceeds the bound."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class TestBackend:
    """Slots, deadlines, cancellation, badness and drain."""

    async def test_sheds_without_running(self):
        """Guards against a shed request that was counted or run."""
        async with running_backend(slots=1, queue_limit=1) as (
            backend,
            address,
            session,
        ):

            async def get(name: str) -> tuple[int, str | None]:
                url = f"http://{address}/x?delay_ms=300"
                headers = {"x-request-id": name}
                async with session.get(url, headers=headers) as answer:
                    not_run = answer.headers.get("vanillamast-not-run")
                    return answer.status, not_run

            first = [asyncio.create_task(get(name)) for name in "ab"]
            await until(lambda: len(backend.slots.waiting) == 1)
            assert await get("c") == (503, "1")
            assert await asyncio.gather(*first) == [(200, None)] * 2
            assert backend.counts.runs == {"a": 1, "b": 1}
            assert backend.counts.shed == 1

    async def test_deadline_and_disconnect_stop_the_work(self):
        """Guards against work that continues after deadline or disconnect."""
        async with running_backend() as (backend, address, session):
            url = f"http://{address}/x?delay_ms=60000"
            headers = {"vanillamast-deadline-ms": "50"}
            async with session.get(url, headers=headers) as answer:
                assert answer.status == 504
                assert "vanillamast-not-run" not in answer.headers
            request = asyncio.create_task(session.get(url))
            await until(lambda: backend.slots.running == 1)
            request.cancel()
            await until(lambda: backend.slots.running == 0)
            assert backend.counts.stopped == 2
            assert backend.counts.completed == 0

    async def test_deadline_in_the_queue_does_not_run(self):
        """Guards against running a request that waited too long."""
        async with running_backend(slots=1) as (backend, address, session):
            url = f"http://{address}/x?delay_ms=60000"
            first = asyncio.create_task(session.get(url))
            await until(lambda: backend.slots.running == 1)
            headers = {"vanillamast-deadline-ms": "50", "x-request-id": "b"}
            async with session.get(url, headers=headers) as answer:
                assert answer.headers["vanillamast-not-run"] == "1"
            assert "b" not in backend.counts.runs
            first.cancel()

    async def test_load_generator_sees_every_kind_of_badness(self):
        """Guards against faulty answers that are counted as served."""
        async with running_backend(slots=50) as (backend, address, session):
            expected = {"none": "served", "slow": "served", "cut": "cut_off"}
            for kind, field in expected.items():
                url = f"http://{address}/control/badness"
                badness = {"kind": kind, "delay_ms": 1, "prefix": "/bad"}
                async with session.post(url, json=badness) as answer:
                    assert answer.status == 200
                settings = LoadSettings(
                    (address,),
                    rate=200,
                    duration_s=0.1,
                    reads=("/bad/x",),
                    answer_bytes=50_000,
                )
                summary = await LoadGenerator(settings).run()
                assert getattr(summary, field) == summary.sent == 20
            backend.badness = Badness("fails", prefix="/other")
            summary = await LoadGenerator(settings).run()
            assert summary.served == 20
            backend.badness = Badness("fails", prefix="/bad")
            summary = await LoadGenerator(settings).run()
            assert summary.failed == {"500": 20}

    async def test_posts_are_counted_by_request_id(self):
        """Guards against a post that runs twice but is counted once."""
        async with (
            running_backend(slots=50) as (one, first, _),
            running_backend(slots=50) as (two, second, _),
        ):
            settings = LoadSettings(
                (first, second),
                rate=200,
                duration_s=0.2,
                posts=("/post",),
                post_share=0.5,
                repeats=1,
            )
            one.badness = Badness("cut")
            generator = LoadGenerator(settings)
            await generator.run()
            runs = merge_runs([one.counts, two.counts])
            posts = [r for r in generator.records if r.method == "POST"]
            repeated = [record for record in posts if record.attempts == 2]
            # Without a node in between nothing prevents the second run.
            assert repeated
            assert all(runs[r.request_id] == r.attempts for r in posts)
            assert {r.request_id for r in repeated} == {
                name for name, count in runs.items() if count > 1
            }

    @pytest.mark.parametrize(
        ("busy", "age", "path", "expected"),
        [
            (0.6, 5.0, "/a/b", True),
            (0.5, 5.0, "/a/b", False),
            (0.6, 4.9, "/a/b", False),
            (0.6, 5.0, "/b", False),
        ],
    )
    def test_badness_conditions(
        self, busy: float, age: float, path: str, expected: bool
    ):
        """Guards against a badness that ignores its time, load or path."""
        badness = Badness("fails", after_s=5, under_load=True, prefix="/a")
        assert badness.affects(path, age, busy) is expected

    async def test_follows_the_drain_order_of_its_node(self):
        """Guards against a server that ignores the start or end of a drain."""
        orders = [{"lease_s": 3.0, "drain": drain} for drain in (True, False)]
        seen = []

        class Node:
            async def on_post(self, req: Any, resp: Any) -> None:
                seen.append(await req.get_media())
                resp.media = orders[len(seen) - 1]

        app = falcon.asgi.App()
        app.add_route("/v1/announce", Node())
        async with (
            serve(app, "127.0.0.1:0") as (node,),
            running_backend(node_servers=node, start_s=0.0) as (
                backend,
                address,
                session,
            ),
        ):
            announcer = Announcer(
                backend.settings, backend.state, backend.gauge, address
            )
            states = []
            for _ in orders:
                await announcer.announce(session)
                now = asyncio.get_running_loop().time()
                states.append(backend.state.state(now))
        assert states == [ServerState.DRAINING, ServerState.SERVING]
        assert [item["state"] for item in seen] == ["serving", "draining"]
        assert seen[0]["address"] == address


class TestLoadGenerator:
    """Judgement of answers."""

    @pytest.mark.parametrize("last", ["cut_off", "lost"])
    async def test_repeat_with_a_wrong_answer_is_not_whole(self, last: str):
        """Guards against judging by another request's or attempt's answer."""

        class Node:
            """Refuses, then sends another request's answer or none."""

            def __init__(self) -> None:
                self.keys: list[str] = []

            async def on_post(self, req: Any, resp: Any) -> None:
                self.keys.append(req.get_header("Idempotency-Key"))
                if len(self.keys) == 1:
                    resp.status = falcon.HTTP_502
                    resp.set_header("vanillamast-refusal", "outcome_unclear")
                    resp.media = {"kind": "outcome_unclear", "not_run": False}
                    return
                if last == "lost":
                    connection_of(req.scope).abort()
                resp.data = answer_body("somebody-else", 512)

        node = Node()
        app = falcon.asgi.App()
        app.add_route("/post", node)
        async with serve(app, "127.0.0.1:0") as (address,):
            settings = LoadSettings(
                (address,),
                rate=100,
                duration_s=0.01,
                posts=("/post",),
                post_share=1.0,
                repeats=1,
            )
            generator = LoadGenerator(settings)
            summary = await generator.run()
        (record,) = generator.records
        assert (record.attempts, record.whole) == (2, False)
        assert (getattr(summary, last), summary.served) == (1, 0)
        assert node.keys == [record.key] * 2


class TestSlotPool:
    """Slots under cancellation."""

    async def test_cancelled_turn_passes_its_slot_on(self):
        """Guards against a slot that leaks when a waiting caller leaves."""
        pool = SlotPool(slots=1, queue_limit=2)
        await pool.acquire()
        first = asyncio.create_task(pool.acquire())
        second = asyncio.create_task(pool.acquire())
        await asyncio.sleep(0)
        with pytest.raises(ShedError):
            await pool.acquire()
        pool.release()
        first.cancel()
        await asyncio.wait_for(second, HANG_TIMEOUT_S)
        pool.release()
        assert pool.running == 0


class TestLoadGauge:
    """Reported load."""

    def test_report_lags(self):
        """Guards against a lagging report that is current."""
        gauge = LoadGauge(BackendSettings("s", "1", load_lag_s=2.0))
        gauge.measure(0.25, 10.0)
        gauge.measure(0.75, 11.0)
        assert [gauge.report(now) for now in (11.9, 12.0, 13.0)] == [
            0.0,
            0.25,
            0.75,
        ]

    def test_report_misleads(self):
        """Guards against a misleading report that follows the load."""
        settings = BackendSettings("s", "1", load_report=LoadReport.IDLE)
        gauge = LoadGauge(settings)
        gauge.measure(1.0, 1.0)
        assert gauge.report(2.0) == 0.0
