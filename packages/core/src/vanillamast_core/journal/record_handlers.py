"""The registry of what each kind of record does to the state."""

from collections.abc import Callable
from typing import Any

from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record, record_kinds
from vanillamast_core.registry import Registry

# A handler takes the state before the record, the record and its offset.
# It depends on nothing else, and changes the state only if it accepts.
RecordHandler = Callable[[MeshState, Any, int], Outcome]
record_handlers: Registry[RecordHandler] = Registry("record handler")


def apply_record(state: MeshState, record: Record, offset: int) -> Outcome:
    """Folds one record into the state.

    Raises:
      UnknownEntryError: The kind has no handler, a defect.
    """
    for name, kind in record_kinds.entries.items():
        if type(record) is kind:
            return record_handlers.get(name)(state, record, offset)
    return record_handlers.get(type(record).__name__)(state, record, offset)


def accept(record: Record, offset: int) -> Outcome:
    """Returns the outcome of a record that took effect."""
    return Outcome(record.id, offset, OutcomeReason.ACCEPTED)


def refuse(
    record: Record,
    offset: int,
    reason: OutcomeReason,
    detail: str,
    winner: int = 0,
) -> Outcome:
    """Returns the outcome of a record that changed nothing."""
    return Outcome(record.id, offset, reason, winner, detail)


def refuse_if_changed(
    record: Record, offset: int, subject: str, winner: int
) -> Outcome | None:
    """Returns a refusal if a subject changed after `based_on`, else None.

    A record that claims to know more than its predecessors hold comes from
    another log, so it is refused as well.
    """
    if record.based_on >= offset:
        winner = offset - 1
        detail = f"based_on {record.based_on} is not below the record's offset"
    elif winner > record.based_on:
        detail = f"{subject} changed at {winner}, after {record.based_on}"
    else:
        return None
    return refuse(record, offset, OutcomeReason.CONFLICT, detail, winner)
