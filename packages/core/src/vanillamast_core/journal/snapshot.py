"""Encoding of snapshots, and their parts in the log."""

import hashlib
from typing import Any

import msgspec

from vanillamast_core.errors import CodecError
from vanillamast_core.journal.log_entry import LogEntry
from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.record import record_codec
from vanillamast_core.journal.records import SnapshotChunk

# To be raised when the meaning of a snapshot's bytes changes.
SNAPSHOT_FORMAT = 1
DIGEST_BYTES = 16


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """A state and its offset.

    Attributes:
      format: Format of the bytes.
      offset: Offset of the last entry that the state holds.
      state: The state.
    """

    format: int
    offset: int
    state: MeshState


# Keys are sorted, so that equal states have equal bytes.
_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode_snapshot(offset: int, state: MeshState) -> bytes:
    """Encodes a state; equal states at equal offsets give equal bytes."""
    return _encoder.encode(Snapshot(SNAPSHOT_FORMAT, offset, state))


def decode_snapshot(data: bytes) -> Snapshot:
    """Returns the snapshot that the bytes hold.

    Raises:
      CodecError: The bytes are malformed or of another format.
    """
    try:
        snapshot = _decoder.decode(data)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise CodecError(f"snapshot: {error}") from error
    if snapshot.format != SNAPSHOT_FORMAT:
        raise CodecError(
            f"snapshot: format {snapshot.format} is not {SNAPSHOT_FORMAT}"
        )
    state = snapshot.state
    by_offset = sorted(state.outcomes.values(), key=lambda o: o.offset)
    state.outcomes = {outcome.id: outcome for outcome in by_offset}
    return snapshot


def snapshot_digest(data: bytes) -> bytes:
    """Returns the digest that identifies a snapshot's bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def split_snapshot(
    offset: int, data: bytes, chunk_bytes: int
) -> list[SnapshotChunk]:
    """Splits a snapshot into records.

    Their ids are derived from the content, so that two writers of one snapshot
    or a repeated append write the same records.
    """
    digest = snapshot_digest(data)
    count = -(-len(data) // chunk_bytes)
    return [
        SnapshotChunk(
            id=f"snapshot/{offset}/{index}/{digest.hex()}",
            based_on=offset,
            offset=offset,
            index=index,
            count=count,
            data=data[index * chunk_bytes : (index + 1) * chunk_bytes],
            digest=digest,
        )
        for index in range(count)
    ]


def strip_chunk_data(entry: LogEntry, record: Any) -> LogEntry:
    """Returns an entry without the data of a snapshot's part.

    Nodes store and forward it in this form, since they have the state itself.
    """
    if not isinstance(record, SnapshotChunk) or not record.data:
        return entry
    stripped = msgspec.structs.replace(record, data=b"")
    return LogEntry(entry.offset, record_codec.encode(stripped))
