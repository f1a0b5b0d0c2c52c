"""Interface of the source of a node's settings."""

from typing import Protocol

from vanillamast_sidecar.settings import SidecarSettings


class SettingsSource(Protocol):
    """Reads settings that may change while the node runs."""

    def load(self) -> SidecarSettings:
        """Returns the settings.

        Raises:
          InvalidSettingsError: The settings cannot be read or are invalid.
        """
        ...

    def fingerprint(self) -> object:
        """Returns a value that changes with every change of the settings."""
        ...
