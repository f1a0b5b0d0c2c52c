"""Loading of configurations from YAML, and dumping to it."""

import datetime
import re
from typing import Any

import msgspec
import yaml

from vanillamast_core.configuration.caller_class import CallerClass
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.configuration_error import (
    ConfigurationError,
)
from vanillamast_core.configuration.move_spec import MoveSpec
from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.service import Service
from vanillamast_core.configuration.yaml_loader import parse_yaml

OBJECT_TYPES: dict[str, Any] = {
    "services": Service,
    "routes": Route,
    "classes": CallerClass,
    "moves": MoveSpec,
}
DEADLINE_FORM = (
    "a UTC time such as 2026-12-04T06:00:00Z, or seconds since the epoch"
)
# Patterns of the messages of msgspec's errors.
_LOCATION_PATTERN = re.compile(r" - at `\$\.?(.*)`\Z")
_UNKNOWN_PATTERN = re.compile(r"unknown field `(.*)`")
_MISSING_PATTERN = re.compile(r"missing required field `(.*)`")


def load_configuration(text: str) -> Configuration:
    """Returns the configuration that a YAML text holds.

    Only types are checked here; `validate` checks the rules.

    Args:
      text: YAML with the optional keys services, routes, classes and moves.
        A move's deadline is an ISO 8601 time in UTC or a number of seconds
        since the epoch.

    Raises:
      ConfigurationError: The text is not YAML, or has a wrong key or type.
    """
    data = parse_yaml(text)
    if data is None:
        return Configuration()
    _require_mapping("configuration", data)
    tables = {}
    for kind, objects in data.items():
        if kind not in OBJECT_TYPES:
            raise ConfigurationError(
                str(kind), objects, ", ".join(OBJECT_TYPES)
            )
        tables[kind] = _load_kind(kind, {} if objects is None else objects)
    return Configuration(**tables)


def dump_configuration(configuration: Configuration) -> str:
    """Returns YAML that `load_configuration` reads back to the same value."""
    data = msgspec.to_builtins(configuration)
    for move in data["moves"].values():
        move["deadline"] = _dump_deadline(move["deadline"])
    # With allow_unicode, PyYAML writes U+0085 unescaped and reads it back as a
    # line break.
    return yaml.safe_dump(data, sort_keys=True, allow_unicode=False)


def _require_mapping(path: str, data: object) -> None:
    if not isinstance(data, dict):
        raise ConfigurationError(path, data, "a mapping")


def _load_kind(kind: str, objects: Any) -> dict[str, Any]:
    _require_mapping(kind, objects)
    result = {}
    for name, value in objects.items():
        if not isinstance(name, str):
            raise ConfigurationError(kind, name, "names in quotes")
        path = f"{kind}.{name}"
        _require_mapping(path, value)
        if kind == "moves" and isinstance(value.get("deadline"), str):
            value = {**value, "deadline": _load_deadline(path, value)}
        result[name] = _load_object(path, OBJECT_TYPES[kind], value)
    return result


def _load_deadline(path: str, value: dict[str, Any]) -> float:
    text = value["deadline"]
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        time = None
    if time is None or time.utcoffset() != datetime.timedelta(0):
        raise ConfigurationError(f"{path}.deadline", text, DEADLINE_FORM)
    return time.timestamp()


def _dump_deadline(deadline: float) -> str | float:
    if not deadline.is_integer() or not 0 <= deadline < 2**35:
        return deadline
    time = datetime.datetime.fromtimestamp(deadline, datetime.UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def _load_object(path: str, struct_type: Any, value: dict[str, Any]) -> Any:
    try:
        return msgspec.convert(value, struct_type, strict=True)
    except msgspec.ValidationError as error:
        raise _configuration_error(
            path, struct_type, value, str(error)
        ) from error


def _configuration_error(
    path: str, struct_type: Any, value: dict[str, Any], message: str
) -> ConfigurationError:
    """Converts an error message of msgspec, which lacks the value."""
    if unknown := _UNKNOWN_PATTERN.search(message):
        field = unknown[1]
        allowed = ", ".join(struct_type.__struct_fields__)
        return ConfigurationError(
            f"{path}.{field}", value.get(field), f"the keys {allowed}"
        )
    if missing := _MISSING_PATTERN.search(message):
        return ConfigurationError(f"{path}.{missing[1]}", None, "a value")
    location = _LOCATION_PATTERN.search(message)
    allowed = _LOCATION_PATTERN.sub("", message)
    if location is None or "`key`" in message:
        return ConfigurationError(path, value, allowed)
    invalid_value: Any = value
    for field, index in re.findall(r"(\w+)|\[(\d+)\]", location[1]):
        invalid_value = (
            invalid_value[field] if field else invalid_value[int(index)]
        )
    return ConfigurationError(f"{path}.{location[1]}", invalid_value, allowed)
