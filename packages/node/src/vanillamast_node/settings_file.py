"""Reads a node's settings file."""

import pathlib

from vanillamast_core.checked_yaml import CheckedYamlError, parse_checked

from vanillamast_node.settings import Settings
from vanillamast_node.settings_error import SettingsError


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Args:
      path: Path of a YAML file.

    Raises:
      SettingsError: The file is missing, unreadable or not valid; the message
        is one line with the file, the key, the value and what is allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "", str(error), "a readable file") from error
    try:
        return parse_checked(text, Settings)
    except CheckedYamlError as error:
        raise SettingsError(
            path, error.key, error.value, error.allowed
        ) from error
