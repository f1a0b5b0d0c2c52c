"""Tests of heartbeats, deregistrations and failures of servers."""

from vanillamast_sidecar.heartbeat import Heartbeat
from vanillamast_sidecar.server_registry import ServerRegistry


def make_heartbeat(
    sequence: int,
    born_ms: int = 100,
    draining: bool = False,
    instance_id: str = "i-1",
) -> Heartbeat:
    """Returns a heartbeat with usual values."""
    return Heartbeat(
        instance_id,
        born_ms,
        sequence,
        "browse",
        "10.0.0.1:80",
        "v1",
        9,
        draining,
        0.0,
    )


class TestServerRegistry:
    """Effect of late, reordered and repeated messages of servers."""

    def test_a_late_heartbeat_does_not_undo_a_deregistration(self):
        """Guards against requests after an acknowledged deregistration."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(make_heartbeat(5), 0.0)
        assert registry.handle_deregistration("i-1", 100, 1000)
        registry.handle_heartbeat(make_heartbeat(3), 2.1)
        registry.handle_heartbeat(make_heartbeat(9), 2.2)
        assert registry.current.leaving
        assert not registry.current.ready

    def test_a_deregistration_before_the_first_heartbeat_is_final(self):
        """Guards against an old heartbeat that reaches a restarted node."""
        registry = ServerRegistry(1.5)
        registry.handle_deregistration("i-1", 100, 1000)
        registry.handle_heartbeat(make_heartbeat(7), 1.0)
        assert registry.current.leaving

    def test_a_deregistration_without_an_incarnation_is_final(self):
        """Guards against losing it if a restarted node receives it first."""
        registry = ServerRegistry(1.5)
        registry.handle_deregistration("i-1", 0, 1000)
        registry.handle_heartbeat(make_heartbeat(7), 1.0)
        assert registry.current.leaving
        registry.handle_heartbeat(make_heartbeat(1, born_ms=2000), 5.0)
        assert registry.current.ready

    def test_the_same_id_again_is_a_new_server(self):
        """Guards against draining that outlives the incarnation."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(make_heartbeat(5, draining=True), 0.0)
        assert registry.handle_heartbeat(make_heartbeat(1, born_ms=200), 3.0)
        assert registry.current.ready

    def test_an_old_incarnation_does_not_come_back(self):
        """Guards against a heartbeat that was delayed by a partition."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(
            make_heartbeat(1, born_ms=200, instance_id="i-2"), 0.0
        )
        assert not registry.handle_heartbeat(
            make_heartbeat(9, born_ms=100), 1.0
        )
        assert registry.current.id == "i-2"

    def test_missing_heartbeats_end_readiness_until_the_next_one(self):
        """Guards against requests to a crashed server."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(make_heartbeat(1), 0.0)
        assert not registry.expire(5.9)
        assert registry.expire(6.1)
        assert not registry.current.ready
        assert registry.handle_heartbeat(make_heartbeat(2), 7.0)
        assert registry.current.ready

    def test_a_refused_connection_ends_readiness_at_once(self):
        """Guards against requests that wait for a crashed server."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(make_heartbeat(1), 0.0)
        assert registry.mark_unreachable()
        assert not registry.current.ready
        assert not registry.mark_unreachable()

    def test_a_peer_restores_draining_to_a_restarted_node(self):
        """Guards against losing acknowledged draining in a restart."""
        before = ServerRegistry(1.5)
        before.handle_heartbeat(make_heartbeat(4, draining=True), 0.0)
        after = ServerRegistry(1.5)
        after.apply_peer_record(before.current)
        after.handle_heartbeat(make_heartbeat(3), 1.0)
        assert after.current.leaving
