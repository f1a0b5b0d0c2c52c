"""Reads the creation time of a UUIDv7 idempotency key."""

import uuid

_UUID_LENGTH = 36
_UUIDV7 = 7


def read_uuid7_time(key: str) -> float | None:
    """Returns when a key was created.

    Returns:
      Wall time in seconds since the epoch, None if the key is not a UUIDv7.
    """
    if len(key) != _UUID_LENGTH:
        return None
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != _UUIDV7:
        return None
    return (value.int >> 80) / 1000.0
