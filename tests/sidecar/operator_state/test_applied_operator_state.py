"""Tests of evacuations that a node receives and passes on."""

import os
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.mesh.messages import OperatorState
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.operator_state.store import OperatorUpdate
from vanillamast_sidecar.rollouts.move_table import MoveTable

SNAPSHOT = Snapshot(3, (), {}, CallerLimits(), b"{}")
EVACUATED = Evacuation("b", True, 4)
WITHDRAWN = Evacuation("b", False, 5)


@pytest.fixture
async def state():
    """Returns the state of a node, with what it has sent and handled."""
    sent, handled = [], []
    mesh = SimpleNamespace(
        is_hub=False,
        operator_offset=0,
        config_version=-1,
        broadcast=sent.append,
        sent=sent,
        handled=handled,
    )
    return AppliedOperatorState(
        mesh,
        MoveTable(lambda _: None),
        lambda _: None,
        lambda _: SNAPSHOT,
        EventLogger("m", os.open(os.devnull, os.O_WRONLY)),
        Metrics(),
        on_evacuation=lambda *args: handled.append(args),
    )


class TestEvacuations:
    """Each new record takes effect and is passed on once."""

    async def test_a_record_of_the_store_is_passed_on_once(self, state):
        """Guards against messages that go round between nodes."""
        for _ in range(2):
            state.apply_update(OperatorUpdate(5, None, [], [EVACUATED]))
        assert [m.evacuations for m in state.mesh.sent] == [[EVACUATED]]
        assert state.evacuations.is_evacuated("b")

    @pytest.mark.parametrize("is_hub", [True, False])
    async def test_only_hubs_pass_on_what_peers_send(self, state, is_hub):
        """Guards against messages that each node sends again."""
        state.mesh.is_hub = is_hub
        sender = OperatorState(0, b"", [], [], [EVACUATED])
        state.apply_peer_state(sender)
        assert len(state.mesh.sent) == int(is_hub)
        assert state.evacuations.is_evacuated("b")

    async def test_evacuations_alone_do_not_count_as_read(self, state):
        """Guards against a configuration that is never fetched."""
        state.apply_update(OperatorUpdate(5, SNAPSHOT, [], [EVACUATED]))
        alone = state.to_evacuations_message()
        state.offset = -1
        state.apply_peer_state(alone)
        assert state.offset == -1
        assert state.to_message().evacuations == [EVACUATED]

    async def test_a_started_node_does_not_take_old_withdrawals_for_new(
        self, state
    ):
        """Guards against servers that count as cold after each restart."""
        state.apply_update(OperatorUpdate(6, SNAPSHOT, [], [WITHDRAWN], True))
        later = Evacuation("b", False, 8)
        state.apply_update(OperatorUpdate(9, None, [], [later]))
        assert state.mesh.handled == [(WITHDRAWN, False), (later, True)]

    async def test_a_peer_that_knows_of_none_ends_no_evacuation(self, state):
        """Guards against nodes of an earlier build that end evacuations."""
        state.apply_update(OperatorUpdate(5, SNAPSHOT, [], [EVACUATED]))
        state.apply_peer_state(OperatorState(9, b"", [], []))
        assert state.evacuations.is_evacuated("b")

    async def test_a_complete_read_ends_evacuations(self, state):
        """Guards against a withdrawal that was deleted before it was read."""
        state.apply_update(OperatorUpdate(5, None, [], [EVACUATED]))
        state.apply_update(OperatorUpdate(9, None, [], [], True))
        assert not state.evacuations.is_evacuated("b")
        assert not state.mesh.handled[-1][0].active

    async def test_a_returned_store_ends_no_evacuation_by_itself(self, state):
        """Guards against requests while the operator writes records again."""
        state.apply_update(OperatorUpdate(5, None, [], [EVACUATED]))
        state.apply_update(OperatorUpdate(2, None, [], [], True, era=1))
        assert state.evacuations.is_evacuated("b")
        state.apply_update(OperatorUpdate(4, None, [], [], True, era=1))
        assert not state.evacuations.is_evacuated("b")
