"""Errors of the journal."""

from vanillamast_core.errors import VanillamastError


class GapError(VanillamastError):
    """An entry was offered before the ones that precede it.

    Attributes:
      expected: Offset of the entry that comes next.
      offered: Offset of the entry that was offered.
    """

    def __init__(self, expected: int, offered: int):
        super().__init__(f"entry {offered} offered, {expected} comes next")
        self.expected = expected
        self.offered = offered


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
