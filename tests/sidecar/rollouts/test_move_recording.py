"""Tests of the states of moves that drivers record in the store."""

import pytest
from vanillamast_sidecar.rollouts import move_controller
from vanillamast_sidecar.rollouts.move_state import MoveState

from tests.sidecar.operator_state.test_store_restore_fuzz import (
    SERVICE,
    ModelNode,
    ModelStore,
)


@pytest.fixture
def store(monkeypatch):
    """Returns a store with a configuration."""
    monkeypatch.setattr(move_controller, "WRITE_RETRY_S", 0.0)
    found = ModelStore()
    found.records.append(("config", 0))
    return found


class TestRecording:
    """What the store keeps if drivers know different orders or eras."""

    async def test_an_earlier_order_replaces_no_later_state(self, store):
        """Guards against an end that a driver which is behind overwrites."""
        behind, ahead = ModelNode(store), ModelNode(store)
        store.records.append(("rollout", 1))
        await behind.read()
        store.records.append(("rollout", 2))
        await ahead.read()
        await ahead.record(MoveState.COMPLETE)
        await behind.record(MoveState.ACTIVE)
        assert store.states[SERVICE] == (MoveState.COMPLETE, "v2", 2)

    async def test_nothing_is_recorded_for_a_lost_order(self, store):
        """Guards against an end under an id that another order gets."""
        driver = ModelNode(store)
        copy = store.save()
        store.records.append(("rollout", 1))
        await driver.read()
        store.restore(copy)
        await driver.record(MoveState.COMPLETE)
        assert store.states == {}
        assert driver.move.state is MoveState.ACTIVE

    async def test_the_acknowledged_end_is_recorded_again_once(self, store):
        """Guards against another end, or a second record of the same."""
        driver = ModelNode(store)
        store.records.append(("rollout", 1))
        await driver.read()
        copy = store.save()
        await driver.record(MoveState.REVERTED)
        driver.check()
        store.restore(copy)
        await driver.read()
        assert driver.move.must_record
        for _ in range(2):
            await driver.record(driver.move.state)
        assert store.states[SERVICE] == (MoveState.REVERTED, "v1", 1)
        assert store.end_offset == 1
        assert not driver.move.must_record
