"""The error for an entry whose predecessors are missing."""

from vanillamast_core.errors import VanillamastError


class GapError(VanillamastError):
    """An entry cannot be applied because its predecessors are missing.

    Attributes:
      expected: Offset of the next entry.
      offered: Offset of the entry that cannot be applied.
    """

    def __init__(self, expected: int, offered: int):
        super().__init__(
            f"entry {offered} cannot be applied; the next entry is {expected}"
        )
        self.expected = expected
        self.offered = offered
