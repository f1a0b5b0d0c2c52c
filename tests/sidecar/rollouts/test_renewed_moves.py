"""Tests of moves whose records the store has in a later era."""

import msgspec
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import MoveTable

SERVICE = "browse"
FIRST = MoveSpec(SERVICE, "v2", 10.0, 5)
SECOND = MoveSpec(SERVICE, "v3", 10.0, 9)


def spec(to_version: str, move_id: int, era: int = 1) -> MoveSpec:
    """Returns an order of a later era."""
    return MoveSpec(SERVICE, to_version, 10.0, move_id, era)


def status_of(
    order: MoveSpec, state: MoveState, recorded: bool = False
) -> MoveStatus:
    """Returns a status of an order's move."""
    share = {MoveState.COMPLETE: 1.0, MoveState.REVERTED: 0.0}.get(state, 0.3)
    return MoveStatus(
        SERVICE,
        order.move_id,
        order.to_version,
        state,
        share,
        1.0,
        recorded,
        order.era,
    )


def apply_spec(table: MoveTable, order: MoveSpec) -> None:
    """Applies an order as `AppliedOperatorState` does."""
    if not table.renew_spec(order, 2.0) and not table.complete_spec(order):
        table.add_spec(order, 2.0)


def table_with_end(state: MoveState = MoveState.REVERTED) -> MoveTable:
    """Returns a table whose second move has ended."""
    table = MoveTable(lambda _: None)
    table.add_spec(FIRST, 0.0)
    table.add_spec(SECOND, 1.0)
    table.apply_status(status_of(SECOND, state, recorded=True), 1.5)
    return table


class TestSpecs:
    """Which order a spec of a later era is."""

    def test_an_order_written_again_goes_on(self):
        """Guards against a move that ended and starts over."""
        for move_id in (9, 8, 12):
            table = table_with_end()
            apply_spec(table, spec("v3", move_id))
            move = table.by_service[SERVICE]
            assert move.spec.position == (1, move_id)
            assert move.state is MoveState.REVERTED
            assert move.must_record
            assert not move.status.recorded

    def test_an_order_that_was_replaced_does_not_come_back(self):
        """Guards against a copy that brings the order before back."""
        table = table_with_end(MoveState.COMPLETE)
        apply_spec(table, spec("v2", 5))
        table.apply_status(
            status_of(spec("v2", 5), MoveState.COMPLETE, recorded=True), 2.1
        )
        assert table.by_service[SERVICE].spec == SECOND
        apply_spec(table, spec("v3", 6))
        assert table.by_service[SERVICE].state is MoveState.COMPLETE

    def test_another_order_at_a_given_out_id_is_a_new_move(self):
        """Guards against the end of one move being taken for another's."""
        table = table_with_end()
        apply_spec(table, spec("v4", 9))
        move = table.by_service[SERVICE]
        assert (move.spec.to_version, move.state) == ("v4", MoveState.ACTIVE)
        late = status_of(SECOND, MoveState.COMPLETE, recorded=True)
        assert not table.apply_status(late, 2.5)

    def test_a_second_order_of_the_era_is_a_new_move(self):
        """Guards against an operator who cannot try a version again."""
        table = table_with_end()
        apply_spec(table, spec("v3", 9))
        apply_spec(table, spec("v3", 10))
        assert table.by_service[SERVICE].state is MoveState.ACTIVE

    def test_an_earlier_era_never_wins(self):
        """Guards against a peer that was cut off during the return."""
        table = MoveTable(lambda _: None)
        apply_spec(table, spec("v4", 2))
        apply_spec(table, SECOND)
        assert table.by_service[SERVICE].spec.to_version == "v4"


class TestStatuses:
    """Statuses between nodes that know different eras."""

    def test_a_recorded_end_settles_the_record(self):
        """Guards against a state that is recorded again for ever."""
        table = table_with_end()
        renewed = spec("v3", 9)
        apply_spec(table, renewed)
        table.apply_status(status_of(renewed, MoveState.REVERTED, True), 3.0)
        assert not table.by_service[SERVICE].must_record

    def test_an_end_outlives_a_driver_that_forgot_it(self):
        """Guards against a restarted driver that opens a failing version."""
        table = table_with_end()
        renewed = spec("v3", 9)
        active = status_of(renewed, MoveState.ACTIVE)
        assert not table.apply_status(active, 2.0)
        assert table.by_service[SERVICE].state is MoveState.REVERTED
        end = table.find_renewed_end(active)
        driver = MoveTable(lambda _: None)
        apply_spec(driver, renewed)
        driver.apply_status(active, 2.0)
        assert driver.apply_status(end, 2.1)
        assert driver.by_service[SERVICE].state is MoveState.REVERTED

    def test_an_end_of_an_earlier_era_is_taken_over(self):
        """Guards against an end that only a cut off node remembers."""
        table = MoveTable(lambda _: None)
        apply_spec(table, spec("v3", 9))
        end = status_of(SECOND, MoveState.REVERTED, recorded=True)
        assert table.apply_status(end, 2.0)
        move = table.by_service[SERVICE]
        assert move.must_record
        assert not move.status.recorded
        assert not table.apply_status(end, 2.1)

    def test_a_status_of_an_unknown_order_waits_for_it(self):
        """Guards against an end that is lost before the order is known."""
        table = table_with_end()
        renewed = spec("v3", 12)
        assert not table.apply_status(status_of(renewed, MoveState.ACTIVE), 2.0)
        apply_spec(table, renewed)
        assert table.by_service[SERVICE].state is MoveState.REVERTED

    def test_nothing_is_answered_without_a_return(self):
        """Guards against messages in deployments that have no eras."""
        table = table_with_end()
        active = status_of(SECOND, MoveState.ACTIVE)
        assert table.find_renewed_end(active) is None

    def test_nodes_without_eras_read_and_write_the_same_arrays(self):
        """Guards against an upgrade that stops a move."""
        status = status_of(SECOND, MoveState.ACTIVE)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(status))
        shorter = msgspec.msgpack.encode(fields[:-1])
        assert msgspec.msgpack.decode(shorter, type=MoveStatus) == status
