"""Selects the hubs of a failure domain."""

from collections.abc import Iterable

from vanillamast_sidecar.peer import Peer

# The second hub covers for the first until its failure is detected.
HUBS_PER_DOMAIN = 2


def select_hubs(peers: Iterable[Peer]) -> list[Peer]:
    """Returns the nodes that act as hubs.

    These are the reachable nodes with the lowest addresses. Nodes may disagree
    for a short time: a node serves as a hub whoever sends it heartbeats.

    Args:
      peers: Nodes of one failure domain, ordered by address.
    """
    hubs: list[Peer] = []
    for peer in peers:
        if peer.reachable and not peer.record.stopping:
            hubs.append(peer)
            if len(hubs) == HUBS_PER_DOMAIN:
                break
    return hubs
