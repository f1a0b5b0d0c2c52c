"""Settings of the peer overlay."""

from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Bytes = Annotated[int, msgspec.Meta(ge=256, le=67_108_864)]


class PeerSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Timeouts, limits and degrees of the peer overlay.

    Attributes:
      tick_s: Interval at which the caller calls `Mesh.tick`.
      heartbeat_s: Interval of heartbeats on each link.
      hello_timeout_s: A link without Hello for this long is closed.
      dial_timeout_s: A dial without an answer for this long has failed.
      silence_s: A link without messages for this long is closed.
      suspicion_s: Time that a suspected instance has to refute the suspicion.
      agreed_suspicion_s: The same once enough instances suspect it.
      agreeing_watchers: Suspecting instances needed for
        `agreed_suspicion_s`.
      late_tick_s: A tick delayed by more than this marks the node impaired.
      impaired_s: Time for which an impaired node doubles its timeouts.
      link_loss_window_s: Links lost within this time count as lost at once.
      dead_retention_s: Time for which records of dead instances are kept.
      avoid_s: Time for which an instance is not dialed that refuted this
        node's suspicion but is unreachable from here.
      redial_base_s: Base of the exponential backoff of dials and catch-up
        requests, which has full jitter.
      redial_cap_s: Upper limit of the same backoff.
      unwanted_grace_s: An unneeded link is closed after this time.
      rejoin_rate: Probes per second of seeds and dead instances, for each
        failure domain in total.
      rejoin_min_s: Shortest interval of such probes of one node.
      max_links: Accepted links above this number are refused.
      readers_per_domain: Log readers in each failure domain.
      reader_grace_s: A node that starts alone reads the log after this time.
      graft_delay_s: Time to wait for a push before requesting an entry.
      request_timeout_s: A catch-up request without progress is repeated
        with another peer after this time.
      tail_bytes: Most entry bytes that answer one catch-up request.
      frame_bytes: Payload after which a message is split.
      snapshot_chunk_bytes: Payload of one snapshot chunk.
      snapshot_chunks_per_tick: Chunks sent to one peer in one tick.
      snapshots_served: Snapshots served concurrently.
      snapshot_timeout_s: A served snapshot's slot is freed after this time.
      pending_entries: Most entries kept while they wait for an earlier one.
      digest_mismatches: Heartbeats with a different, stable digest after
        which the directory is repaired.
      repair_interval_s: Shortest interval of repairs that a node starts.
      evidence_interval_s: Interval at which evidence is sent to the parent.
      evidence_fan_in: Children of one node in the evidence tree.
      evidence_cells: Cells kept for the next send; the oldest are dropped.
      on_demand_link_s: Time for which an on-demand link is kept after use.
    """

    tick_s: Seconds = 0.25
    heartbeat_s: Seconds = 2.0
    hello_timeout_s: Seconds = 3.0
    dial_timeout_s: Seconds = 5.0
    silence_s: Seconds = 6.0
    suspicion_s: Seconds = 4.0
    agreed_suspicion_s: Seconds = 2.0
    agreeing_watchers: Count = 3
    late_tick_s: Seconds = 1.0
    impaired_s: Seconds = 10.0
    link_loss_window_s: Seconds = 1.0
    dead_retention_s: Seconds = 300.0
    avoid_s: Seconds = 60.0
    redial_base_s: Seconds = 0.2
    redial_cap_s: Seconds = 5.0
    unwanted_grace_s: Seconds = 3.0
    rejoin_rate: Seconds = 2.0
    rejoin_min_s: Seconds = 1.0
    max_links: Count = 32
    readers_per_domain: Count = 2
    reader_grace_s: Seconds = 3.0
    graft_delay_s: Seconds = 0.5
    request_timeout_s: Seconds = 2.0
    tail_bytes: Bytes = 262_144
    frame_bytes: Bytes = 16_384
    snapshot_chunk_bytes: Bytes = 16_384
    snapshot_chunks_per_tick: Count = 16
    snapshots_served: Count = 2
    snapshot_timeout_s: Seconds = 10.0
    pending_entries: Count = 2048
    digest_mismatches: Count = 2
    repair_interval_s: Seconds = 1.0
    evidence_interval_s: Seconds = 2.0
    evidence_fan_in: Count = 8
    evidence_cells: Count = 2048
    on_demand_link_s: Seconds = 30.0
