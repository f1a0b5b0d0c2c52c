"""Failure scenarios of the peer mesh, from the design."""

import random

import msgspec
import pytest
from vanillamast_core import Announcement
from vanillamast_core.journal import LogEntry, SnapshotChunk, record_codec
from vanillamast_core.moves import EvidenceCell, Side
from vanillamast_core.peers import (
    Announcements,
    Busy,
    CloseLink,
    Entries,
    Graft,
    Heartbeat,
    Hello,
    Liveness,
    LivenessClaim,
    LivenessState,
    Mesh,
    Message,
    PeerEffect,
    PeerSettings,
    Send,
    StateRequest,
    pack_announcement,
    strip_snapshot_payload,
)
from vanillamast_testing.memory_entry_store import MemoryEntryStore
from vanillamast_testing.peer_fleet import (
    SETTINGS,
    assert_membership,
    make_fleet,
    offsets,
    peers_marked_dead,
)
from vanillamast_testing.peer_network import PeerNetwork

ENTRY_CONVERGENCE_S = 12.0


def find_log_readers(network: PeerNetwork, domain: str) -> set[str]:
    """Returns the nodes of a failure domain that read the log."""
    return {
        name
        for name in network.running_nodes()
        if name[1] == domain and network.nodes[name].reads_log
    }


def make_mesh() -> tuple[Mesh, list[Announcement]]:
    """Returns a mesh with links 1 to 3, and the peers on them."""
    network = PeerNetwork(1, SETTINGS)
    own, *peers = (
        network.add(f"n{i}", "r", "d").announcement for i in range(4)
    )
    store = MemoryEntryStore(tail_entries=1, padding=5000)
    mesh = Mesh(SETTINGS, own, random.Random(1), store)
    for link, peer in enumerate(peers, start=1):
        mesh.handle_link_up(link, 0.0)
        mesh.handle_message(link, Hello(pack_announcement(peer), 0, 0), 0.0)
    return mesh, peers


def find_sends(effects: list[PeerEffect], kind: type[Message]) -> list[Send]:
    """Returns the sends of one kind of message."""
    return [
        effect
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, kind)
    ]


def make_cell(requests: int, move: int = 7) -> EvidenceCell:
    """Returns evidence about one move."""
    return EvidenceCell(
        move=move,
        route="r",
        failure_domain="d0",
        bucket=1,
        side=Side.NEW,
        requests=requests,
        latency={3: requests},
    )


class TestFailureDomains:
    """Loss of readers and of whole failure domains."""

    def test_all_log_readers_of_a_domain_fail(self):
        """Guards against a failure domain that stays without readers."""
        network = make_fleet(1, domains=3, size=6)
        before = find_log_readers(network, "0")
        assert len(before) == 2
        for name in before:
            network.kill(name, machine=True)
        network.append(b"while the readers are dead")
        network.run(ENTRY_CONVERGENCE_S)
        assert set(offsets(network).values()) == {1}
        network.run(ENTRY_CONVERGENCE_S)
        after = find_log_readers(network, "0")
        assert len(after) == 2
        assert not after & before

    def test_all_nodes_but_one_domain_lose_the_log(self):
        """Guards against entries that do not cross failure domains."""
        network = make_fleet(2)
        for name, node in network.nodes.items():
            node.log_cut = name[1] != "2"
        network.append(b"read in one failure domain")
        network.run(ENTRY_CONVERGENCE_S)
        assert set(offsets(network).values()) == {1}

    def test_domain_restarts_while_the_log_is_down(self):
        """Guards against restarted nodes that need the log to catch up."""
        network = make_fleet(3, domains=3, size=8, padding=20_000)
        for index in range(40):
            network.append(b"%d" % index)
        network.run(4)
        network.set_log(False)
        members = [name for name in network.nodes if name[1] == "1"]
        for name in members:
            network.kill(name)
        network.run(1)
        for name in members:
            network.start(name)
        network.run(ENTRY_CONVERGENCE_S)
        assert set(offsets(network).values()) == {40}
        network.run(30)
        assert_membership(network)

    def test_region_cut_for_longer_than_dead_records_live(self):
        """Guards against partitions that remove each other and never rejoin."""
        network = make_fleet(4)
        cut_off = {name: 1 for name in network.nodes if name[1] == "1"}
        for name in cut_off:
            network.nodes[name].log_cut = True
        network.cut(cut_off, reset=False)
        network.run(SETTINGS.dead_retention_s + 60)
        outside = next(name for name in network.nodes if name not in cut_off)
        assert not set(cut_off) & set(network.mesh(outside).directory.records)
        network.append(b"outside only")
        network.run(5)
        network.heal()
        network.run(ENTRY_CONVERGENCE_S)
        assert set(offsets(network).values()) == {1}
        network.run(30)
        assert_membership(network)


class TestMembership:
    """Deaths, refutations and planned stops."""

    def test_machine_failure_is_known_in_time(self):
        """Guards against dead instances that stay usable."""
        network = make_fleet(5, size=5)
        network.kill("n03", machine=True)
        network.run(12)
        for name in network.running_nodes():
            assert peers_marked_dead(network, name) == {"n03"}

    def test_leaving_is_known_during_a_cut(self):
        """Guards against new requests for a leaving server in its partition."""
        network = make_fleet(6)
        members = [name for name in network.nodes if name[1] != "2"]
        network.cut(dict.fromkeys(members, 1), reset=True)
        network.call("n01", lambda mesh, now: mesh.leave(now))
        network.run(3)
        for name in members:
            usable = network.mesh(name).directory.get_usable("browse")
            assert "n01" not in {a.instance for a in usable}, name

    def test_healing_keeps_the_own_partition_alive(self):
        """Guards against deaths claimed by a partition that heals."""
        network = make_fleet(12)
        cut_off = {name: 1 for name in network.nodes if name[1] == "1"}
        network.cut(cut_off, reset=False)
        network.run(30)
        parts = set(cut_off), set(network.nodes) - set(cut_off)
        network.heal()
        for _ in range(80):
            network.run(0.1)
            for part in parts:
                for name in part:
                    directory = network.mesh(name).directory
                    states = {directory.get_liveness(other) for other in part}
                    assert states == {LivenessState.ALIVE}, name
        network.run(20)
        assert_membership(network)

    def test_partial_partition_does_not_flap(self):
        """Guards against endless suspicion between two live domains.

        Nodes of two failure domains cannot reach each other but both reach
        a third one, so every suspicion is refuted.
        """
        network = make_fleet(7)
        network.blocked = {frozenset({"d0", "d1"})}
        network.run(30)
        before = {
            n: network.mesh(n).own.incarnation for n in network.running_nodes()
        }
        network.run(60)
        raised = sum(
            network.mesh(name).own.incarnation - incarnation
            for name, incarnation in before.items()
        )
        assert raised <= 2 * len(before)
        network.append(b"x")
        network.run(ENTRY_CONVERGENCE_S)
        assert set(offsets(network).values()) == {1}

    def test_overloaded_node_suspects_no_peer(self):
        """Guards against deaths marked by a node whose ticks are late."""
        network = make_fleet(8)
        for _ in range(30):
            network.pause("n11")
            network.run(1.6)
            network.resume("n11")
            network.run(0.1)
            for name in network.running_nodes():
                assert peers_marked_dead(network, name) <= {"n11"}

    @pytest.mark.parametrize(("reset", "seconds"), [(True, 9), (False, 14)])
    def test_cut_off_node_suspects_no_peer(self, reset: bool, seconds: float):
        """Guards against a cut-off node that suspects its peers."""
        network = make_fleet(9)
        network.cut({"n11": 1}, reset)
        network.run(seconds)
        directory = network.mesh("n11").directory
        for record in directory.records.values():
            assert record.liveness is LivenessState.ALIVE

    @pytest.mark.parametrize(
        ("lost", "liveness"),
        [((1,), LivenessState.SUSPECT), ((1, 2), LivenessState.ALIVE)],
    )
    def test_refused_dial(self, lost: tuple[int, ...], liveness: LivenessState):
        """Guards against missed deaths, and suspicion after a loss of links."""
        mesh, _ = make_mesh()
        mesh.tick(0.25)
        for link in lost:
            mesh.handle_link_down(link, 0.3)
        mesh.tick(0.5)
        mesh.handle_dial_failed("n1:1", True, 0.6)
        assert mesh.directory.get_liveness("n1") is liveness

    def test_suspect_receives_claim_on_a_new_link(self):
        """Guards against a suspect that never receives the claim to refute."""
        mesh, peers = make_mesh()
        mesh.membership.suspect("n1", 0.0)
        hello = Hello(pack_announcement(peers[0]), 0, 0)
        mesh.handle_link_up(9, 1.0)
        effects = mesh.handle_message(9, hello, 1.0)
        claim = LivenessClaim("n1", 1, LivenessState.SUSPECT)
        assert Send(9, Liveness((claim,))) in effects

    def make_unlinked_instance(self) -> tuple[Mesh, Announcement]:
        """Returns a mesh and a known instance without a link to it."""
        mesh, peers = make_mesh()
        unlinked = msgspec.structs.replace(
            peers[0], instance="n9", peer_address="n9:1"
        )
        message = Announcements((pack_announcement(unlinked),))
        effects = mesh.handle_message(1, message, 0.0)
        assert [e.link_id for e in find_sends(effects, Announcements)] == [2, 3]
        mesh.tick(0.25)
        return mesh, unlinked

    def test_claimed_death_waits_for_refutation(self):
        """Guards against deaths taken from another partition's claims."""
        mesh, _ = self.make_unlinked_instance()
        claim = LivenessClaim("n9", 1, LivenessState.DEAD)
        mesh.handle_message(1, Liveness((claim,)), 0.3)
        effects = mesh.tick(0.5)
        assert {e.link_id for e in find_sends(effects, Liveness)} == {1, 2, 3}
        for step in range(3, 17):
            mesh.tick(0.25 * step)
            assert mesh.directory.get_liveness("n9") is LivenessState.ALIVE
        mesh.tick(4.5)
        assert mesh.directory.get_liveness("n9") is LivenessState.DEAD

    def test_new_peer_receives_open_suspicions(self):
        """Guards against suspects behind a new link that never refute."""
        mesh, unlinked = self.make_unlinked_instance()
        mesh.membership.suspect("n9", 0.3)
        peer = msgspec.structs.replace(
            unlinked, instance="n8", peer_address="n8:1"
        )
        mesh.handle_link_up(9, 0.4)
        hello = Hello(pack_announcement(peer), 0, 0)
        effects = mesh.handle_message(9, hello, 0.4)
        claim = LivenessClaim("n9", 1, LivenessState.SUSPECT, ("n0",))
        assert Send(9, Liveness((claim,))) in effects

    def test_unprompted_refutations_are_batched(self):
        """Guards against floods of refutations after a partition heals."""
        mesh, unlinked = self.make_unlinked_instance()
        newer = msgspec.structs.replace(unlinked, incarnation=2)
        message = Announcements((pack_announcement(newer),))
        for link in (1, 2):
            assert not find_sends(
                mesh.handle_message(link, message, 0.3), Announcements
            )
        assert find_sends(mesh.tick(0.5), Announcements) == [Send(3, message)]

    def test_leaving_is_final(self):
        """Guards against a renewed lease that cancels a planned stop."""
        mesh, _ = make_mesh()
        serving = mesh.own
        mesh.leave(0.0)
        mesh.announce(serving, 0.1)
        assert mesh.own.leaving
        assert (
            mesh.directory.get_usable("browse")
            == mesh.directory.get_known("browse")[1:]
        )


class TestSnapshots:
    """Limits on snapshot transfers."""

    def make_server(self) -> tuple[Mesh, list[int]]:
        """Returns a mesh with a state and three links."""
        mesh, _ = make_mesh()
        entries = [LogEntry(i, b"x") for i in (1, 2, 3)]
        mesh.handle_entries_read(entries, 0.0)
        return mesh, [1, 2, 3]

    def test_third_snapshot_is_refused(self):
        """Guards against reconnect storms that overload a node."""
        mesh, links = self.make_server()
        kinds = []
        for link in links:
            effects = mesh.handle_message(link, StateRequest(0), 0.0)
            kinds.append({type(e.message) for e in effects})
        assert Busy not in kinds[0] | kinds[1]
        assert kinds[2] == {Busy}

    def test_slot_is_freed_when_the_link_is_lost(self):
        """Guards against slots that leak with their links."""
        mesh, links = self.make_server()
        for link in links:
            mesh.handle_message(link, StateRequest(0), 0.0)
        mesh.handle_link_down(1, 0.1)
        mesh.tick(0.2)
        effects = mesh.handle_message(3, StateRequest(0), 0.2)
        assert Busy not in {type(e.message) for e in effects}

    def test_full_node_refers_peers_to_other_nodes(self):
        """Guards against nodes that retry the same few full seeds only."""
        settings = PeerSettings(max_links=1)
        network = PeerNetwork(1, settings)
        own = network.add("n0", "r", "d").announcement
        peer = network.add("n1", "r", "d").announcement
        mesh = Mesh(settings, own, random.Random(1), MemoryEntryStore())
        mesh.handle_link_up(1, 0.0)
        mesh.handle_message(1, Hello(pack_announcement(peer), 0, 0), 0.0)
        busy, close = mesh.handle_link_up(2, 0.0)
        assert isinstance(busy, Send)
        assert busy.message == Busy(1.0, (peer.peer_address,))
        assert close == CloseLink(2)


class TestEntries:
    """Relaying of entries."""

    def test_returned_effects_do_not_change_later(self):
        """Guards against effects of a later call in a returned list."""
        mesh, _ = make_mesh()
        effects = mesh.handle_message(
            1, Heartbeat(0, mesh.anti_entropy.digest()), 0.1
        )
        assert effects == []
        assert mesh.leave(0.2)
        assert effects == []

    def test_gap_shown_by_a_heartbeat_is_closed(self):
        """Guards against a node without any eager link to it."""
        mesh, _ = make_mesh()
        mesh.handle_message(2, Heartbeat(3, mesh.anti_entropy.digest()), 0.1)
        assert find_sends(mesh.tick(0.4), Graft) == []
        assert find_sends(mesh.tick(0.7), Graft) == [Send(2, Graft(0))]
        assert find_sends(mesh.tick(1.0), Graft) == []
        # No answer: requested again after a timeout and a backoff.
        later = [mesh.tick(1.0 + 0.25 * step) for step in range(1, 13)]
        assert sum(len(find_sends(effects, Graft)) for effects in later) == 1

    def test_snapshot_payload_is_not_relayed(self):
        """Guards against 48 KB chunks that flood the overlay."""
        chunk = SnapshotChunk(
            id="a", based_on=1, offset=1, index=0, count=1,
            data=bytes(48_000), digest=b"d",
        )  # fmt: skip
        entry = LogEntry(5, record_codec.encode(chunk))
        stripped = strip_snapshot_payload(entry)
        assert stripped.offset == 5
        decoded = record_codec.decode(stripped.data)
        assert isinstance(decoded, SnapshotChunk)
        assert (decoded.id, decoded.index, decoded.data) == ("a", 0, b"")
        garbage = LogEntry(6, b"\xc1" * 5000)
        assert strip_snapshot_payload(garbage) is garbage

    @pytest.mark.parametrize("order", [(3, 2, 1), (2, 2, 1, 3), (3, 1, 2, 1)])
    def test_any_order_applies_in_order(self, order: tuple[int, ...]):
        """Guards against entries applied out of order or twice."""
        network = make_fleet(10, domains=1, size=2)
        link = next(iter(network.nodes["n00"].links))
        for offset in order:
            message = Entries((LogEntry(offset, b"%d" % offset),))
            network.call(
                "n00",
                lambda mesh, now, m=message: mesh.handle_message(link, m, now),
            )
        assert network.nodes["n00"].store.offset == 3


class TestEvidence:
    """The evidence tree."""

    def test_each_cell_reaches_judge_and_driver_once(self):
        """Guards against lost or duplicated evidence without failures."""
        network = make_fleet(11, domains=3, size=12)
        for name in network.running_nodes():
            network.mesh(name).set_driver(0, "n25", [7])
        for _ in range(3):
            for name in network.running_nodes():
                network.call(
                    name, lambda m, now: m.add_evidence([make_cell(1)], now)
                )
            network.run(2)
        network.run(20)
        received = {
            name: sum(c.requests for c in node.evidence)
            for name, node in network.nodes.items()
            if node.evidence
        }
        # A domain's root is the first of its sorted members.
        assert received == {"n00": 36, "n10": 36, "n20": 36, "n25": 108}
