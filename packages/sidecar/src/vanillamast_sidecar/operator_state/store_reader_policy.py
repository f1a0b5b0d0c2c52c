"""Decides which nodes read the operator's stream from the store."""

import math

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.peer import Peer

# The second reader covers for the first until its failure is detected. The
# other nodes of the failure domain get changes from the readers.
READERS_PER_DOMAIN = 2
# A reader without an answer of the store for this long does not count: the sum
# of a probe interval, a slow answer and a heartbeat interval. A change has to
# be applied within twice this time.
READER_FRESHNESS_S = 0.9

# A started node waits this long for the state of its hubs: the time to read
# the list of nodes, to connect, and to get a report and the state. The first
# nodes of the list may be gone, and callers wait.
START_WAIT_S = 0.5
# The first nodes without a reader get this long to read the store before all
# others read as well: on slow links, reads of many nodes delay each other.
TAKEOVER_S = 0.6


class StoreReaderPolicy:
    """Ranks the nodes of the failure domain by address.

    The first ones read the store. A node that knows of no reader with a
    working connection to the store for a while reads as well, whatever its
    rank; if it has just started, it first waits for the readers' state.

    Attributes:
      membership: Nodes.
      started_at: When this node started, in loop time.
      reader_seen_at: When it last knew of another reader with a working
        connection to the store, in loop time.
    """

    def __init__(self, membership: Membership, started_at: float):
        self.membership = membership
        self.started_at = started_at
        self.reader_seen_at = -math.inf

    def must_read(self, now: float, nodes_known: bool) -> bool:
        """Returns whether this node has to read the store itself.

        Args:
          now: Loop time, in seconds.
          nodes_known: Whether this node has read the list of nodes.
        """
        candidates = [
            peer
            for peer in self.membership.own_domain()
            if not peer.is_self and _is_candidate(peer)
        ]
        if now - self.started_at < START_WAIT_S:
            return nodes_known and self._is_among_first(candidates, now)
        if any(_is_active_reader(peer, now) for peer in candidates):
            self.reader_seen_at = now
        elif now - self.reader_seen_at >= TAKEOVER_S:
            return True
        return self._is_among_first(candidates, now)

    def _is_among_first(self, candidates: list[Peer], now: float) -> bool:
        own = self.membership.own.record.address
        ahead = sum(
            peer.record.address < own
            and (peer.store_contact_at is None or _is_active_reader(peer, now))
            for peer in candidates
        )
        return ahead < READERS_PER_DOMAIN


def _is_candidate(peer: Peer) -> bool:
    return peer.same_domain and peer.reachable and not peer.record.stopping


def _is_active_reader(peer: Peer, now: float) -> bool:
    """Returns whether a peer reads the store and got a recent answer."""
    contact_at = peer.store_contact_at
    return contact_at is not None and now - contact_at <= READER_FRESHNESS_S
