"""Writes log lines without blocking the event loop."""

import logging
import queue
import sys
import threading
from typing import Any, BinaryIO

import eliot
import msgspec
from eliot.stdlib import EliotHandler

from vanillamast_node.log_settings import LogSettings

MAX_QUEUED_LINES = 10_000
CLOSE_TIMEOUT_S = 2.0


class LogWriter:
    """An eliot destination whose thread writes messages as JSON lines.

    While `MAX_QUEUED_LINES` lines are queued, further lines are dropped and
    counted, so that a slow disk or a full pipe never delays a request.

    Attributes:
      settings: Where to write.
      dropped_lines: Lines that were dropped.
    """

    def __init__(self, settings: LogSettings):
        self.settings = settings
        self.dropped_lines = 0
        self._lines: queue.Queue[dict[str, Any] | None] = queue.Queue(
            MAX_QUEUED_LINES
        )
        self._thread = threading.Thread(
            target=self._write_lines, name="log-writer", daemon=True
        )

    def start(self) -> None:
        """Starts the thread and registers it as eliot's destination."""
        self._thread.start()
        eliot.add_destinations(self.enqueue)
        # Writes warnings of libraries as JSON lines, too.
        root = logging.getLogger()
        root.handlers = [EliotHandler()]
        root.setLevel(logging.WARNING)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Queues one message; called by eliot."""
        try:
            self._lines.put_nowait(message)
        except queue.Full:
            self.dropped_lines += 1

    def close(self) -> None:
        """Writes the queued lines and ends the thread."""
        eliot.remove_destination(self.enqueue)
        self._lines.put(None)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _write_lines(self) -> None:
        output = self._open_output()
        encoder = msgspec.json.Encoder(enc_hook=str)
        while (message := self._lines.get()) is not None:
            output.write(encoder.encode(message) + b"\n")
            if self._lines.empty():
                output.flush()
        output.flush()

    def _open_output(self) -> BinaryIO:
        if not self.settings.path:
            return sys.stderr.buffer
        return open(self.settings.path, "ab")
