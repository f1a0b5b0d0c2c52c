"""Reads YAML into typed models, with errors that name key and value."""

import re
import typing
from typing import Any, TypeVar

import msgspec
import yaml

from vanillamast_core.errors import VanillamastError

T = TypeVar("T")

LOCATION_PATTERN = re.compile(r" - at `(?:key in )?\$(?P<path>[^`]*)`$")
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `(?P<name>[^`]*)`")
MISSING_FIELD_PATTERN = re.compile(r"missing required field `(?P<name>[^`]*)`")
MAX_VALUE_LENGTH = 60

Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class CheckedYamlError(VanillamastError):
    """A text is not YAML, or does not fit the model.

    Attributes:
      key: Dotted path of the key, "" for the whole text.
      value: The invalid value, truncated.
      allowed: Description of the allowed values.
    """

    def __init__(self, key: str, value: str, allowed: str):
        location = f"{key}: " if key else ""
        super().__init__(f"{location}{value}; allowed: {allowed}")
        self.key = key
        self.value = value
        self.allowed = allowed


def parse_checked(text: str, model: type[T]) -> T:
    """Reads a YAML text into a msgspec model.

    Args:
      text: YAML text.
      model: Type of the result; unknown keys are rejected if the type forbids
        them.

    Raises:
      CheckedYamlError: The text is not YAML or does not fit the model.
    """
    try:
        raw = yaml.load(text, Loader=Loader)
    except yaml.YAMLError as error:
        message = " ".join(str(error).split())
        raise CheckedYamlError("", message, "YAML") from error
    try:
        return msgspec.convert(raw, model)
    except msgspec.ValidationError as error:
        raise convert_error(str(error), raw, model) from error


def convert_error(message: str, raw: Any, model: type) -> CheckedYamlError:
    """Converts msgspec's message to an error with key and allowed values."""
    match = LOCATION_PATTERN.search(message)
    path = split_path(match["path"]) if match else []
    description = LOCATION_PATTERN.sub("", message)
    if unknown := UNKNOWN_FIELD_PATTERN.search(description):
        key = ".".join([*path, unknown["name"]])
        return CheckedYamlError(key, "unknown key", field_names(model, path))
    if missing := MISSING_FIELD_PATTERN.search(description):
        key = ".".join([*path, missing["name"]])
        return CheckedYamlError(key, "missing", "a value is required")
    value = truncate(repr(value_at(raw, path)))
    return CheckedYamlError(".".join(path), value, expected_text(description))


def split_path(path: str) -> list[str]:
    """Splits msgspec's path, such as ".listen.callers" or ".seeds[0]"."""
    return [part for part in re.split(r"[.\[\]]+", path) if part]


def value_at(raw: Any, path: list[str]) -> Any:
    """Returns the value at a path, or the innermost value that exists."""
    for part in path:
        if isinstance(raw, dict) and part in raw:
            raw = raw[part]
        elif isinstance(raw, list) and part.isdigit():
            raw = raw[int(part)]
    return raw


def field_names(model: Any, path: list[str]) -> str:
    """Returns the comma-separated field names of the struct at a path."""
    for part in path:
        model = child_type(model, part)
    fields = getattr(model, "__struct_fields__", ())
    return ", ".join(fields) or "no such key"


def child_type(model: Any, part: str) -> Any:
    """Returns the type of a field, or of an item of a dict or list."""
    if hasattr(model, "__struct_fields__"):
        return typing.get_type_hints(model).get(part)
    arguments = typing.get_args(model)
    return arguments[-1] if arguments else None


def expected_text(description: str) -> str:
    """Returns what msgspec expected, in lower case and without "got"."""
    expected = description.removeprefix("Expected ").split(", got ")[0]
    return expected.replace("`", "")


def truncate(text: str) -> str:
    """Truncates a long value."""
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + "..."
