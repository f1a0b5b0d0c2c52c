"""Selects the hubs of a failure domain."""

from collections.abc import Iterable

from vanillamast_sidecar.membership.peer import Peer

# The second hub covers for the first until its failure is detected.
HUBS_PER_DOMAIN = 2
# A node that has not accepted a connection after this time, many round trips,
# is passed over until it does. After a start of all nodes, the list of nodes
# may begin with many that no longer exist.
CONNECT_PATIENCE_S = 0.08


def select_hubs(peers: Iterable[Peer], now: float) -> list[Peer]:
    """Returns the nodes that act as hubs.

    These are the reachable nodes with the lowest addresses. Nodes may disagree
    for a short time: a node serves as a hub whoever sends it heartbeats.

    Args:
      peers: Nodes of one failure domain, ordered by address.
      now: Loop time, in seconds.
    """
    hubs: list[Peer] = []
    for peer in peers:
        if (
            peer.reachable
            and not peer.record.stopping
            and not peer.is_connecting_since(now - CONNECT_PATIENCE_S)
        ):
            hubs.append(peer)
            if len(hubs) == HUBS_PER_DOMAIN:
                break
    return hubs
