"""Strict YAML parser for configurations that operators write."""

from typing import Any

import yaml

from vanillamast_core.configuration.configuration_error import (
    ConfigurationError,
)

# libyaml's parser is about ten times faster, but is not always available.
_SafeLoader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"
MERGE_TAG = "tag:yaml.org,2002:merge"


class StrictLoader(_SafeLoader):
    """A safe loader that rejects duplicate keys and keeps times as text.

    PyYAML silently keeps the last of two equal keys, which would drop a route,
    and turns a version such as 2026-12-04 into a date.
    """

    yaml_implicit_resolvers = {
        first: [pair for pair in pairs if pair[0] != TIMESTAMP_TAG]
        for first, pairs in _SafeLoader.yaml_implicit_resolvers.items()
    }

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        """Returns a mapping without duplicate keys."""
        if isinstance(node, yaml.MappingNode):
            self._check_keys(node)
        return super().construct_mapping(node, deep=deep)

    def _check_keys(self, node: Any) -> None:
        seen = set()
        for key_node, _ in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                continue
            if key_node.tag != MERGE_TAG and key_node.value in seen:
                raise ConfigurationError(
                    describe_position(key_node.start_mark),
                    key_node.value,
                    "each key once in a mapping",
                )
            seen.add(key_node.value)


def describe_position(mark: Any) -> str:
    """Returns the position of a parser mark, for error messages."""
    if mark is None:
        return "text"
    return f"line {mark.line + 1}, column {mark.column + 1}"


def parse_yaml(text: str) -> Any:
    """Returns the plain data that a YAML text holds.

    Raises:
      ConfigurationError: The text is not YAML, or has a duplicate key.
    """
    try:
        return yaml.load(text, Loader=StrictLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        raise ConfigurationError(
            describe_position(mark), error.problem or "", "well-formed YAML"
        ) from error
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise ConfigurationError(
            "text", str(error), "well-formed YAML"
        ) from error
