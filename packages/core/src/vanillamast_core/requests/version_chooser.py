"""Interface for the choice between the two server versions of a move."""

import random
from collections.abc import Callable
from typing import Protocol


class VersionChooser(Protocol):
    """Chooses the new version for its authorized share of the requests."""

    def choose(self) -> bool:
        """Returns whether the next request goes to the new version."""


SplitFactory = Callable[[float, random.Random], VersionChooser]
