"""A node and its server, as this node knows them."""

import asyncio
import math

from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.peer_link import NO_LOAD, PeerLink

# Half-life of the reported load of other nodes while no new report arrives.
LOAD_HALF_LIFE_S = 0.7
COLD_FACTOR = 2.0  # Slowdown of a server while it warms up.
DEFAULT_MEAN_S = 0.1  # Mean service time before the first report.


class Peer:
    """A node and its backend server.

    Attributes:
      record: Newest record of the node.
      is_self: Whether it is this node.
      same_domain: Whether it is in this node's failure domain.
      link: Connection to it, None while there is none.
      load: Newest load report of its server.
      load_received_at: When that report arrived, in loop time.
      outstanding: Calls of this node in flight to it.
      used_incarnation: Server id and incarnation that this node last used.
      other_load: Requests of other nodes at the server by that report.
      last_received_at: When its last message arrived, in loop time.
      unresponsive: Whether no messages arrive although its connection is open.
      silent_since: Since when the hubs do not hear it, in loop time; None
        while they do.
      failed: Whether the last attempt to connect failed or the connection was
        lost, until the next successful attempt.
      cold_until: When its server has warmed up, in loop time.
      refused_until: Until when its server counts as full, in loop time.
      refused_rank: Lowest rank of the requests for which it counts as full.
      next_connect_at: When to connect again, in loop time.
      failed_connects: Failed attempts to connect since the last success.
      connecting: Task of the attempt that is under way, None without one.
      connecting_since: When that attempt began, in loop time.
      store_contact_at: When the store last answered the node's reads of the
        operator's stream, in loop time; None if it is no reader.
    """

    def __init__(self, record: NodeRecord, same_domain: bool, is_self: bool):
        self.record = record
        self.is_self = is_self
        self.same_domain = same_domain
        self.link: PeerLink | None = None
        self.load = NO_LOAD
        self.load_received_at = 0.0
        self.outstanding = 0
        self.used_incarnation: tuple[str, int] | None = None
        self.other_load = 0.0
        self.last_received_at = 0.0
        self.unresponsive = False
        self.silent_since: float | None = None
        self.failed = False
        self.cold_until = 0.0
        self.refused_until = 0.0
        self.refused_rank = 0
        self.next_connect_at = 0.0
        self.failed_connects = 0
        self.connecting: asyncio.Task[PeerLink | None] | None = None
        self.connecting_since = 0.0
        self.store_contact_at: float | None = None

    @property
    def connected(self) -> bool:
        """Returns whether a connection to the node is open."""
        return self.is_self or (self.link is not None and self.link.up)

    @property
    def reachable(self) -> bool:
        """Returns whether nothing shows that the node cannot be reached."""
        return not (
            self.unresponsive or self.failed or self.silent_since is not None
        )

    def is_connecting_since(self, time: float) -> bool:
        """Returns whether an attempt that began by a time is under way."""
        return self.connecting is not None and self.connecting_since <= time

    @property
    def usable(self) -> bool:
        """Returns whether its server accepts requests of this node."""
        instance = self.record.instance
        return (
            instance is not None
            and instance.ready
            and self.record.accepts_calls
            and self.reachable
        )

    @property
    def version(self) -> str:
        """Returns the version of its server, "" without one."""
        instance = self.record.instance
        return instance.version if instance is not None else ""

    def is_full_for(self, rank: int, now: float) -> bool:
        """Returns whether the server refused an equal or more urgent rank."""
        return now < self.refused_until and rank >= self.refused_rank

    def is_untried(self, now: float) -> bool:
        """Returns whether the server is warm and not yet used by this node."""
        instance = self.record.instance
        if instance is None or now < self.cold_until:
            return False
        return self.used_incarnation != (instance.id, instance.born_ms)

    def apply_load_report(self, load: LoadReport, now: float) -> None:
        """Applies a report of the server's load."""
        self.load = load
        self.load_received_at = now
        busy = load.running + load.waiting
        self.other_load = max(0.0, float(busy - self.outstanding))

    def handle_busy(self) -> None:
        """Counts a refusal for lack of a free slot.

        The report that came with it was applied while the refused call still
        counted as one of this node's own.
        """
        busy = self.load.running + self.load.waiting
        self.other_load = max(0.0, float(busy - self.outstanding))

    def expected_times_s(self, now: float) -> tuple[float, float]:
        """Returns the expected wait until it is sent and the service time."""
        instance = self.record.instance
        slots = max(1, instance.slots if instance is not None else 1)
        mean = self.load.mean_service_s or DEFAULT_MEAN_S
        age = max(0.0, now - self.load_received_at)
        others = self.other_load * math.exp2(-age / LOAD_HALF_LIFE_S)
        excess = others + self.outstanding + 1 - slots
        wait = max(0.0, excess) * mean / slots
        wait = max(wait, self.load.rate_wait_s - age)
        return wait, mean * COLD_FACTOR if now < self.cold_until else mean
