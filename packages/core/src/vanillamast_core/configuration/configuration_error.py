"""The error for a configuration that cannot be read or changed."""

import reprlib

from vanillamast_core.errors import VanillamastError

# Nested YAML aliases can expand to data that is larger than the memory.
_short = reprlib.Repr()
_short.maxstring = _short.maxother = 120  # characters
_short.maxlevel = 2


class ConfigurationError(VanillamastError):
    """A configuration, or a change of one, is malformed.

    Attributes:
      path: Location, such as "routes.chapter.timeout_ms" or "line 3, column
        5".
      value: The invalid value.
      allowed: Description of the allowed values.
    """

    def __init__(self, path: str, value: object, allowed: str):
        super().__init__(f"{path}: {_short.repr(value)}; allowed: {allowed}")
        self.path = path
        self.value = value
        self.allowed = allowed
