"""The error for a log that does not suffice."""

from vanillamast_core.errors import VanillamastError


class RestoreError(VanillamastError):
    """Entries of the log do not suffice to rebuild the state.

    Attributes:
      missing: Offset of an entry that is needed and not there.
      snapshots: Offsets of the complete snapshots among the entries.
    """

    def __init__(self, missing: int, snapshots: list[int]):
        super().__init__(
            f"entry {missing} is missing and none of the complete snapshots "
            f"at {snapshots} closes the gap"
        )
        self.missing = missing
        self.snapshots = snapshots
