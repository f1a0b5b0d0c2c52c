"""Commands that explain requests and moves from the nodes' log files."""

import collections
import dataclasses
import time
from typing import Any

from vanillamast_cli.context import Context
from vanillamast_cli.errors import UnknownRequestError
from vanillamast_cli.node_logs import LogLine, NodeLogs
from vanillamast_cli.reason_texts import REASON_TEXTS
from vanillamast_cli.report import Report, Table
from vanillamast_cli.verb import Verb, verbs

# State changes of the nodes are shown from this long before a request's first
# line.
CONTEXT_BEFORE_S = 5.0
MAX_CONTEXT_LINES = 20
CONTEXT_KINDS = frozenset(
    (
        "config.applied",
        "log.dropped",
        "log.suppressed",
        "node.started",
        "node.stopping",
        "node.withdrawn",
        "node.suspended",
        "peer.lost",
        "peer.silent",
        "server.changed",
        "server.unreachable",
        "store.lost",
        "store.regained",
    )
)
# Lines of requests to which the node itself responded.
END_KINDS = (
    "request.failed",
    "request.refused",
    "request.no_route",
    "request.unauthenticated",
)
CONFIG_KIND = "config.applied"
MOVE_PREFIX = "move."
LINE_COLUMNS = ("time", "node", "event", "details")


def format_clock_time(time_s: float) -> str:
    """Formats a Unix time as UTC time of day with milliseconds."""
    text = time.strftime("%H:%M:%S", time.gmtime(time_s))
    return f"{text}.{int(time_s % 1 * 1000):03d}"


def make_line_row(line: LogLine) -> tuple[Any, ...]:
    """Returns the table row of a log line."""
    return (
        format_clock_time(line.time_s),
        line.node,
        line.kind,
        line.format_fields(),
    )


@verbs.register("trace")
@dataclasses.dataclass(frozen=True, slots=True)
class Trace(Verb):
    """Shows one request's path through the nodes."""

    usage = "trace REQUEST_ID in FILE..."
    summary = "shows a request's path, its end and what the nodes believed"
    example = "vanillamast 'trace 9c41d07be2a35f68 in m1.log m2.log'"

    request_id: str
    files: tuple[str, ...]

    async def run(self, context: Context) -> Report:
        """Shows the log lines of the request and of its nested calls."""
        logs = NodeLogs(self.files, context.print_progress)
        request_lines: list[LogLine] = []
        state_changes: list[LogLine] = []
        for line in logs:
            request = str(line.fields.get("request", ""))
            if self._belongs_to_request(request):
                request_lines.append(line)
            elif line.kind in CONTEXT_KINDS:
                state_changes.append(line)
        if not request_lines:
            raise UnknownRequestError(
                f"no line of {self.request_id}; {logs.summarize()}"
            )
        request_lines.sort(key=lambda line: line.time_s)
        context_lines = _select_context(request_lines, state_changes)
        verdict = _describe_end(self.request_id, request_lines)
        data = {
            "request": self.request_id,
            "verdict": verdict,
            "lines": [line.to_dict() for line in request_lines],
            "context": [line.to_dict() for line in context_lines],
            "damaged": logs.damaged_count,
        }
        blocks: list[str | Table] = [
            Table(
                LINE_COLUMNS, [make_line_row(line) for line in request_lines]
            ),
            "",
            verdict,
        ]
        if context_lines:
            rows = [make_line_row(line) for line in context_lines]
            blocks += ["", "before and meanwhile on these nodes:"]
            blocks.append(Table(LINE_COLUMNS, rows))
        return Report(data, [*blocks, "", logs.summarize()])

    def _belongs_to_request(self, request: str) -> bool:
        return request == self.request_id or request.startswith(
            f"{self.request_id}."
        )


def _select_context(
    request_lines: list[LogLine], state_changes: list[LogLine]
) -> list[LogLine]:
    """Returns state changes of the request's nodes, up to its end."""
    nodes = {line.node for line in request_lines}
    first = request_lines[0].time_s - CONTEXT_BEFORE_S
    last = request_lines[-1].time_s
    context_lines = [
        line
        for line in state_changes
        if line.node in nodes and first <= line.time_s <= last
    ]
    context_lines.sort(key=lambda line: line.time_s)
    return context_lines[-MAX_CONTEXT_LINES:]


def _describe_end(request_id: str, lines: list[LogLine]) -> str:
    """Returns how the request ended and why, in one line."""
    ends = {
        line.kind: line
        for line in lines
        if line.fields.get("request") == request_id
    }
    for kind in END_KINDS:
        line = ends.get(kind)
        if line is None:
            continue
        status = line.fields.get("status", "")
        reason = str(line.fields.get("reason", "no_route"))
        text = REASON_TEXTS.get(reason, "unknown reason")
        return f"ended by {line.node} {status}: {reason}: {text}"
    if "request.caller_gone" in ends:
        after = ends["request.caller_gone"].fields.get("after_s")
        return f"the caller left after {after} s"
    attempt = ends.get("request.attempt")
    if attempt is None:
        return "no end of the request is in these files"
    fields = attempt.fields
    return (
        f"ended by {fields.get('instance')} with {fields.get('status')} "
        f"after {fields.get('took_s')} s in its last attempt"
    )


@verbs.register("history")
@dataclasses.dataclass(frozen=True, slots=True)
class History(Verb):
    """Shows when nodes applied configurations, and how moves went."""

    usage = "history [of SERVICE] in FILE..."
    summary = "shows when versions came into force and what moves did"
    example = "vanillamast 'history of browse in m1.log m2.log'"

    service: str | None
    files: tuple[str, ...]

    async def run(self, context: Context) -> Report:
        """Shows moves; without a service, also configuration versions."""
        logs = NodeLogs(self.files, context.print_progress)
        applied: dict[int, list[LogLine]] = collections.defaultdict(list)
        moves: list[LogLine] = []
        for line in logs:
            if line.kind == CONFIG_KIND and self.service is None:
                applied[int(line.fields.get("version", -1))].append(line)
            elif line.kind.startswith(MOVE_PREFIX) and self.service in (
                None,
                line.fields.get("service"),
            ):
                moves.append(line)
        moves = _drop_repeats(sorted(moves, key=lambda line: line.time_s))
        versions = [_make_version_row(v, applied[v]) for v in sorted(applied)]
        blocks: list[str | Table] = []
        if self.service is None:
            columns = ("version", "first", "last", "spread s", "nodes")
            blocks += [Table(columns, versions), ""]
        blocks.append(
            Table(LINE_COLUMNS, [make_line_row(line) for line in moves])
        )
        data = {
            "versions": [
                {
                    "version": version,
                    "nodes": {
                        line.node: line.time_s for line in applied[version]
                    },
                }
                for version in sorted(applied)
            ],
            "moves": [line.to_dict() for line in moves],
            "damaged": logs.damaged_count,
        }
        return Report(data, [*blocks, "", logs.summarize()])


def _make_version_row(version: int, lines: list[LogLine]) -> tuple[Any, ...]:
    times = [line.time_s for line in lines]
    first, last = min(times), max(times)
    nodes = len({line.node for line in lines})
    return (
        version,
        format_clock_time(first),
        format_clock_time(last),
        round(last - first, 3),
        nodes,
    )


def _drop_repeats(lines: list[LogLine]) -> list[LogLine]:
    """Leaves out repeats of a move status, which are only heartbeats."""
    kept = []
    seen: dict[tuple[Any, ...], tuple[Any, ...]] = {}
    for line in lines:
        fields = line.fields
        key = (line.node, line.kind, fields.get("service"))
        status = tuple(
            fields.get(name) for name in ("order", "state", "share", "driver")
        )
        if seen.get(key) != status:
            kept.append(line)
        seen[key] = status
    return kept
