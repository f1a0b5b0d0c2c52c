"""The error of an invalid settings file."""

from vanillamast_core import VanillamastError


class SettingsError(VanillamastError):
    """A settings file is missing, unreadable or invalid.

    Attributes:
      path: Path of the file.
      key: Dotted path of the key, "" for the whole file.
      value: The value found.
      allowed: The values that are allowed.
    """

    def __init__(self, path: str, key: str, value: str, allowed: str):
        place = f"{path}: {key}" if key else path
        super().__init__(f"{place}: {value}; allowed: {allowed}")
        self.path = path
        self.key = key
        self.value = value
        self.allowed = allowed
