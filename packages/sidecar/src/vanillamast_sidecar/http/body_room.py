"""How many bytes of long request bodies a process may hold."""

import sys

# What a process uses besides the bodies of callers.
PROCESS_BYTES = 60 << 20
# How often a body is held at most: as received, as a frame, as the bytes of a
# compressed stream, and a part of it in buffers.
BODY_COPIES = 3.5


def get_body_room(memory_bytes: int) -> int:
    """Returns the bytes of bodies for which the memory suffices.

    Args:
      memory_bytes: Memory that the process may use; 0 if it is not limited.
    """
    if not memory_bytes:
        return sys.maxsize
    return int(max(0, memory_bytes - PROCESS_BYTES) / BODY_COPIES)
