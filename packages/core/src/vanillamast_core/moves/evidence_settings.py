"""Settings of the collection of evidence."""

import msgspec


class EvidenceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the evidence that one node collects and sends.

    Attributes:
      bucket_s: Length of a bucket of wall time.
      max_instances: Instances of the new version that cells name for each
        move; the others share one cell.
      max_bins: Latency bins of one cell.
      max_drain_bytes: Encoded size of the cells of one drain; 1 KB every 2 s
        is the 0.5 KB/s that evidence may use.
      max_cells: Cells that the window holds before it drops observations.
    """

    bucket_s: float = 2.0
    max_instances: int = 8
    max_bins: int = 24
    max_drain_bytes: int = 1000
    max_cells: int = 2048
