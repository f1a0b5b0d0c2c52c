"""The error for a configuration that cannot be read or changed."""

from vanillamast_core.errors import VanillamastError


class ConfigurationError(VanillamastError):
    """A configuration, or a change of one, is malformed.

    Attributes:
      path: Where, such as "routes.chapter.timeout_ms" or "line 3, column 5".
      value: What stands there.
      allowed: What may stand there.
    """

    def __init__(self, path: str, value: object, allowed: str):
        super().__init__(f"{path}: {value!r}; allowed: {allowed}")
        self.path = path
        self.value = value
        self.allowed = allowed
