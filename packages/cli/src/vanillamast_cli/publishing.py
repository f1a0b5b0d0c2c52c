"""Shared steps of the commands that publish a configuration version."""

import uuid
from typing import Any

import msgspec
from vanillamast_core.configuration import (
    Change,
    Configuration,
    Remove,
    apply_changes,
    change_target,
    validate,
)
from vanillamast_core.journal import Publish
from vanillamast_core.moves import MoveState

from vanillamast_cli.context import Context
from vanillamast_cli.errors import InvalidFileError
from vanillamast_cli.node_answers import ConfigurationAnswer, MovesAnswer
from vanillamast_cli.record_sender import RecordSender
from vanillamast_cli.rendering import format_cell
from vanillamast_cli.report import Report
from vanillamast_cli.times import format_time


def make_record_id() -> str:
    """Returns a new id for a record."""
    return str(uuid.uuid4())


async def get_configuration(context: Context) -> ConfigurationAnswer:
    """Returns the node's configuration and its offset."""
    return await context.client.get("/v1/configuration", ConfigurationAnswer)


async def find_ended_moves(
    context: Context, configuration: Configuration
) -> frozenset[str]:
    """Returns the names of the configuration's moves that have ended."""
    answer = await context.client.get("/v1/moves", MovesAnswer)
    active = {
        move.name for move in answer.moves if not MoveState(move.state).final
    }
    return frozenset(configuration.moves.keys() - active)


def require_valid(
    configuration: Configuration, ended: frozenset[str] = frozenset()
) -> None:
    """Checks a configuration as a whole.

    Raises:
      InvalidFileError: It is invalid; the message has one problem per line.
    """
    problems = validate(configuration, ended)
    if problems:
        raise InvalidFileError("\n".join(str(p) for p in problems))


def describe_change(old: Configuration, change: Change) -> str:
    """Describes a change in one line, with the values that differ."""
    kind, name = change_target(change)
    before = getattr(old, kind).get(name)
    if isinstance(change, Remove):
        return f"- {kind}.{name}"
    if before is None:
        fields = _format_fields(msgspec.to_builtins(change.value))
        return f"+ {kind}.{name}: {fields}"
    return f"~ {kind}.{name}: {_format_differences(before, change.value)}"


async def publish_changes(
    context: Context,
    current: ConfigurationAnswer,
    changes: list[Change],
    label: str,
) -> Report:
    """Publishes changes to the configuration that a node returned.

    Raises:
      CliError: The changes were refused, or their outcome is unknown.
    """
    lines = [describe_change(current.configuration, c) for c in changes]
    lines += list_warnings(current.configuration, changes)
    record = Publish(
        id=make_record_id(),
        based_on=current.offset,
        changes=tuple(changes),
        label=label,
    )
    context.print_report(
        Report(
            {"changes": lines, "based_on": current.offset, "id": record.id},
            [f"based on offset {current.offset}:", *lines],
        )
    )
    outcome = await RecordSender(context.client, record).send()
    context.session.seen_offset = outcome.offset
    return Report(
        {"version": outcome.offset, "label": label, "id": record.id},
        [f"accepted: version {outcome.offset}"],
    )


def list_warnings(old: Configuration, changes: list[Change]) -> list[str]:
    """Returns warnings about changes that may be unintended."""
    new = apply_changes(old, changes)
    return [
        f"! services.{name}: all traffic goes from {service.version} to "
        f"{new.services[name].version} at once, without a move"
        for name, service in old.services.items()
        if name in new.services
        and new.services[name].version != service.version
    ]


def _format_fields(values: dict[str, Any]) -> str:
    return ", ".join(
        f"{name}={_format_value(name, value)}" for name, value in values.items()
    )


def _format_differences(before: Any, after: Any) -> str:
    old, new = msgspec.to_builtins(before), msgspec.to_builtins(after)
    return ", ".join(
        f"{name} {_format_value(name, old[name])} -> "
        f"{_format_value(name, new[name])}"
        for name in new
        if old[name] != new[name]
    )


def _format_value(name: str, value: Any) -> str:
    return format_time(value) if name == "deadline" else format_cell(value)
