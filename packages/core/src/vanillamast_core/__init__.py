"""Pure decisions, models and wire messages of vanillamast.

Nothing in this package opens a socket, reads a clock or uses global
randomness: callers pass the time and a random source.
"""

from vanillamast_core.announcement import Announcement
from vanillamast_core.errors import (
    CodecError,
    DuplicateEntryError,
    UnknownEntryError,
    VanillamastError,
)
from vanillamast_core.registry import Registry
from vanillamast_core.server_state import ServerState
from vanillamast_core.union_codec import UnionCodec

__all__ = [
    "Announcement",
    "CodecError",
    "DuplicateEntryError",
    "Registry",
    "ServerState",
    "UnionCodec",
    "UnknownEntryError",
    "VanillamastError",
]
