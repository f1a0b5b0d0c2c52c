"""Tests of heartbeats, deregistrations and failures of servers."""

import dataclasses

from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.instance_facts import (
    MAX_FACTS,
    InstanceFacts,
    merge_facts,
)
from vanillamast_sidecar.membership.server_registry import (
    MAX_LEAVING,
    ServerRegistry,
)
from vanillamast_sidecar.operator_state.snapshot import WarmUp

WARM_UP = WarmUp(10.0, 7.0)


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

    def test_memory_of_departures_is_bounded(self):
        """Guards against a node that keeps whatever others tell it."""
        registry = ServerRegistry(1.5)
        for born_ms in range(1, 3 * MAX_LEAVING):
            told = InstanceFacts("i-1", born_ms, leaving=True)
            assert registry.apply_facts((told,))
        assert len(registry.leaving) == MAX_LEAVING
        assert len(registry.facts) == MAX_FACTS

    def test_a_peer_restores_draining_to_a_restarted_node(self):
        """Guards against losing acknowledged draining in a restart."""
        before = ServerRegistry(1.5)
        before.handle_heartbeat(make_heartbeat(4, draining=True), 0.0)
        after = ServerRegistry(1.5)
        after.apply_facts(before.facts)
        after.handle_heartbeat(make_heartbeat(3), 1.0)
        assert after.current.leaving


class TestResponses:
    """What responses of the server say of it."""

    def registry(self):
        """Returns a registry with a server that is ready."""
        registry = ServerRegistry(1.5)
        registry.handle_heartbeat(make_heartbeat(1), 0.0)
        return registry

    def test_leaving_is_final(self):
        """Guards against a heartbeat that undoes what a response said."""
        registry = self.registry()
        assert registry.mark_leaving("i-1", 100)
        assert not registry.mark_leaving("i-1", 100)
        registry.handle_heartbeat(make_heartbeat(2), 1.0)
        assert not registry.current.ready

    def test_another_incarnation_is_not_affected(self):
        """Guards against a late response that takes out the next server."""
        registry = self.registry()
        assert not registry.mark_leaving("i-1", 99)
        assert not registry.apply_rate_limit("i-1", 99, 5.0)
        assert registry.current.ready
        assert registry.current.rate_limit is None

    def test_heartbeats_keep_the_limit(self):
        """Guards against a limit that only lasts until the next heartbeat."""
        registry = self.registry()
        assert registry.apply_rate_limit("i-1", 100, 20.0)
        assert not registry.handle_heartbeat(make_heartbeat(2), 1.0)
        assert registry.current.rate_limit == 20.0
        assert registry.apply_rate_limit("i-1", 100, None)
        assert registry.current.rate_limit is None

    def test_small_changes_are_not_announced(self):
        """Guards against an announcement for each response."""
        registry = self.registry()
        registry.apply_rate_limit("i-1", 100, 20.0)
        assert not registry.apply_rate_limit("i-1", 100, 21.0)
        assert registry.apply_rate_limit("i-1", 100, 10.0)

    def test_a_peer_restores_the_limit_to_a_restarted_node(self):
        """Guards against a limit that is forgotten in a restart."""
        before = self.registry()
        before.apply_rate_limit("i-1", 100, 20.0)
        after = ServerRegistry(1.5)
        after.apply_facts(before.facts)
        after.handle_heartbeat(make_heartbeat(3), 1.0)
        assert after.current.rate_limit == 20.0

    def test_the_server_knows_better_than_a_peer(self):
        """Guards against an old limit from a node that was cut off."""
        before = self.registry()
        before.apply_rate_limit("i-1", 100, 20.0)
        after = self.registry()
        after.apply_rate_limit("i-1", 100, None)
        after.apply_facts(before.facts)
        assert after.current.rate_limit is None
        # The other nodes learn that it is the newer one.
        assert merge_facts(before.facts, after.facts) == after.facts


class TestColdTime:
    """When the other nodes are told that the server is cold."""

    def registry(self, warm_up=WARM_UP):
        """Returns the state of a warm server at time 0."""
        registry = ServerRegistry(1.5)
        registry.warm_up = warm_up
        registry.handle_heartbeat(make_heartbeat(1), 0.0)
        registry.refresh_cold_time(0.0)
        return registry

    def heartbeat(self, sequence, cold_s):
        """Returns a heartbeat that states a cold time."""
        return dataclasses.replace(make_heartbeat(sequence), cold_s=cold_s)

    def test_a_server_that_turns_cold_again_is_announced_once(self):
        """Guards against nodes that use it as a warm one."""
        registry = self.registry()
        assert registry.handle_heartbeat(self.heartbeat(2, 9.0), 1.5)
        registry.refresh_cold_time(1.6)
        assert registry.current.cold_s == 8.9
        assert not registry.handle_heartbeat(self.heartbeat(3, 7.4), 3.0)
        assert not registry.handle_heartbeat(self.heartbeat(9, 0.0), 12.0)

    def test_nothing_is_announced_without_a_rate(self):
        """Guards against more messages where no deployment asks for them."""
        registry = self.registry(None)
        assert not registry.handle_heartbeat(self.heartbeat(2, 9.0), 1.5)
        registry.refresh_cold_time(5.0)
        assert registry.current.cold_s == 9.0
        assert not registry.presume_cold(6.0)
        assert registry.cold_until == 10.5

    def test_a_late_heartbeat_binds_as_long_as_it_states(self):
        """Guards against a limit that ends before the cold time."""
        registry = self.registry()
        registry.handle_heartbeat(self.heartbeat(2, 5.0), 4.0)
        assert registry.cold_until == 9.0
        registry.handle_heartbeat(self.heartbeat(1, 0.0), 4.5)
        assert registry.cold_until == 9.0

    def test_it_counts_as_cold_after_an_evacuation(self):
        """Guards against a heartbeat that was sent before the withdrawal."""
        registry = self.registry()
        assert registry.presume_cold(20.0)
        registry.refresh_cold_time(20.0)
        registry.handle_heartbeat(self.heartbeat(2, 0.0), 22.0)
        assert registry.cold_until == 30.0
        # Sent later for certain: it would count as down without it.
        registry.handle_heartbeat(self.heartbeat(3, 0.0), 26.5)
        assert registry.cold_until == 26.5

    def test_a_longer_cold_time_binds_after_an_evacuation(self):
        """Guards against a presumption that shortens what a server states."""
        registry = self.registry()
        registry.presume_cold(20.0)
        registry.handle_heartbeat(self.heartbeat(2, 15.0), 21.0)
        assert registry.cold_until == 36.0
