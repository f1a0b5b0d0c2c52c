"""Settings of the platform log's stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformLogSettings:
    """How the stand-in behaves while no fault is set.

    Attributes:
      retain_count: Records that are kept at most.
      retain_s: Seconds for which a record is kept.
      appends_per_s: Appends that are accepted in a second, as a burst too.
      max_wait_s: Longest long poll, in seconds.
      max_record_bytes: Largest record.
    """

    retain_count: int = 100_000
    retain_s: float = 3600.0
    appends_per_s: float = 300.0
    max_wait_s: float = 30.0
    max_record_bytes: int = 65_536
