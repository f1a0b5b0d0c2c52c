"""An entry of the platform's log."""

import msgspec


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """An encoded record and its offset; offsets start at 1, without gaps."""

    offset: int
    data: bytes
