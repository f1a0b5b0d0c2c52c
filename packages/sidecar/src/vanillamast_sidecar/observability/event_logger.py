"""Structured logs on standard output, written without blocking."""

import asyncio
import os
import time
from typing import Any

import msgspec

# Lines that would exceed this many pending bytes are dropped and counted.
BUFFER_BYTES = 262144
# Lines of one kind per second; further ones are counted and reported in one
# line.
LINES_PER_KIND = 50
# The same for requests that ended without being served, which on-call
# engineers look up by request id: about 60 KB per second at most.
LINES_PER_REQUEST_END_KIND = 200
REQUEST_END_KINDS = frozenset(
    (
        "request.failed",
        "request.over_cap",
        "request.refused",
        "request.no_route",
        "request.caller_gone",
    )
)
# Clients choose ids, hosts and targets; longer texts are cut.
MAX_TEXT = 256
FLUSH_INTERVAL_S = 0.2  # Limits the wake-ups of the process for logs.


class EventLogger:
    """Writes one JSON line for each event.

    Attributes:
      node: Name of the node, a field of each line.
      fd: File descriptor that lines are written to.
      pending: Encoded lines that are not yet written.
      pending_bytes: Size of the pending lines.
      dropped: Lines dropped since the last report of dropped lines.
      counts: Lines by kind in the current second.
      suppressed: Lines beyond the limit by kind, in the current second.
      second: The current second, in Unix time.
      timer: Timer of the next flush, None while none is due.
    """

    def __init__(self, node: str, fd: int = 1):
        self.node = node
        self.fd = fd
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.dropped = 0
        self.counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}
        self.second = 0
        self.encoder = msgspec.json.Encoder()
        self.timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, kind: str, **fields: Any) -> None:
        """Logs an event.

        Args:
          kind: Kind of the line, as listed in docs/log-catalogue.md.
          **fields: What the decision was based on, with its age or version,
            and the outcome.
        """
        now = time.time()
        if int(now) != self.second:
            self._start_second(int(now))
        count = self.counts.get(kind, 0) + 1
        self.counts[kind] = count
        limit = (
            LINES_PER_REQUEST_END_KIND
            if kind in REQUEST_END_KINDS
            else LINES_PER_KIND
        )
        if count > limit:
            self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
            return
        self._append(now, kind, fields)

    def _start_second(self, second: int) -> None:
        self.second = second
        self.counts.clear()
        if self.suppressed:
            suppressed, self.suppressed = self.suppressed, {}
            self._append(time.time(), "log.suppressed", {"kinds": suppressed})
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._append(time.time(), "log.dropped", {"lines": dropped})

    def _append(self, now: float, kind: str, fields: dict[str, Any]) -> None:
        for name, value in fields.items():
            if type(value) is str and len(value) > MAX_TEXT:
                fields[name] = value[:MAX_TEXT] + "..."
        line = self.encoder.encode(
            {"t": round(now, 4), "node": self.node, "kind": kind, **fields}
        )
        if self.pending_bytes + len(line) + 1 > BUFFER_BYTES:
            self.dropped += 1
            return
        self.pending.append(line)
        self.pending_bytes += len(line) + 1
        if self.timer is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                self.flush()
                return
            self.timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Writes as much as possible without blocking; keeps the rest."""
        self.timer = None
        if not self.pending:
            return
        data = b"\n".join(self.pending) + b"\n"
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Standard output is closed, so the error cannot be logged.
            written = len(data)
        rest = data[written:]
        self.pending = [rest[:-1]] if rest else []
        self.pending_bytes = len(rest)
        if rest:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return
            self.timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)
