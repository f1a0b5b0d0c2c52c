"""One partition of the emulated store."""

import dataclasses

DEDUPLICATED_APPENDS = 5  # Repeats of a producer's last appends have no effect.


@dataclasses.dataclass
class Producer:
    """The state that the store keeps for a producer.

    Attributes:
      epoch: Highest epoch seen.
      sequence: Last sequence number, -1 before the first append.
      offsets: Offsets of the last appends by sequence number.
    """

    epoch: int
    sequence: int = -1
    offsets: dict[int, int] = dataclasses.field(default_factory=dict)


class FencedError(Exception):
    """The producer's epoch is lower than one already seen."""


class SequenceError(Exception):
    """The sequence number does not follow the previous one.

    Attributes:
      expected: The number that would follow.
    """

    def __init__(self, expected: int):
        super().__init__(str(expected))
        self.expected = expected


class OffsetError(Exception):
    """The partition does not end at the offset that the append names."""


class Partition:
    """Records with offsets, and the newest record of each key.

    Attributes:
      keyed: Whether records have keys.
      first_offset: Offset of the oldest record.
      records: Retained records, the oldest first.
      newest: Newest value of each key with its offset; not affected by
        trimming.
      producers: Producers by id.
    """

    def __init__(self, keyed: bool):
        self.keyed = keyed
        self.first_offset = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, Producer] = {}

    @property
    def end_offset(self) -> int:
        """The offset that the next record gets."""
        return self.first_offset + len(self.records)

    def append(self, records: list[bytes], at: int | None = None) -> int:
        """Appends records; returns the offset of the first.

        Raises:
          OffsetError: The partition does not end at `at`.
        """
        if at is not None and at != self.end_offset:
            raise OffsetError
        offset = self.end_offset
        for record in records:
            if self.keyed:
                self._index_record(record)
            self.records.append(record)
        return offset

    def append_fenced(
        self, producer_id: str, epoch: int, sequence: int, records: list[bytes]
    ) -> int:
        """Appends for a producer; returns the offset of the first record.

        Raises:
          FencedError: The store has seen a higher epoch of this producer.
          SequenceError: The sequence number does not follow the previous one.
        """
        producer = self.producers.get(producer_id)
        if producer is None or epoch > producer.epoch:
            producer = Producer(epoch, sequence - 1)
            self.producers[producer_id] = producer
        if epoch < producer.epoch:
            raise FencedError
        if not records:
            return self.end_offset
        if sequence in producer.offsets:
            return producer.offsets[sequence]
        if sequence != producer.sequence + 1:
            raise SequenceError(producer.sequence + 1)
        offset = self.append(records)
        producer.sequence = sequence
        producer.offsets[sequence] = offset
        for old in sorted(producer.offsets)[:-DEDUPLICATED_APPENDS]:
            del producer.offsets[old]
        return offset

    def trim(self, before: int) -> None:
        """Deletes the records before an offset."""
        count = min(max(0, before - self.first_offset), len(self.records))
        del self.records[:count]
        self.first_offset += count

    def _index_record(self, record: bytes) -> None:
        length = record[0]
        key = record[1 : 1 + length].decode()
        value = record[1 + length :]
        if value:
            self.newest[key] = (value, self.end_offset)
        else:
            self.newest.pop(key, None)
