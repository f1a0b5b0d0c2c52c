"""The usage of another failure domain, from the reports of its hubs."""

import math

from vanillamast_sidecar.usage.increments import Increments
from vanillamast_sidecar.usage.usage_counts import UsageCounts
from vanillamast_sidecar.usage.usage_source import UsageSource

# A hub goes on sending for this long after the last change, so that the others
# can tell a domain at rest from one that is cut off.
ACTIVE_S = 3.0
# A failure domain whose hubs send is cut off after this time without a message:
# two of each hub are missing. After 0.7 s, demand that rose together with a
# partition of four domains broke the bound.
QUIET_S = 0.45
# Messages of all hubs are fresh up to this age.
FRESH_S = 0.3
# A hub that was not heard for this long is compared with the others anew.
SOURCE_LIFETIME_S = 2.0


class RemoteUsage:
    """Usage of a failure domain, counted once however many hubs report it.

    Each hub sums the same nodes from another start. Its sums are shifted to
    those known when it was first heard; the highest shifted sum is the newest.

    Attributes:
      sources: The hubs, by address.
      totals: Requests asked for and admitted, by organisation.
      increments: The same since they were last taken.
      heard_at: When a hub was last heard, in seconds.
      changed_at: When a hub last reported a change, in seconds.
      taken_at: Up to when the increments were taken, in seconds.
    """

    def __init__(self, now: float):
        self.sources: dict[str, UsageSource] = {}
        self.totals: dict[int, tuple[int, int]] = {}
        self.increments: dict[int, tuple[float, float]] = {}
        self.heard_at = -math.inf
        self.changed_at = -math.inf
        self.taken_at = now

    def handle_usage(
        self, address: str, incarnation: int, usage: UsageCounts, now: float
    ) -> None:
        """Applies the sums of a hub.

        Args:
          address: Address of the hub.
          incarnation: Incarnation of the hub's node.
          usage: Sums that have changed.
          now: Current time, in seconds.
        """
        source = self.sources.get(address)
        if (
            source is None
            or source.incarnation != incarnation
            or now - source.heard_at > SOURCE_LIFETIME_S
        ):
            source = UsageSource(incarnation, usage.complete, now)
            self.sources[address] = source
            if usage.complete:
                for number, total in self.totals.items():
                    source.bases[number] = (-total[0], -total[1])
            for number, asked, admitted in usage.entries:
                total = self.totals.get(number, (0, 0))
                source.bases[number] = (asked - total[0], admitted - total[1])
        source.heard_at = now
        self.heard_at = now
        if usage.entries:
            self.changed_at = now
        for number, asked, admitted in usage.entries:
            self._apply_entry(source, number, asked, admitted)

    def _apply_entry(
        self, source: UsageSource, number: int, asked: int, admitted: int
    ) -> None:
        total = self.totals.get(number, (0, 0))
        base = source.bases.get(number)
        if base is None:
            base = (0, 0)
            if not source.complete:
                base = (asked - total[0], admitted - total[1])
            source.bases[number] = base
        newest = (
            max(total[0], asked - base[0]),
            max(total[1], admitted - base[1]),
        )
        self.totals[number] = newest
        if newest != total:
            new = self.increments.get(number, (0.0, 0.0))
            self.increments[number] = (
                new[0] + newest[0] - total[0],
                new[1] + newest[1] - total[1],
            )

    def take_increments(self, now: float) -> Increments | None:
        """Returns what was added since the last increments.

        Returns None while a message is missing: nothing is known of the time
        since the last one, which is not the same as no requests.
        """
        if self.taken_at >= self.heard_at and not self._is_at_rest():
            return None
        elapsed_s = now - self.taken_at
        if elapsed_s <= 0.0:
            return None
        self.taken_at = now
        increments = self.increments
        self.increments = {}
        return Increments(elapsed_s, increments)

    def is_fresh(self, now: float) -> bool:
        """Returns whether nothing is missing."""
        return self._is_at_rest() or now - self.heard_at <= FRESH_S

    def is_quiet(self, now: float) -> bool:
        """Returns whether the hubs should have been heard and were not."""
        return not self._is_at_rest() and now - self.heard_at > QUIET_S

    def _is_at_rest(self) -> bool:
        # The last messages of a hub say that nothing has changed.
        return self.heard_at - self.changed_at > ACTIVE_S - QUIET_S
