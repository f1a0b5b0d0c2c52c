"""Decides which nodes read the operator's stream from the store."""

import math

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming

# A reader and a standby, which covers for it until its failure is detected.
# The other nodes of the failure domain get changes from them.
READERS_PER_DOMAIN = 2
# A started node waits this long for the state of its hubs: the time to read
# the list of nodes, to connect, and to get a report and the state. The first
# nodes of the list may be gone, and callers wait.
START_WAIT_S = 0.5
# The first nodes without a reader get this long to read the store before as
# many others read as well, and so on: reads of many nodes delay each other on
# slow links, and press a store that is down.
TAKEOVER_S = 0.6


class StoreReaderPolicy:
    """Ranks the nodes of the failure domain by address.

    The first one reads the store, and the second one is its standby. While no
    node is in touch with the operator's stream, more and more nodes read,
    whatever their rank; one that has just started first waits for the
    readers' state.

    Attributes:
      membership: Nodes.
      started_at: When this node started, in loop time.
      timing: Times within which readers have to be answered.
      reader_seen_at: When it last knew of another reader in touch, in loop
        time.
    """

    def __init__(
        self, membership: Membership, started_at: float, timing: ReaderTiming
    ):
        self.membership = membership
        self.started_at = started_at
        self.timing = timing
        self.reader_seen_at = -math.inf

    def choose_role(self, now: float, nodes_known: bool) -> ReaderRole:
        """Returns how this node has to read the store.

        Args:
          now: Loop time, in seconds.
          nodes_known: Whether this node has read the list of nodes.
        """
        others = self._find_candidates()
        rank = self._find_rank(others, now)
        if now - self.started_at < START_WAIT_S:
            is_first = nodes_known and rank < READERS_PER_DOMAIN
            return ReaderRole.READER if is_first else ReaderRole.NONE
        if any(self._is_in_touch(peer, now) for peer in others):
            self.reader_seen_at = now
            if rank == 0:
                return ReaderRole.READER
            if rank < READERS_PER_DOMAIN:
                return ReaderRole.STANDBY
            return ReaderRole.NONE
        if self._find_position(others) < self._count_readers(now):
            return ReaderRole.READER
        return ReaderRole.NONE

    def knows_reader(self, now: float) -> bool:
        """Returns whether another node of the domain is in touch."""
        return any(
            self._is_in_touch(peer, now) for peer in self._find_candidates()
        )

    def find_retry_factor(self) -> float:
        """Returns by how much this node has to spread its failed reads.

        The more nodes ahead of it try as well, the less often it does: calls
        on a silent store hardly grow with the failure domain.
        """
        own = self.membership.own.record.address
        trying = sum(
            peer.record.address < own and peer.store_contact_at is not None
            for peer in self._find_candidates()
        )
        return max(1.0, float(trying))

    def _count_readers(self, now: float) -> float:
        """Returns how many nodes read while none is in touch.

        At first these are the readers that may have lost the store and as
        many others.
        """
        if self.reader_seen_at == -math.inf:
            # Callers of a started fleet have no other node to go to.
            return math.inf
        takeovers = 1 + (now - self.reader_seen_at) // TAKEOVER_S
        return 2 * READERS_PER_DOMAIN * takeovers

    def _find_candidates(self) -> list[Peer]:
        return [
            peer
            for peer in self.membership.own_domain()
            if not peer.is_self
            and peer.same_domain
            and peer.reachable
            and not peer.record.stopping
        ]

    def _find_position(self, others: list[Peer]) -> int:
        """Returns how many nodes are ahead."""
        own = self.membership.own.record.address
        return sum(peer.record.address < own for peer in others)

    def _find_rank(self, others: list[Peer], now: float) -> int:
        """Returns how many nodes are ahead, without readers out of touch."""
        own = self.membership.own.record.address
        return sum(
            peer.record.address < own
            and (peer.store_contact_at is None or self._is_in_touch(peer, now))
            for peer in others
        )

    def _is_in_touch(self, peer: Peer, now: float) -> bool:
        """Returns whether a peer reads the store and got a recent answer."""
        contact_at = peer.store_contact_at
        return (
            contact_at is not None
            and now - contact_at <= self.timing.freshness_s
        )
