"""Limits on the responses that a node accepts."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseLimits:
    """Limits on one response and on all that a process receives at once.

    A faulty server may send bytes without end. The process keeps a response
    up to four times: as received, copied, as a frame and in a send buffer.

    Attributes:
      head_bytes: Largest status line and header section.
      fields: Largest number of header and trailer fields.
      body_bytes: Largest body.
      interim_responses: Most 1xx responses before the final one.
      total_bytes: Most body bytes of all responses being received.
    """

    head_bytes: int = 65_536
    fields: int = 128
    body_bytes: int = 4_194_304
    interim_responses: int = 8
    total_bytes: int = 16_777_216
