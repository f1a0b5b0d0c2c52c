"""Tests of the commands that read the nodes' log files."""

import io
import json
import os

import pytest
from vanillamast_cli import CliSettings, Executor, ExitStatus
from vanillamast_cli.reason_texts import REASON_TEXTS
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.observability.event_logger import EventLogger

REQUEST = "9c41d07be2a35f68"


class LogFolder:
    """Log files that `EventLogger` writes.

    Attributes:
      path: The folder.
    """

    def __init__(self, path):
        self.path = path

    def write(self, node, *events):
        """Appends events of a node; each is a kind and its fields."""
        path = self.path / f"{node}.log"
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        log = EventLogger(node, fd)
        for kind, fields in events:
            log.write(kind, **fields)
        log.flush()
        os.close(fd)

    def files(self):
        """Returns the names of all files."""
        return " ".join(str(path) for path in sorted(self.path.iterdir()))


async def run(line, output="json"):
    """Runs a command; returns its status, output and messages."""
    out, err = io.StringIO(), io.StringIO()
    executor = Executor(CliSettings(("127.0.0.1:1",), output), out, err)
    status = await executor.execute(line)
    return status, out.getvalue(), err.getvalue()


@pytest.fixture
def logs(tmp_path):
    """Returns logs of a refused request with a nested call."""
    folder = LogFolder(tmp_path)
    folder.write(
        "m1",
        ("peer.silent", {"peer": "10.0.0.2:1", "age_s": 0.46}),
        ("request.attempt", {"request": REQUEST, "peer": "10.0.0.2:1"}),
        (
            "request.failed",
            {"request": REQUEST, "status": 503, "reason": Reason.OVERLOADED},
        ),
    )
    folder.write(
        "m2",
        ("server.refused", {"request": REQUEST, "running": 9}),
        ("request.attempt", {"request": f"{REQUEST}.1", "status": 200}),
        ("request.attempt", {"request": f"{REQUEST}2", "status": 200}),
    )
    folder.write("m3", ("peer.silent", {"peer": "10.0.0.9:1"}))
    return folder


class TestTrace:
    """One request's path, from the logs of several nodes."""

    async def test_the_lines_of_all_nodes_are_joined(self, logs):
        """Guards against a path that ends at the first node."""
        status, out, _ = await run(f"trace {REQUEST} in {logs.files()}")
        data = json.loads(out)
        assert status is ExitStatus.DONE
        kinds = [(line["node"], line["kind"]) for line in data["lines"]]
        assert ("m2", "server.refused") in kinds
        assert ("m1", "request.failed") in kinds
        assert {line["request"] for line in data["lines"]} == {
            REQUEST,
            f"{REQUEST}.1",
        }

    async def test_the_verdict_names_status_and_reason(self, logs):
        """Guards against a reason that is shown without an explanation."""
        _, out, _ = await run(f"trace {REQUEST} in {logs.files()}", "table")
        assert "ended by m1 503: overloaded: no server" in out

    async def test_a_refused_key_is_explained(self, logs):
        """Guards against a 401 that looks like a lost request."""
        fields = {"status": 401, "reason": Reason.UNAUTHENTICATED}
        logs.write(
            "m3", ("request.unauthenticated", {"request": "5a", **fields})
        )
        _, out, _ = await run(f"trace 5a in {logs.files()}", "table")
        assert "ended by m3 401: unauthenticated: the request had no" in out

    async def test_context_is_limited_to_the_requests_nodes(self, logs):
        """Guards against a context with other nodes' state changes."""
        _, out, _ = await run(f"trace {REQUEST} in {logs.files()}")
        context = json.loads(out)["context"]
        assert [(line["node"], line["kind"]) for line in context] == [
            ("m1", "peer.silent")
        ]

    async def test_damaged_lines_are_counted_and_skipped(self, logs):
        """Guards against a failure on truncated or malformed lines."""
        with (logs.path / "m1.log").open("a") as file:
            file.write('{"t":1.0,"node":"m1","ki\n[1]\n\xff\n')
        status, out, _ = await run(f"trace {REQUEST} in {logs.files()}")
        assert status is ExitStatus.DONE
        assert json.loads(out)["damaged"] == 3

    async def test_an_unknown_request_is_a_failure(self, logs):
        """Guards against a script that takes no output for success."""
        status, _, err = await run(f"trace nobody in {logs.files()}", "table")
        assert status is ExitStatus.USAGE
        assert "no line of nobody" in err

    async def test_a_missing_file_is_named(self, logs):
        """Guards against a file that is left out without an error."""
        status, _, err = await run(
            f"trace {REQUEST} in {logs.files()} gone.log", "table"
        )
        assert status is ExitStatus.USAGE
        assert "gone.log" in err

    def test_every_reason_is_explained(self):
        """Guards against a reason that the command cannot explain."""
        known = {reason.value for reason in Reason if reason.value}
        assert known == set(REASON_TEXTS)


class TestHistory:
    """Configuration versions and moves, from the nodes' logs."""

    @pytest.fixture
    def history_logs(self, tmp_path):
        """Returns logs of two versions and a move that was rolled back."""
        folder = LogFolder(tmp_path)
        fields = {"service": "browse", "order": 4, "to": "v2"}
        folder.write(
            "m1",
            ("config.applied", {"version": 3}),
            ("config.applied", {"version": 5}),
            ("move.ordered", {**fields, "over_s": 10.0}),
            ("move.announced", {**fields, "state": "active", "share": 0.07}),
            ("move.announced", {**fields, "state": "active", "share": 0.07}),
            ("move.reverting", {**fields, "badness": "errors"}),
            ("move.announced", {**fields, "state": "reverted", "share": 0.0}),
        )
        folder.write(
            "m2",
            ("config.applied", {"version": 3}),
            ("move.plan", {"service": "reader", "order": 9, "share": 0.3}),
        )
        return folder

    async def test_versions_show_how_many_nodes_have_them(self, history_logs):
        """Guards against a node that lags behind and is not shown."""
        _, out, _ = await run(f"history in {history_logs.files()}")
        versions = json.loads(out)["versions"]
        assert [(v["version"], sorted(v["nodes"])) for v in versions] == [
            (3, ["m1", "m2"]),
            (5, ["m1"]),
        ]

    async def test_repeated_statuses_are_left_out(self, history_logs):
        """Guards against heartbeats that hide the end of a move."""
        _, out, _ = await run(f"history of browse in {history_logs.files()}")
        moves = json.loads(out)["moves"]
        assert [line["kind"] for line in moves] == [
            "move.ordered",
            "move.announced",
            "move.reverting",
            "move.announced",
        ]

    async def test_a_service_selects_its_moves(self, history_logs):
        """Guards against moves of other services in the answer."""
        status, out, _ = await run(
            f"history of reader in {history_logs.files()}"
        )
        assert status is ExitStatus.DONE
        assert [m["service"] for m in json.loads(out)["moves"]] == ["reader"]
