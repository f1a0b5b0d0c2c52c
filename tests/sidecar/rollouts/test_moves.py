"""Tests of moves of traffic between versions."""

import msgspec
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.rollouts.move_driver import MoveDriver, share_at
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.rollouts.version_evidence import VersionEvidence

SPEC = MoveSpec("browse", "v2", 10.0, 7)


def record(version: str) -> InstanceRecord:
    """Returns a ready server of a version."""
    return InstanceRecord(
        f"i-{version}", 1, 1, "browse", version, 9, True, False, 0.0, "a:1"
    )


def status(
    state: MoveState = MoveState.ACTIVE, share: float = 0.1, move_id: int = 7
) -> MoveStatus:
    """Returns a status of the move."""
    return MoveStatus("browse", move_id, "v2", state, share, 1.0)


class TestMoveTable:
    """Which versions receive requests."""

    def test_the_new_version_gets_nothing_before_the_first_status(self):
        """Guards against requests to a version that no driver has released."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        assert not table.allows_requests(record("v2"))
        assert table.allows_requests(record("v1"))
        assert table.prefers_new("browse") is False

    def test_the_share_is_exact(self):
        """Guards against more requests to the new version than its share."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        table.apply_status(status(share=0.07), 0.0)
        chosen = [table.prefers_new("browse") for _ in range(1000)]
        assert chosen.count(True) in (69, 70, 71)

    def test_a_reverted_move_stays_reverted(self):
        """Guards against a late status that reopens a failing version."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        table.apply_status(status(MoveState.REVERTED, 0.0), 1.0)
        table.apply_status(status(share=0.6), 1.1)
        assert not table.allows_requests(record("v2"))
        assert table.allows_requests(record("v1"))

    def test_a_late_copy_of_a_status_is_ignored(self):
        """Guards against shares that go back and forth with late copies."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        first = status(share=0.07)
        second = msgspec.structs.replace(status(share=0.3), elapsed_s=1.5)
        assert table.apply_status(first, 1.0)
        assert table.apply_status(second, 1.5)
        assert not table.apply_status(first, 1.6)
        assert not table.apply_status(second, 1.6)
        assert table.by_service["browse"].share == 0.3

    def test_a_recorded_end_is_final(self):
        """Guards against a late status that changes the end of a move."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        end = msgspec.structs.replace(
            status(MoveState.REVERTED, 0.0), recorded=True
        )
        assert table.apply_status(end, 1.0)
        assert not table.apply_status(status(MoveState.REVERTED, 0.0), 1.1)
        assert not table.apply_status(status(MoveState.COMPLETE, 1.0), 1.2)
        assert table.by_service["browse"].status == end

    def test_a_completed_move_overrides_a_revert(self):
        """Guards against requests to old servers that have stopped."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        table.apply_status(status(MoveState.REVERTED, 0.0), 1.0)
        table.apply_status(status(MoveState.COMPLETE, 1.0), 1.2)
        assert table.allows_requests(record("v2"))
        assert not table.allows_requests(record("v1"))

    def test_a_status_may_arrive_before_its_spec(self):
        """Guards against a node that ignores an early verdict."""
        table = MoveTable(lambda _: None)
        table.apply_status(status(MoveState.REVERTED, 0.0), 1.0)
        assert not table.add_spec(SPEC, 1.1)
        assert not table.allows_requests(record("v2"))

    def test_a_later_spec_starts_a_new_move(self):
        """Guards against the end of one move being applied to the next one."""
        table = MoveTable(lambda _: None)
        table.add_spec(SPEC, 0.0)
        table.apply_status(status(MoveState.REVERTED, 0.0), 1.0)
        assert table.add_spec(MoveSpec("browse", "v2", 10.0, 9), 5.0)
        table.apply_status(status(share=0.2, move_id=9), 5.1)
        assert table.allows_requests(record("v2"))
        assert not table.apply_status(status(MoveState.COMPLETE, 1.0), 5.2)


def new_move_driver() -> tuple[MoveTable, MoveDriver]:
    """Returns a driver and the table that holds its move."""
    table = MoveTable(lambda _: None)
    table.add_spec(SPEC, 0.0)
    return table, MoveDriver(table.by_service["browse"])


def good_evidence(
    version: str, count: int, share: float = 1.0
) -> VersionEvidence:
    """Returns successful outcomes of an idle server."""
    evidence = VersionEvidence(version, {}, True, share)
    for index in range(count):
        evidence.add("page", False, 0.1 + 0.001 * (index % 50))
    return evidence


class TestMoveDriver:
    """Shares, verdicts and the end of a move."""

    def test_a_good_version_completes_in_time(self):
        """Guards against a move of a good version that takes too long."""
        table, driver = new_move_driver()
        ended = None
        for step in range(60):
            now = step * 0.2
            driver.add_evidence("old", good_evidence("v1", 50 + step))
            driver.add_evidence("new", good_evidence("v2", step))
            status_now = driver.decide_status(now, {"old"}, True)
            if status_now.state is MoveState.COMPLETE:
                ended = now
                break
            table.apply_status(status_now, now)
        assert ended is not None
        assert ended < 10.0

    def test_old_servers_are_idle_before_the_end(self):
        """Guards against running requests that the end of a move cuts off."""
        table, driver = new_move_driver()
        table.apply_status(status(share=1.0), 0.0)
        driver.add_evidence("new", good_evidence("v2", 50))
        busy = good_evidence("v1", 50)
        busy.idle = False
        driver.add_evidence("old", busy)
        assert (
            driver.decide_status(8.0, {"old"}, True).state is MoveState.ACTIVE
        )
        driver.add_evidence("old", good_evidence("v1", 50))
        assert (
            driver.decide_status(8.2, {"old"}, True).state is MoveState.COMPLETE
        )

    def test_a_server_that_still_has_a_share_is_not_idle(self):
        """Guards against an end before each node knows the last share."""
        table, driver = new_move_driver()
        table.apply_status(status(share=1.0), 0.0)
        driver.add_evidence("new", good_evidence("v2", 50))
        driver.add_evidence("old", good_evidence("v1", 50, share=0.6))
        assert (
            driver.decide_status(8.0, {"old"}, True).state is MoveState.ACTIVE
        )

    def test_a_failing_version_is_rolled_back_at_once(self):
        """Guards against requests to the new version after the verdict."""
        _, driver = new_move_driver()
        failing = good_evidence("v2", 10)
        for _ in range(10):
            failing.add("page", True, 0.1)
        driver.add_evidence("old", good_evidence("v1", 200))
        driver.add_evidence("new", failing)
        status_now = driver.decide_status(2.0, {"old"}, True)
        assert status_now.state is MoveState.REVERTED
        assert (
            driver.decide_status(3.0, {"old"}, True).state is MoveState.REVERTED
        )

    def test_the_share_waits_for_servers_of_the_new_version(self):
        """Guards against a share of requests without a server for it."""
        _, driver = new_move_driver()
        driver.add_evidence("old", good_evidence("v1", 200))
        status_now = driver.decide_status(9.0, {"old"}, False)
        assert status_now.share <= share_at(0.0)

    def test_an_unfinished_move_is_rolled_back_at_its_time_limit(self):
        """Guards against a move that never ends."""
        _, driver = new_move_driver()
        status_now = driver.decide_status(10.5, {"old"}, False)
        assert status_now.state is MoveState.REVERTED
