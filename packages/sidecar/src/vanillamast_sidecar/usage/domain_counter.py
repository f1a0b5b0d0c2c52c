"""Sums the usage of the nodes of a failure domain."""

from vanillamast_sidecar.admission.decaying_rate import DecayingRate
from vanillamast_sidecar.usage.node_account import OWN_RATE_HALF_LIFE_S
from vanillamast_sidecar.usage.node_counts import NodeCounts
from vanillamast_sidecar.usage.usage_counts import UsageCounts

# A silent node may be cut off and go on with its last part. It is assumed to do
# so for this time; a node that was killed has restarted by then.
ESTIMATE_S = 30.0


class DomainCounter:
    """Sums what the nodes of this failure domain ask for and admit.

    Attributes:
      nodes: Counts of the nodes, by address.
      sums: Requests asked for and admitted since this hub started, by
        organisation.
      increments: The same since they were last taken.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, NodeCounts] = {}
        self.sums: dict[int, tuple[float, float]] = {}
        self.increments: dict[int, tuple[float, float]] = {}

    def reset(self) -> None:
        """Forgets the nodes; the sums stay, as other hubs know them."""
        self.nodes.clear()
        self.increments.clear()

    def handle_counts(
        self,
        address: str,
        incarnation: int,
        counts: UsageCounts | None,
        is_new: bool,
        now: float,
    ) -> None:
        """Adds what has changed on a node.

        Args:
          address: Address of the node.
          incarnation: Incarnation of the node.
          counts: Counts of its heartbeat, None without any.
          is_new: Whether this is the first heartbeat on a connection.
          now: Current time, in seconds.
        """
        node = self.nodes.get(address)
        is_first = node is None or node.incarnation != incarnation
        if node is None or is_first:
            # A node of which nothing was known may have run for long: what it
            # has counted is where the sums begin. One that has restarted
            # began at zero.
            has_restarted = node is not None
            self._drop_estimates(node)
            complete = counts.complete if counts is not None else is_new
            node = NodeCounts(incarnation, complete, now)
            self.nodes[address] = node
            if not has_restarted and counts is not None:
                for number, asked, admitted in counts.entries:
                    node.counts[number] = (asked, admitted)
                return
            node.complete = node.complete or has_restarted
        self._drop_estimates(node)
        node.heard_at = now
        if counts is None:
            return
        for number, asked, admitted in counts.entries:
            self._apply_entry(node, number, asked, admitted, now)
        node.complete = node.complete or counts.complete

    def _apply_entry(
        self,
        node: NodeCounts,
        number: int,
        asked: int,
        admitted: int,
        now: float,
    ) -> None:
        known = node.counts.get(number)
        node.counts[number] = (asked, admitted)
        if known is None:
            if not node.complete:
                return
            known = (0, 0)
        new = admitted - known[1]
        rate = node.rates.get(number)
        if rate is None:
            rate = node.rates[number] = DecayingRate(OWN_RATE_HALF_LIFE_S)
        rate.add(new, now)
        self._add(number, asked - known[0], new)

    def estimate_silent(self, addresses: set[str], now: float) -> None:
        """Assumes that silent nodes go on as before.

        Args:
          addresses: Nodes that no hub of the failure domain hears.
          now: Current time, in seconds.
        """
        for address in addresses:
            node = self.nodes.get(address)
            if node is None:
                continue
            silent_s = min(ESTIMATE_S, now - node.heard_at)
            for number, rate in node.rates.items():
                estimate = max(0.0, rate.value(node.heard_at)) * silent_s
                added = estimate - node.estimates.get(number, 0.0)
                if added > 0.0:
                    node.estimates[number] = estimate
                    self._add(number, 0.0, added)

    def take_increments(self) -> dict[int, tuple[float, float]]:
        """Returns what was added since the last call."""
        increments = self.increments
        self.increments = {}
        return increments

    def _drop_estimates(self, node: NodeCounts | None) -> None:
        """Subtracts estimates, as the node's counts are known again."""
        if node is not None and node.estimates:
            for number, estimate in node.estimates.items():
                self._add(number, 0.0, -estimate)
            node.estimates.clear()

    def _add(self, number: int, asked: float, admitted: float) -> None:
        total = self.sums.get(number, (0.0, 0.0))
        self.sums[number] = (total[0] + asked, total[1] + admitted)
        new = self.increments.get(number, (0.0, 0.0))
        self.increments[number] = (new[0] + asked, new[1] + admitted)
