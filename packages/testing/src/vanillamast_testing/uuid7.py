"""UUID version 7 (RFC 9562), which Python 3.11 does not have."""

import random
import uuid

RANDOM_BITS = 74
VARIANT_SHIFT = 62


def uuid7(wall: float, rng: random.Random) -> uuid.UUID:
    """Returns a UUID whose first 48 bits are the time.

    Args:
      wall: Wall time in seconds since the epoch.
      rng: Source of the other bits.
    """
    milliseconds = int(wall * 1000) & (1 << 48) - 1
    bits = rng.getrandbits(RANDOM_BITS)
    high, low = bits >> VARIANT_SHIFT, bits & (1 << VARIANT_SHIFT) - 1
    value = milliseconds << 80 | 0x7 << 76 | high << 64
    return uuid.UUID(int=value | 0b10 << VARIANT_SHIFT | low)
