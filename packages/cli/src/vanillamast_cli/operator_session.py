"""What stays between the commands of one prompt."""

import dataclasses


@dataclasses.dataclass(slots=True)
class OperatorSession:
    """State of a prompt.

    Attributes:
      seen_offset: Offset of the state that was shown last, 0 for none.
      preferred_index: Index of the node that answered last. Staying with it
        keeps what the operator sees from going back in time.
    """

    seen_offset: int = 0
    preferred_index: int = 0
