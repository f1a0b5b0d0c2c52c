"""Failure domains that the operator has evacuated."""

from collections.abc import Iterable

from vanillamast_sidecar.operator_state.evacuation import Evacuation


class Evacuations:
    """Keeps the newest record of each failure domain.

    Withdrawn evacuations are kept as well, so that an older record that
    arrives later from another node does not bring one back.

    Attributes:
      records: Newest record by failure domain.
      read_to: Era and offset up to which the operator's stream is known.
        Older records are outdated even if they are the only ones of their
        failure domain: the store does not list withdrawn evacuations.
    """

    def __init__(self) -> None:
        self.records: dict[str, Evacuation] = {}
        self.read_to = (0, 0)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether servers of a failure domain get no requests."""
        record = self.records.get(failure_domain)
        return record is not None and record.active

    def count_evacuated(self) -> int:
        """Returns the number of evacuated failure domains."""
        return sum(record.active for record in self.records.values())

    def apply(self, records: Iterable[Evacuation]) -> list[Evacuation]:
        """Applies records in any order; returns those that were new."""
        new: dict[str, Evacuation] = {}
        for record in records:
            known = self.records.get(record.failure_domain)
            if record.position < self.read_to:
                continue
            if known is None or record.position > known.position:
                self.records[record.failure_domain] = record
                new[record.failure_domain] = record
        return list(new.values())

    def apply_read(
        self, records: Iterable[Evacuation], era: int, next_offset: int
    ) -> list[Evacuation]:
        """Applies the records from the last read on up to an offset.

        Returns:
          The records that were new.
        """
        new = self.apply(records)
        self.read_to = max(self.read_to, (era, next_offset))
        return new

    def apply_complete(
        self, records: Iterable[Evacuation], era: int, next_offset: int
    ) -> list[Evacuation]:
        """Applies the whole state at an offset, of the store or another node.

        A failure domain without a record there is not evacuated, unless its
        known record is newer than the read.

        Args:
          records: The newest record of each failure domain.
          era: Era of the store.
          next_offset: Offset up to which the records are complete.

        Returns:
          The records that were new.
        """
        records = list(records)
        listed = {record.failure_domain for record in records}
        withdrawn = [
            Evacuation(domain, False, next_offset - 1, era)
            for domain, known in self.records.items()
            if domain not in listed and known.active
        ]
        return self.apply_read([*records, *withdrawn], era, next_offset)

    def to_list(self) -> list[Evacuation]:
        """Returns the records, ordered by failure domain."""
        return [self.records[domain] for domain in sorted(self.records)]
