"""Registry of the handlers that fold each kind of record."""

from collections.abc import Callable
from typing import Any

from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record, record_kinds
from vanillamast_core.registry import Registry

# A handler gets the state before the record, the record and its offset. It
# depends on nothing else and changes the state only if it accepts the record.
RecordHandler = Callable[[MeshState, Any, int], Outcome]
record_handlers: Registry[RecordHandler] = Registry("record handler")


def apply_record(state: MeshState, record: Record, offset: int) -> Outcome:
    """Folds one record into the state.

    Raises:
      UnknownEntryError: The kind has no handler, which is a defect.
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
    """Refuses a record if its subject changed after `based_on`.

    A record whose `based_on` is not below its own offset comes from another
    log, so it is refused as well.

    Args:
      record: The record.
      offset: Its offset.
      subject: Name of the changed object, for the detail.
      winner: Offset of the last change of the object.

    Returns:
      The refusal, None if there is no conflict.
    """
    if record.based_on >= offset:
        winner = offset - 1
        detail = f"based_on {record.based_on} is not below the record's offset"
    elif winner > record.based_on:
        detail = f"{subject} changed at {winner}, after {record.based_on}"
    else:
        return None
    return refuse(record, offset, OutcomeReason.CONFLICT, detail, winner)
