"""A small mesh on the in-memory network, with checks of its state."""

import hashlib

from vanillamast_core.peers import LivenessState, PeerSettings

from vanillamast_testing.peer_network import PeerNetwork

SETTINGS = PeerSettings(snapshot_chunk_bytes=256, rejoin_rate=6.0)
TAIL_ENTRIES = 8  # Small, so that snapshots are exercised.


def make_fleet(
    seed: int, domains: int = 3, size: int = 3, padding: int = 600
) -> PeerNetwork:
    """Starts nodes n<domain><index> in two regions and lets them join."""
    network = PeerNetwork(seed, SETTINGS)
    network.tail_entries = TAIL_ENTRIES
    network.padding = padding
    for domain in range(domains):
        for index in range(size):
            network.add(
                f"n{domain}{index}", f"r{domain % 2}", f"d{domain}", "browse"
            )
        network.seeds.append(f"n{domain}0:1")
    for name in network.nodes:
        network.start(name)
    network.run(8)
    return network


def chain_at(network: PeerNetwork, offset: int) -> bytes:
    """Returns the digest of the log's entries up to an offset."""
    chain = b""
    for entry in network.log[:offset]:
        chain = hashlib.blake2b(chain + entry.data, digest_size=16).digest()
    return chain


def offsets(network: PeerNetwork) -> dict[str, int]:
    """Returns the offset of each running node."""
    return {
        name: network.nodes[name].store.offset
        for name in network.running_nodes()
    }


def assert_membership(network: PeerNetwork) -> None:
    """Checks that all running nodes agree on which nodes run."""
    live = set(network.running_nodes())
    digests = set()
    for name in live:
        directory = network.mesh(name).directory
        digests.add(directory.digest())
        for other, record in directory.records.items():
            running = record.liveness is LivenessState.ALIVE
            assert running == (other in live), (name, other, record.liveness)
        assert live <= set(directory.records), name
    assert len(digests) == 1


def peers_marked_dead(network: PeerNetwork, name: str) -> set[str]:
    """Returns the instances that a node considers dead."""
    return set(network.mesh(name).directory.dead)
