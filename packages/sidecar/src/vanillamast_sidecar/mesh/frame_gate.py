"""Decides which frames of a connection are taken in."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True, frozen=True)
class CallSize:
    """Size of a call that has arrived and is not decoded yet.

    Attributes:
      id: Id of the call.
      fields: Number of its header fields.
      head_bytes: Bytes of everything but the body.
      body_bytes: Bytes of the body, including one that follows with the
        confirmation.
    """

    id: int
    fields: int
    head_bytes: int
    body_bytes: int


class FrameGate(Protocol):
    """Takes memory for what arrives on a connection."""

    def admit_frame(self, tag: int, call_id: int, length: int) -> bool:
        """Returns whether a long frame is read; if not, it is skipped.

        Args:
          tag: Tag of its message.
          call_id: Id of the call that the message is about, -1 without one.
          length: Length of the frame.
        """

    def admit_call(self, size: CallSize) -> bool:
        """Returns whether a call is decoded; if not, it is dropped."""
