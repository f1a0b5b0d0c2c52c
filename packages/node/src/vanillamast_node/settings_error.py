"""Error of a settings file."""

from vanillamast_core import VanillamastError


class SettingsError(VanillamastError):
    """A settings file that a node cannot start from.

    Attributes:
      path: Path of the file.
      key: Dotted path of the key, "" for the whole file.
      value: What stands there.
      allowed: What may stand there.
    """

    def __init__(self, path: str, key: str, value: str, allowed: str):
        place = f"{path}: {key}" if key else path
        super().__init__(f"{place}: {value}; allowed: {allowed}")
        self.path = path
        self.key = key
        self.value = value
        self.allowed = allowed
