"""Where a node's settings come from."""

from typing import Protocol

from vanillamast_sidecar.settings import SidecarSettings


class SettingsSource(Protocol):
    """Reads settings that may change while the node runs."""

    def load(self) -> SidecarSettings:
        """Returns the settings.

        Raises:
          InvalidSettingsError: They cannot be read or used.
        """
        ...

    def fingerprint(self) -> object:
        """Returns a value that differs after each change of the settings."""
        ...
