"""Base of the messages between nodes, and their codec."""

import msgspec

from vanillamast_core.registry import Registry
from vanillamast_core.union_codec import UnionCodec


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message between two nodes."""


message_kinds: Registry[type[Message]] = Registry("message kind")
message_codec: UnionCodec[Message] = UnionCodec(message_kinds)
