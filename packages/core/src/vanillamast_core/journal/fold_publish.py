"""Folds published configuration versions."""

from vanillamast_core.configuration import (
    Change,
    Configuration,
    ConfigurationError,
    apply_changes,
    change_target,
    validate,
)
from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record_handlers import (
    accept,
    record_handlers,
    refuse,
    refuse_if_changed,
)
from vanillamast_core.journal.records import Publish
from vanillamast_core.moves.move import Move

MAX_DETAIL_LENGTH = 512  # Limited because outcomes are part of the state.


@record_handlers.register("publish")
def fold_publish(state: MeshState, record: Publish, offset: int) -> Outcome:
    """Accepts a version without conflicts that is valid as a whole."""
    key, winner = _latest_change(state, record.changes)
    if refusal := refuse_if_changed(record, offset, key, winner):
        return refusal
    try:
        result = apply_changes(state.configuration, record.changes)
        problems = _find_problems(state, result)
    except ConfigurationError as error:
        problems = [str(error)]
    if problems:
        detail = "; ".join(problems)[:MAX_DETAIL_LENGTH]
        return refuse(record, offset, OutcomeReason.INVALID, detail)
    _apply_publish(state, record, result, offset)
    return accept(record, offset)


def _object_key(change: Change) -> str:
    return "/".join(change_target(change))


def _latest_change(
    state: MeshState, changes: tuple[Change, ...]
) -> tuple[str, int]:
    """Returns the affected object that changed last, and when it did."""
    last = [
        (state.last_changed_at(_object_key(c)), _object_key(c)) for c in changes
    ]
    winner, key = max(last, default=(0, ""))
    return key, winner


def _find_new_moves(state: MeshState, result: Configuration) -> list[str]:
    known = state.configuration.moves.keys() | state.moves.keys()
    return sorted(result.moves.keys() - known)


def _find_problems(state: MeshState, result: Configuration) -> list[str]:
    problems = [str(p) for p in validate(result, state.ended_moves())]
    problems += _find_changed_specs(state, result)
    problems += _find_removed_active_moves(state, result)
    started = _find_new_moves(state, result)
    if len(started) > 1:  # The offset is the id of the move.
        problems.append(f"moves: {started} start; allowed: one in a version")
    return problems


def _find_changed_specs(state: MeshState, result: Configuration) -> list[str]:
    problems = []
    for name, spec in sorted(result.moves.items()):
        known = state.configuration.moves.get(name)
        if name in state.moves:
            known = state.moves[name].spec
        if known is not None and known != spec:
            problems.append(f"moves.{name}: known with another content")
    return problems


def _find_removed_active_moves(
    state: MeshState, result: Configuration
) -> list[str]:
    return [
        f"moves.{name}: {move.state}; allowed: to remove a move that ended"
        for name, move in sorted(state.moves.items())
        if not move.state.final and name not in result.moves
    ]


def _apply_publish(
    state: MeshState, record: Publish, result: Configuration, offset: int
) -> None:
    started = _find_new_moves(state, result)
    state.configuration = result
    state.version = offset
    state.label = record.label
    for kind, name in sorted({change_target(c) for c in record.changes}):
        if name in getattr(result, kind):
            state.mark_changed(f"{kind}/{name}", offset)
        else:
            state.mark_removed(f"{kind}/{name}", offset)
    for name in started:
        spec = result.moves[name]
        state.set_move(Move(name, offset, spec, changed_at=offset))
