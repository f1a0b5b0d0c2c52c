"""Counts of simulated requests."""

import dataclasses

from vanillamast_core.requests import AttemptResult


@dataclasses.dataclass(slots=True)
class TrafficCounts:
    """Requests by service and version, and how they ended.

    Attributes:
      sent: Requests by (service, version).
      failed: Of these, the ones that failed.
      last_sent_at: Time of the last request by (service, version).
      refused: Requests without a backend server.
    """

    sent: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    failed: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    last_sent_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    refused: int = 0

    def count(self, result: AttemptResult, now: float) -> None:
        """Counts one request."""
        key = result.service, result.server_version
        self.sent[key] = self.sent.get(key, 0) + 1
        self.last_sent_at[key] = now
        if result.failed:
            self.failed[key] = self.failed.get(key, 0) + 1

    def share(self, service: str, version: str) -> float:
        """Returns a version's share of its service's requests."""
        total = sum(n for (s, _), n in self.sent.items() if s == service)
        return self.sent.get((service, version), 0) / max(1, total)
