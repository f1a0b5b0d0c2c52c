"""The error for an entry whose predecessors are missing."""

from vanillamast_core.errors import VanillamastError


class GapError(VanillamastError):
    """An entry was applied before its predecessors.

    Attributes:
      expected: Offset of the next entry.
      offered: Offset of the entry that was applied.
    """

    def __init__(self, expected: int, offered: int):
        super().__init__(f"entry {offered} offered, {expected} comes next")
        self.expected = expected
        self.offered = offered
