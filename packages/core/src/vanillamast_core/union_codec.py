"""MessagePack codec for a registry of tagged structs."""

from typing import Any, Generic, TypeVar, Union

import msgspec

from vanillamast_core.errors import CodecError
from vanillamast_core.registry import Registry

S = TypeVar("S", bound=msgspec.Struct)


class UnionCodec(Generic[S]):
    """Encodes and decodes any struct of a registry.

    The decoder is built at the first use, after all modules that register
    kinds have been imported.

    Attributes:
      kinds: The registry of struct types; each has its own integer tag.
    """

    def __init__(self, kinds: Registry[type[S]]):
        self.kinds = kinds
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Any] | None = None

    def encode(self, value: S) -> bytes:
        """Returns the MessagePack encoding of a registered struct."""
        return self._encoder.encode(value)

    def decode(self, data: bytes) -> S:
        """Returns the struct that the bytes hold.

        Raises:
          CodecError: The bytes are malformed or of an unknown kind.
        """
        if self._decoder is None:
            types = tuple(self.kinds.entries.values())
            self._decoder = msgspec.msgpack.Decoder(Union[types])  # noqa: UP007
        try:
            return self._decoder.decode(data)
        except (
            msgspec.MsgspecError,
            UnicodeDecodeError,
            RecursionError,  # Arrays nested deeper than the decoder's stack.
        ) as error:
            raise CodecError(f"{self.kinds.subject}: {error}") from error

    def decode_or_none(self, data: bytes) -> S | None:
        """Returns the struct that the bytes hold, None on a CodecError."""
        try:
            return self.decode(data)
        except CodecError:
            return None
