"""Writes one JSON line for each routing decision without blocking."""

import asyncio
import os

import msgspec
from vanillamast_core.requests import RoutingDecision

FLUSH_S = 0.05


class DecisionWriter:
    """Writes routing decisions in place of the node's logger.

    Attributes:
      first_attempts: Decisions that were first attempts.
      retries: Decisions that were retries.
      refusals: Decisions that were refusals.
    """

    def __init__(self, path: str):
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        self.lines: list[bytes] = []
        self.encoder = msgspec.json.Encoder()
        self.first_attempts = 0
        self.retries = 0
        self.refusals = 0

    def write(self, decision: RoutingDecision) -> None:
        """Encodes a decision and queues its line."""
        if decision.attempt == 1:
            self.first_attempts += 1
        elif decision.attempt:
            self.retries += 1
        else:
            self.refusals += 1
        if not self.lines:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_S, self.flush)
        self.lines.append(self.encoder.encode(decision))

    def flush(self) -> None:
        """Writes all queued lines in one call."""
        os.write(self.file, b"\n".join(self.lines) + b"\n")
        self.lines.clear()
