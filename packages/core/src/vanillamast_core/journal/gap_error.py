"""The error for an entry that comes too early."""

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
