"""What connections and requests cost the process, in bytes.

Payload says little: a header line of 4 bytes takes more than 150 bytes as
objects, and as much again while the request is passed on.
"""

import sys

from vanillamast_sidecar.http.body_room import BODY_COPIES, PROCESS_BYTES
from vanillamast_sidecar.http.http_message import Headers

# Transport, protocol, parser and timer.
CONNECTION_BYTES = 6_144
# Request, task, coroutines and what the first hop keeps of it.
REQUEST_BYTES = 6_144
# Name, value and their pair as received, and the line that is sent on.
FIELD_BYTES = 320
# Bytes of a header section: in the parser, as fields, encoded, being sent.
HEAD_COPIES = 4
# How often a call of another node holds a body: in the received frame, decoded,
# and a part of it in buffers.
CALL_BODY_COPIES = 2.25
# Bytes of a response: as received, encoded, being sent.
RESPONSE_COPIES = 3
# A small process can do with less memory of its own than PROCESS_BYTES.
MIN_ROOM_PART = 8


def get_memory_room(memory_bytes: int) -> int:
    """Returns what the clients of a process may cost it.

    Args:
      memory_bytes: Memory that the process may use; 0 if it is not limited.
    """
    if not memory_bytes:
        return sys.maxsize
    return max(memory_bytes - PROCESS_BYTES, memory_bytes // MIN_ROOM_PART)


def get_request_cost(fields: int, head_bytes: int, body_bytes: int) -> int:
    """Returns what a request costs.

    Args:
      fields: Number of its header and trailer fields.
      head_bytes: Bytes of its request line, header and trailer section.
      body_bytes: Bytes of its body.
    """
    return (
        REQUEST_BYTES
        + fields * FIELD_BYTES
        + head_bytes * HEAD_COPIES
        + int(body_bytes * BODY_COPIES)
    )


def get_call_cost(fields: int, head_bytes: int, body_bytes: int) -> int:
    """Returns what a request of another node costs.

    Args:
      fields: Number of its header fields.
      head_bytes: Bytes of everything but its body.
      body_bytes: Bytes of its body.
    """
    return (
        REQUEST_BYTES
        + fields * FIELD_BYTES
        + head_bytes * HEAD_COPIES
        + int(body_bytes * CALL_BODY_COPIES)
    )


def get_response_cost(headers: Headers, body_bytes: int) -> int:
    """Returns what a response costs until its client has read it."""
    head_bytes = sum(len(name) + len(value) for name, value in headers)
    return (
        len(headers) * FIELD_BYTES + (head_bytes + body_bytes) * RESPONSE_COPIES
    )
