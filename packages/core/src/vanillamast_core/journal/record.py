"""Base of the records in the platform's log, and their codec."""

import msgspec

from vanillamast_core.registry import Registry
from vanillamast_core.union_codec import UnionCodec


class Record(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One record of the platform's log.

    Surplus fields make a record unreadable: skipping them would let the
    result depend on the depth of the decoder's stack.

    Attributes:
      id: Chosen by the appender (UUID). An id that is repeated, because the
        answer to an append was lost, counts once.
      based_on: Offset of the state that the record was decided on.
    """

    id: str
    based_on: int


record_kinds: Registry[type[Record]] = Registry("record kind")
record_codec: UnionCodec[Record] = UnionCodec(record_kinds)
