"""The error for a log from which the state cannot be restored."""

from vanillamast_core.errors import VanillamastError


class RestoreError(VanillamastError):
    """The entries of the log are not sufficient to rebuild the state.

    Attributes:
      missing: Offset of a required entry that is missing.
      snapshots: Offsets of the complete snapshots among the entries.
    """

    def __init__(self, missing: int, snapshots: list[int]):
        super().__init__(
            f"entry {missing} is missing and none of the complete snapshots "
            f"at {snapshots} closes the gap"
        )
        self.missing = missing
        self.snapshots = snapshots
