"""State kept between the commands of one prompt."""

import dataclasses


@dataclasses.dataclass(slots=True)
class OperatorSession:
    """State of one prompt.

    Attributes:
      seen_offset: Offset of the state that was shown last, 0 for none.
      preferred_index: Index of the node that answered last. It is tried first,
        because another node may still have an older state.
    """

    seen_offset: int = 0
    preferred_index: int = 0
