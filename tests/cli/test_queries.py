"""Tests of the commands that show the mesh's state."""

import asyncio
import io
import sys
from typing import Any

import falcon.asgi
import pytest
from vanillamast_cli import (
    CliSettings,
    Executor,
    ExitStatus,
    parse_command,
    verbs,
)
from vanillamast_cli.prompt import run_line, run_prompt
from vanillamast_core.configuration import Configuration, Route, Service
from vanillamast_testing import serve
from vanillamast_testing.connection_control import connection_of

from tests.cli.fake_node import FakeNode, Operator

ROUTES = {
    "all": Route("/", "browse"),
    "chapter": Route("/chapters", "reader"),
    "post": Route("/chapters", "reader", ("POST",)),
    "tags": Route("/tags", "browse"),
}


def make_routed_node() -> FakeNode:
    """Returns a node with several routes."""
    node = FakeNode()
    services = {"browse": Service("1"), "reader": Service("1")}
    assert node.publish(Configuration(services, ROUTES)).accepted
    return node


class TestQueries:
    """Showing state."""

    @pytest.mark.parametrize("output", ["table", "json"])
    async def test_everything_can_be_shown(self, output: str):
        """Guards against a node's answer that a command cannot decode."""
        node = make_routed_node()
        async with node.serving() as address:
            await Operator(address).run(
                "move browse from 1 to 2 in 1h named browse-1-2"
            )
            executor = Executor(
                CliSettings((address,), output), io.StringIO(), sys.stderr
            )
            for name in verbs:
                if name.startswith(("show_", "explain")):
                    line = verbs.get(name).example.split("'")[1]
                    status = await executor.execute(line)
                    unknown = name == "show_outcome"
                    assert status == (4 if unknown else 0), line

    async def test_configuration_can_be_published_again(self, tmp_path: Any):
        """Guards against a dump that loses or changes an object."""
        node = make_routed_node()
        async with node.serving() as address:
            await Operator(address).run("move browse from 1 to 2 in 1h")
            out = io.StringIO()
            executor = Executor(CliSettings((address,)), out, sys.stderr)
            await executor.execute("show configuration")
            file = tmp_path / "mesh.yaml"
            file.write_text(out.getvalue())
            _, (printed,) = await Operator(address).run(f'publish "{file}"')
            assert printed["changes"] == []

    @pytest.mark.parametrize(
        ("request_line", "route", "reasons"),
        [
            (
                "GET /chapters/7?x=1",
                "chapter",
                {
                    "all": "another route has a longer prefix",
                    "post": "takes POST only",
                    "tags": "its path is no prefix",
                },
            ),
            ("GET /chaptersx", "all", {"chapter": "its path is no prefix"}),
            (
                "PUT /chapters",
                None,
                {
                    "chapter": "takes GET, HEAD only",
                    "post": "takes POST only",
                },
            ),
        ],
    )
    async def test_explain_route(
        self, request_line: str, route: str | None, reasons: dict[str, str]
    ):
        """Guards against an explanation that differs from the choice."""
        async with make_routed_node().serving() as address:
            operator = Operator(address)
            _, (shown,) = await operator.run(f"explain route {request_line}")
        assert shown["route"] == route
        assert reasons.items() <= shown["reasons"].items()

    async def test_versions_names_instances_that_did_not_answer(self):
        """Guards against unresponsive instances that are not shown."""
        running = max_running = 0

        class Resource:
            async def on_get_instances(self, req: Any, resp: Any) -> None:
                resp.media = {"instances": instances}

            async def on_get_status(self, req: Any, resp: Any) -> None:
                nonlocal running, max_running
                running += 1
                max_running = max(max_running, running)
                await asyncio.sleep(0.01)
                running -= 1
                index = addresses.index("{}:{}".format(*req.scope["server"]))
                if index == 1:
                    connection_of(req.scope).abort()
                resp.media = {
                    "instance": f"i{index if index != 2 else 99}",
                    "offset": 9,
                    "version": 8,
                    "applied_version": 8 if index % 2 else 7,
                }

        app = falcon.asgi.App()
        app.add_route("/v1/instances", Resource(), suffix="instances")
        app.add_route("/v1/status", Resource(), suffix="status")
        async with serve(app, *["127.0.0.1:0"] * 12) as addresses:
            instances = [
                {"instance": f"i{index}", "operator_address": address}
                for index, address in enumerate(addresses)
            ]
            instances.append({"instance": "i12"})
            out = io.StringIO()
            settings = CliSettings((addresses[0],), concurrency=3)
            executor = Executor(settings, out, sys.stderr)
            status = await executor.execute("show versions")
        assert status is ExitStatus.DONE
        assert max_running <= 3
        lines = out.getvalue().splitlines()
        assert lines[-2:] == [
            "10 of 13 answered: version 8 on 5, version 7 on 5",
            "no answer from: i1, i12, i2",
        ]
        table = "\n".join(lines)
        assert "Server disconnected" in table
        assert "no operator address announced" in table
        assert "is i99 now" in table

    async def test_follow_prints_events_once(self):
        """Guards against events that are lost or repeated by the poll."""
        node = make_routed_node()
        node.events = [
            {"sequence": number, "kind": "move_step"} for number in (1, 2)
        ]
        async with node.serving() as address:
            _, printed = await Operator(address).run("follow for 1s")
        assert printed == [*node.events, {"events": 2}]


class InterruptedExecutor(Executor):
    """Raises KeyboardInterrupt when it runs a command."""

    async def execute(self, text: str, line_number: int = 1) -> ExitStatus:
        """Parses the line and raises."""
        self.verb = parse_command(text, line_number)
        raise KeyboardInterrupt


class TestPrompt:
    """Lines from standard input."""

    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            ("follow", ExitStatus.DONE),
            ("drain a-1", ExitStatus.OUTCOME_UNKNOWN),
        ],
    )
    def test_interrupt(self, line: str, expected: ExitStatus):
        """Guards against an interrupted action that is reported as done."""
        executor = InterruptedExecutor(
            CliSettings(), io.StringIO(), io.StringIO()
        )
        assert run_line(executor, line, 1) is expected

    def test_script_stops_at_the_first_failure(self):
        """Guards against a script that goes on after a failed line."""
        out, err = io.StringIO(), io.StringIO()
        executor = Executor(CliSettings(("127.0.0.1:1",)), out, err)
        script = "# start\n\nhelp drain\nshow mvoes\nhelp undrain\n"
        status = run_prompt(executor, io.StringIO(script))
        assert status is ExitStatus.USAGE
        assert "drain INSTANCE" in out.getvalue()
        assert "undrain" not in out.getvalue()
        assert err.getvalue().startswith("line 4, column 6: found mvoes")
