"""Failure domains that the operator has evacuated."""

from collections.abc import Iterable

from vanillamast_sidecar.operator_state.evacuation import Evacuation


class Evacuations:
    """Keeps the newest record of each failure domain.

    Withdrawn evacuations are kept as well, so that an older record that
    arrives later from another node does not bring one back.

    Attributes:
      records: Newest record by failure domain.
    """

    def __init__(self) -> None:
        self.records: dict[str, Evacuation] = {}

    def is_evacuated(self, failure_domain: str) -> bool:
        """Returns whether servers of a failure domain get no requests."""
        record = self.records.get(failure_domain)
        return record is not None and record.active

    def apply(self, records: Iterable[Evacuation]) -> list[Evacuation]:
        """Applies records in any order; returns those that were new."""
        new: dict[str, Evacuation] = {}
        for record in records:
            known = self.records.get(record.failure_domain)
            if known is None or record.position > known.position:
                self.records[record.failure_domain] = record
                new[record.failure_domain] = record
        return list(new.values())

    def apply_complete(
        self, records: Iterable[Evacuation], era: int, next_offset: int
    ) -> list[Evacuation]:
        """Applies a complete read of the operator's state.

        A failure domain without a record there is not evacuated, unless its
        known record is newer than the read.

        Args:
          records: The newest record of each failure domain.
          era: Era of the store.
          next_offset: Offset up to which the read is complete.

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
        return self.apply([*records, *withdrawn])

    def to_list(self) -> list[Evacuation]:
        """Returns the records, ordered by failure domain."""
        return [self.records[domain] for domain in sorted(self.records)]
