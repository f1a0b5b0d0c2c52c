"""Tests of the commands that change the mesh."""

import asyncio
import pathlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from vanillamast_cli import ExitStatus
from vanillamast_core.configuration import (
    Configuration,
    MoveSpec,
    Route,
    Service,
    dump_configuration,
)
from vanillamast_core.journal import HoldMove, Publish
from vanillamast_testing.app_server import bind

from tests.cli.fake_node import NOW, FakeNode, Operator

BASE = Configuration(
    services={"browse": Service("1"), "reader": Service("1")},
    routes={"front": Route("/browse", "browse")},
)


@pytest.fixture
def node() -> FakeNode:
    """A node with a configuration."""
    fake = FakeNode()
    assert fake.publish(BASE).accepted
    return fake


@pytest_asyncio.fixture
async def address(node: FakeNode) -> AsyncIterator[str]:
    """The address of the node."""
    async with node.serving() as bound:
        yield bound


@pytest.fixture
def closed_address() -> str:
    """An address at which nothing listens."""
    with bind("127.0.0.1:0") as listener:
        return "{}:{}".format(*listener.getsockname())


def changed(**services: Service) -> Configuration:
    """Returns the base with some services replaced."""
    return Configuration({**BASE.services, **services}, BASE.routes)


def write(path: pathlib.Path, configuration: Configuration) -> str:
    """Writes a configuration file; returns its quoted name."""
    path.write_text(dump_configuration(configuration))
    return f'"{path}"'


class TestPublish:
    """Publishing files."""

    async def test_publishes_the_difference(
        self, node: FakeNode, address: str, tmp_path: pathlib.Path
    ):
        """Guards against changes that are not shown, or shown and not sent."""
        operator = Operator(address)
        wanted = changed(reader=Service("1", slots=5))
        file = write(tmp_path / "mesh file.yaml", wanted)
        status, (shown, done) = await operator.run(f"publish {file} as five")
        assert status is ExitStatus.DONE
        assert shown["changes"] == ["~ services.reader: slots 9 -> 5"]
        assert shown["based_on"] == 1
        assert done["version"] == node.journal.state.version == 2
        assert node.journal.state.configuration == wanted
        assert node.journal.state.label == "five"
        status, (again,) = await operator.run(f"publish {file}")
        assert (status, again["changes"]) == (ExitStatus.DONE, [])
        assert len(node.records) == 1

    async def test_keeps_moves_that_the_file_does_not_name(
        self, node: FakeNode, address: str, tmp_path: pathlib.Path
    ):
        """Guards against a publish that stops a move by leaving it out."""
        operator = Operator(address)
        await operator.run("move browse from 1 to 2 in 1h")
        file = write(tmp_path / "a.yaml", changed(reader=Service("1", 5)))
        status, _ = await operator.run(f"publish {file}")
        assert status is ExitStatus.DONE
        assert "browse-1-2" in node.journal.state.configuration.moves

    async def test_warns_of_a_version_without_a_move(
        self, address: str, tmp_path: pathlib.Path
    ):
        """Guards against an old file that moves traffic unnoticed."""
        file = write(tmp_path / "a.yaml", changed(browse=Service("0")))
        _, (shown, _) = await Operator(address).run(f"publish {file}")
        assert shown["changes"][-1] == (
            "! services.browse: all traffic goes from 1 to 0 at once, without "
            "a move"
        )

    async def test_conflicting_publish_is_refused(
        self, node: FakeNode, address: str, tmp_path: pathlib.Path
    ):
        """Guards against a publish that overwrites a concurrent change."""
        winner = changed(browse=Service("1", slots=7))
        node.before_append = lambda: node.publish(winner) and None
        operator = Operator(address)
        file = write(tmp_path / "a.yaml", changed(browse=Service("1", 5)))
        status, printed = await operator.run(f"publish {file}")
        assert status is ExitStatus.REFUSED
        assert "conflict" in printed[-1]["detail"]
        assert "offset 2 came first" in printed[-1]["detail"]
        assert "based on offset 1" in printed[-1]["detail"]
        assert node.journal.state.configuration == winner

    @pytest.mark.parametrize("verb", ["check", "publish"])
    @pytest.mark.parametrize(
        "text",
        [
            "routes: {a: {path: /a, service: nowhere}}",
            "routes: {a: {path: /a, service: nowhere, pth: 1}}",
            "routes: [",
            None,
        ],
    )
    async def test_invalid_file_is_not_sent(
        self,
        node: FakeNode,
        address: str,
        tmp_path: pathlib.Path,
        verb: str,
        text: str | None,
    ):
        """Guards against an invalid file that is sent to the mesh."""
        if text is not None:
            (tmp_path / "a.yaml").write_text(text)
        status, _ = await Operator(address).run(f"{verb} {tmp_path}/a.yaml")
        assert status is ExitStatus.USAGE
        assert not node.records

    async def test_check_needs_no_node(
        self, closed_address: str, tmp_path: pathlib.Path
    ):
        """Guards against a check that fails where no node is reachable."""
        file = write(tmp_path / "a.yaml", BASE)
        status, _ = await Operator(closed_address).run(f"check {file}")
        assert status is ExitStatus.DONE


class TestMoves:
    """Starting and controlling moves."""

    async def test_move_is_published(self, node: FakeNode, address: str):
        """Guards against a move with values other than the command's."""
        operator = Operator(address)
        line = "move browse from 1 to 2 in 90s named x at deadline finish"
        status, _ = await operator.run(line)
        assert status is ExitStatus.DONE
        expected = MoveSpec("browse", "1", "2", NOW + 90, on_deadline="finish")
        assert node.journal.state.moves["x"].spec == expected
        assert (await operator.run(line))[0] is ExitStatus.USAGE
        line = "move reader from 1 to 2 by 2020-01-01T00:00"
        assert (await operator.run(line))[0] is ExitStatus.USAGE
        assert len(node.records) == 1

    async def test_hold_resume_stop(self, node: FakeNode, address: str):
        """Guards against an action on the wrong move or in a wrong state."""
        operator = Operator(address)
        await operator.run("move browse from 1 to 2 in 1h named x")
        for line, state in (
            ("hold move x", "held"),
            ("resume move x", "running"),
            ("stop move x", "stopped"),
        ):
            assert (await operator.run(line))[0] is ExitStatus.DONE
            assert node.journal.state.moves["x"].state == state
        status, printed = await operator.run("resume move x")
        assert status is ExitStatus.REFUSED
        assert printed[-1]["detail"] == (
            "refused at offset 6: wrong_state, move x is stopped at step -1"
        )
        status, _ = await operator.run("hold move y")
        assert status is ExitStatus.REFUSED

    async def test_action_is_based_on_what_was_shown(
        self, node: FakeNode, address: str
    ):
        """Guards against an action on a state that was not shown."""
        first, second = Operator(address), Operator(address)
        await first.run("move browse from 1 to 2 in 1h named x")
        await second.run("show moves")
        await first.run("hold move x")
        status, printed = await second.run("stop move x")
        assert status is ExitStatus.REFUSED
        assert "offset 3 came first" in printed[-1]["detail"]
        await second.run("show move x")
        assert (await second.run("stop move x"))[0] is ExitStatus.DONE

    async def test_drain_and_undrain(self, node: FakeNode, address: str):
        """Guards against a drain that cannot be undone."""
        operator = Operator(address)
        await operator.run("drain a-1")
        assert list(node.journal.state.drains) == ["a-1"]
        await operator.run("undrain a-1")
        assert not node.journal.state.drains


class TestOutcome:
    """Lost and late answers of nodes."""

    async def test_lost_answer_counts_once(self, node: FakeNode, address: str):
        """Guards against a resent record that acts twice or fails."""
        node.lose_answers = 1
        line = "move browse from 1 to 2 in 1h named x"
        async with node.serving() as other:
            status, _ = await Operator(address, other).run(line)
        assert status is ExitStatus.DONE
        assert node.records[0].id == node.records[1].id
        assert isinstance(node.records[0], Publish)
        assert node.journal.state.version == 2

    async def test_late_outcome_is_awaited(self, node: FakeNode, address: str):
        """Guards against giving up before the record is applied."""
        node.withheld_outcomes, node.hidden_lookups = 1, 1
        status, _ = await Operator(address).run("drain a-1")
        assert status is ExitStatus.DONE

    async def test_unknown_outcome_can_be_asked_for(
        self, node: FakeNode, address: str
    ):
        """Guards against reporting an unknown outcome as a failure."""
        node.withheld_outcomes, node.hidden_lookups = 1, 1000
        operator = Operator(address, timeout_s=0.5)
        status, (printed,) = await operator.run("drain a-1")
        assert status is ExitStatus.OUTCOME_UNKNOWN
        node.hidden_lookups = 0
        line = printed["detail"].split("ask with: ")[1]
        status, (outcome,) = await Operator(address).run(line)
        assert (status, outcome["reason"]) == (ExitStatus.DONE, "accepted")

    async def test_unreachable_nodes(
        self, node: FakeNode, address: str, closed_address: str
    ):
        """Guards against an unreachable node that blocks all commands."""
        status, _ = await Operator(closed_address, address).run("drain a-1")
        assert status is ExitStatus.DONE
        operator = Operator(address)
        await operator.run("show status")
        operator.executor.settings = Operator(closed_address).executor.settings
        status, _ = await operator.run("undrain a-1")
        assert status is ExitStatus.UNREACHABLE
        assert len(node.records) == 1

    async def test_concurrent_operators(self, node: FakeNode, address: str):
        """Guards against conflicting actions that are both accepted."""
        await Operator(address).run("move browse from 1 to 2 in 1h named x")
        operators = [Operator(address) for _ in range(8)]
        for operator in operators:
            await operator.run("show moves")
        results = await asyncio.gather(
            *(operator.run("hold move x") for operator in operators)
        )
        statuses = [status for status, _ in results]
        assert statuses.count(ExitStatus.DONE) == 1
        assert statuses.count(ExitStatus.REFUSED) == 7
        assert all(isinstance(r, HoldMove) for r in node.records[1:])
