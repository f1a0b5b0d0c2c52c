"""Records of the platform log's stand-in."""

import collections
import json
import pathlib
from base64 import b64decode, b64encode

from vanillamast_core import VanillamastError

from vanillamast_testing.platform_log_settings import PlatformLogSettings


class AppendRateError(VanillamastError):
    """More appends arrive than the log accepts in a second."""


class PlatformLogStore:
    """An append-only log with offsets from 1 and limited retention.

    Attributes:
      settings: Retention and rate limits.
      first: Lowest offset that is still kept.
      next: Offset that the next append gets.
      records: Kept records, as (wall time of the append, data).
      path: File that keeps the records across a restart, or None.
      allowance: Tokens of the rate limit; each append takes one.
      allowance_at: Wall time at which `allowance` was computed.
    """

    def __init__(
        self, settings: PlatformLogSettings, path: pathlib.Path | None = None
    ):
        self.settings = settings
        self.first = 1
        self.next = 1
        self.records: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.path = path
        self.allowance = self.burst
        self.allowance_at = 0.0
        if path is not None and path.exists():
            self._load(path)

    @property
    def burst(self) -> float:
        """Appends that may arrive at one moment."""
        return max(1.0, self.settings.appends_per_s)

    def append(self, data: bytes, wall: float) -> int:
        """Adds a record.

        Args:
          data: The record.
          wall: Wall time in seconds.

        Returns:
          The record's offset.

        Raises:
          AppendRateError: The rate limit is reached; nothing was added.
        """
        self._spend_allowance(wall)
        offset = self.next
        self._add(data, wall)
        if self.path is not None:
            line = json.dumps([offset, wall, b64encode(data).decode()])
            with self.path.open("a") as file:
                file.write(line + "\n")
        self.expire(wall)
        return offset

    def read(self, after: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns up to `limit` kept records with offsets above `after`."""
        start = max(after + 1, self.first)
        stop = min(start + limit, self.next)
        return [
            (offset, self.records[offset - self.first][1])
            for offset in range(start, stop)
        ]

    def expire(self, wall: float) -> None:
        """Drops records that are too old or too many."""
        oldest = wall - self.settings.retain_s
        while self.records and (
            len(self.records) > self.settings.retain_count
            or self.records[0][0] < oldest
        ):
            self.records.popleft()
            self.first += 1

    def _spend_allowance(self, wall: float) -> None:
        elapsed = max(0.0, wall - self.allowance_at)
        refill = elapsed * self.settings.appends_per_s
        self.allowance = min(self.burst, self.allowance + refill)
        self.allowance_at = wall
        if self.allowance < 1:
            rate = self.settings.appends_per_s
            raise AppendRateError(f"over {rate:g} appends a second")
        self.allowance -= 1

    def _add(self, data: bytes, wall: float) -> None:
        self.records.append((wall, data))
        self.next += 1

    def _load(self, path: pathlib.Path) -> None:
        complete = []
        for line in path.read_text().splitlines(keepends=True):
            # A killed process may leave an incomplete last line.
            if line.endswith("\n"):
                complete.append(line)
                offset, wall, data = json.loads(line)
                if not self.records:
                    self.first = self.next = offset
                self._add(b64decode(data), wall)
        path.write_text("".join(complete))
