"""The start of an encoded message: its kind and id."""

import struct

from vanillamast_sidecar.errors import FrameError

# Array header, tag and an id of up to 64 bits.
PREFIX_BYTES = 13
# First bytes of msgpack values.
FIX_ARRAY, FIX_ARRAY_END = 0x90, 0xA0
ARRAY_16, ARRAY_32 = 0xDC, 0xDD
MAX_FIX_INT = 0x7F
UNSIGNED = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q"}


def read_prefix(data: bytes | bytearray | memoryview) -> tuple[int, int]:
    """Returns the tag of a message and its second element if that is a number.

    Messages about calls have the id of the call there.

    Args:
      data: At least the first `PREFIX_BYTES` of the message.

    Raises:
      FrameError: The bytes do not start a message.
    """
    _, position = read_array_size(data)
    tag = data[position]
    if tag > MAX_FIX_INT:
        raise FrameError(f"a message with the tag {tag}")
    first = data[position + 1]
    if first <= MAX_FIX_INT:
        return tag, first
    code = UNSIGNED.get(first)
    if code is None:
        return tag, -1
    (number,) = struct.unpack_from(code, data, position + 2)
    return tag, number


def read_array_size(
    data: bytes | bytearray | memoryview,
) -> tuple[int, int]:
    """Returns how many elements an array has and where the first one begins.

    Raises:
      FrameError: The bytes do not start an array.
    """
    first = data[0] if len(data) else 0
    if FIX_ARRAY <= first < FIX_ARRAY_END:
        return first - FIX_ARRAY, 1
    try:
        if first == ARRAY_16:
            return struct.unpack_from(">H", data, 1)[0], 3
        if first == ARRAY_32:
            return struct.unpack_from(">I", data, 1)[0], 5
    except struct.error as error:
        raise FrameError(str(error)) from error
    raise FrameError("the bytes are no array")
