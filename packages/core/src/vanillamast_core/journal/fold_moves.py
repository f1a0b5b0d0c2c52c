"""Folds the records of drivers, judges and operators that change moves."""

from typing import Any

import msgspec

from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record
from vanillamast_core.journal.record_handlers import (
    accept,
    record_handlers,
    refuse,
    refuse_if_changed,
)
from vanillamast_core.journal.records import (
    AdvanceMove,
    HoldMove,
    ResumeMove,
    SettleMove,
    StopMove,
    TakeBack,
)
from vanillamast_core.journal.shard import driver_lease_name
from vanillamast_core.moves.move import Move, MoveState

MAX_REASON_LENGTH = 256  # Limited because moves are part of the state.


@record_handlers.register("advance_move")
def fold_advance(state: MeshState, record: AdvanceMove, offset: int) -> Outcome:
    """Advances a running move to its next step."""
    move = state.moves.get(record.move)
    if move is None or move.started_at > record.based_on:
        return _refuse_unknown_move(record, offset, record.move)
    if refusal := _refuse_stale_token(state, record, move, offset):
        return refusal
    if move.state is not MoveState.RUNNING or move.step != record.from_step:
        return _refuse_wrong_state(record, move, offset)
    step = move.step + 1
    last = step == len(move.spec.steps) - 1
    changed = msgspec.structs.replace(
        move,
        state=MoveState.DONE if last else MoveState.RUNNING,
        step=step,
        baseline_failure_ratio=record.baseline_failure_ratio,
        baseline_slow_ms=record.baseline_slow_ms,
    )
    return _store_move(state, record, changed, offset)


@record_handlers.register("settle_move")
def fold_settle(state: MeshState, record: SettleMove, offset: int) -> Outcome:
    """Gives the service the new version and ends the move."""
    move = state.moves.get(record.move)
    if move is None or move.started_at > record.based_on:
        return _refuse_unknown_move(record, offset, record.move)
    if refusal := _refuse_stale_token(state, record, move, offset):
        return refusal
    if move.state is not MoveState.DONE:
        return _refuse_wrong_state(record, move, offset)
    _set_service_version(state, move, offset)
    changed = msgspec.structs.replace(move, state=MoveState.SETTLED)
    return _store_move(state, record, changed, offset)


@record_handlers.register("hold_move")
def fold_hold(state: MeshState, record: HoldMove, offset: int) -> Outcome:
    """Keeps a running move at its step."""
    return _apply_operator_action(
        state, record, offset, {MoveState.RUNNING}, MoveState.HELD
    )


@record_handlers.register("resume_move")
def fold_resume(state: MeshState, record: ResumeMove, offset: int) -> Outcome:
    """Resumes a held move."""
    return _apply_operator_action(
        state, record, offset, {MoveState.HELD}, MoveState.RUNNING
    )


@record_handlers.register("stop_move")
def fold_stop(state: MeshState, record: StopMove, offset: int) -> Outcome:
    """Ends a move; all traffic goes to the old version."""
    active = {s for s in MoveState if not s.final}
    return _apply_operator_action(
        state, record, offset, active, MoveState.STOPPED
    )


@record_handlers.register("take_back")
def fold_take_back(state: MeshState, record: TakeBack, offset: int) -> Outcome:
    """Rolls a move back, even if it changed since the verdict."""
    move = state.find_move_started_at(record.started_at)
    if move is None:
        return _refuse_unknown_move(
            record, offset, f"that started at {record.started_at}"
        )
    if move.state.final:
        return _refuse_wrong_state(record, move, offset)
    changed = msgspec.structs.replace(
        move,
        state=MoveState.TAKEN_BACK,
        reason=record.reason[:MAX_REASON_LENGTH],
    )
    return _store_move(state, record, changed, offset)


def _apply_operator_action(
    state: MeshState,
    record: Any,
    offset: int,
    before: set[MoveState],
    after: MoveState,
) -> Outcome:
    """Changes a move's state unless it changed after `based_on`."""
    move = state.moves.get(record.move)
    if move is None:
        return _refuse_unknown_move(record, offset, record.move)
    subject = f"move {move.name}"
    if refusal := refuse_if_changed(record, offset, subject, move.changed_at):
        return refusal
    if move.state not in before:
        return _refuse_wrong_state(record, move, offset)
    changed = msgspec.structs.replace(move, state=after)
    return _store_move(state, record, changed, offset)


def _store_move(
    state: MeshState, record: Record, move: Move, offset: int
) -> Outcome:
    state.set_move(msgspec.structs.replace(move, changed_at=offset))
    return accept(record, offset)


def _set_service_version(state: MeshState, move: Move, offset: int) -> None:
    name = move.spec.service
    services = dict(state.configuration.services)
    services[name] = msgspec.structs.replace(
        services[name], version=move.spec.new
    )
    state.configuration = msgspec.structs.replace(
        state.configuration, services=services
    )
    state.version = offset
    state.mark_changed(f"services/{name}", offset)


def _refuse_stale_token(
    state: MeshState, record: Any, move: Move, offset: int
) -> Outcome | None:
    name = driver_lease_name(move.spec.service)
    lease = state.leases.get(name)
    if lease is not None and lease.token == record.token:
        return None
    current = lease.token if lease else 0
    detail = f"token {record.token}, lease {name} has {current}"
    return refuse(record, offset, OutcomeReason.FENCED, detail, current)


def _refuse_unknown_move(record: Record, offset: int, name: str) -> Outcome:
    detail = f"no move {name}"
    return refuse(record, offset, OutcomeReason.UNKNOWN_MOVE, detail)


def _refuse_wrong_state(record: Record, move: Move, offset: int) -> Outcome:
    detail = f"move {move.name} is {move.state} at step {move.step}"
    return refuse(
        record, offset, OutcomeReason.WRONG_STATE, detail, move.changed_at
    )
