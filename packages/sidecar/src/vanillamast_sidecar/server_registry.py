"""Which backend server runs beside the node."""

import msgspec

from vanillamast_sidecar.heartbeat import Heartbeat
from vanillamast_sidecar.instance_record import InstanceRecord

# Heartbeats that may be missing before the server counts as down; a single
# one may come seconds late.
MISSED_HEARTBEATS = 4.0


class ServerRegistry:
    """Orders heartbeats, leaves and crashes of the server on the machine.

    A leave sticks to the incarnation: a late heartbeat cannot undo it. Newer
    incarnations replace older ones, whatever arrives first.

    Attributes:
      heartbeat_s: Interval of heartbeats, in seconds.
      current: The newest incarnation, None before the first heartbeat.
      last_heartbeat_at: When its last heartbeat arrived, in loop time.
      cold_until: When it is warm, in loop time.
      down: Whether it refused a connection or fell silent since then.
      left: Incarnations that have left.
      left_before: Ids that have left without naming their incarnation, and
        when, in Unix milliseconds; later incarnations are others.
    """

    def __init__(self, heartbeat_s: float):
        self.heartbeat_s = heartbeat_s
        self.current: InstanceRecord | None = None
        self.last_heartbeat_at = 0.0
        self.cold_until = 0.0
        self.down = False
        self.left: set[tuple[str, int]] = set()
        self.left_before: dict[str, int] = {}

    def handle_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Takes a heartbeat; returns whether the server's state changed."""
        if beat.draining:
            self.left.add((beat.id, beat.born_ms))
        known = self.current
        if known is not None and beat.born_ms < known.born_ms:
            return False
        same = self._is_current(beat.id, beat.born_ms)
        if known is not None and same and beat.sequence <= known.sequence:
            return self._refresh()
        self.last_heartbeat_at = now
        self.down = False
        self.cold_until = now + max(0.0, beat.cold_s)
        self.current = self._record(beat)
        return known is None or _visible(known) != _visible(self.current)

    def handle_deregistration(
        self, instance_id: str, born_ms: int, wall_ms: int
    ) -> bool:
        """Takes a leave; returns whether the server's state changed.

        Args:
          instance_id: Id of the server.
          born_ms: Its incarnation; 0 if the server did not say.
          wall_ms: Time of day, in Unix milliseconds.
        """
        known = self.current
        if born_ms == 0 and known is not None and known.id == instance_id:
            born_ms = known.born_ms
        if born_ms == 0:
            self.left_before[instance_id] = wall_ms
        self.left.add((instance_id, born_ms))
        return self._refresh()

    def apply_peer_record(self, record: InstanceRecord) -> bool:
        """Takes what another node remembers; returns whether it matters.

        Only leaves are taken over: everything else the server says itself.
        """
        if not record.leaving:
            return False
        self.left.add((record.id, record.born_ms))
        return self._refresh()

    def mark_unreachable(self) -> bool:
        """Notes that the server refused a connection."""
        if self.down or self.current is None:
            return False
        self.down = True
        return self._refresh()

    def expire(self, now: float) -> bool:
        """Notes missing heartbeats; returns whether the state changed."""
        if self.current is None or self.down:
            return False
        if now - self.last_heartbeat_at < MISSED_HEARTBEATS * self.heartbeat_s:
            return False
        self.down = True
        return self._refresh()

    def _has_left(self, instance_id: str, born_ms: int) -> bool:
        if (instance_id, born_ms) in self.left:
            return True
        return born_ms <= self.left_before.get(instance_id, -1)

    def _is_current(self, instance_id: str, born_ms: int) -> bool:
        known = self.current
        return known is not None and (known.id, known.born_ms) == (
            instance_id,
            born_ms,
        )

    def _refresh(self) -> bool:
        """Recomputes the flags of the current record."""
        known = self.current
        if known is None:
            return False
        leaving = self._has_left(known.id, known.born_ms)
        ready = not leaving and not self.down
        if (known.leaving, known.ready) == (leaving, ready):
            return False
        self.current = msgspec.structs.replace(
            known, ready=ready, leaving=leaving
        )
        return True

    def _record(self, beat: Heartbeat) -> InstanceRecord:
        leaving = self._has_left(beat.id, beat.born_ms)
        return InstanceRecord(
            beat.id,
            beat.born_ms,
            beat.sequence,
            beat.service,
            beat.version,
            beat.slots,
            not leaving,
            leaving,
            beat.cold_s,
            beat.address,
        )


def _visible(record: InstanceRecord) -> tuple[object, ...]:
    """Returns what other nodes have to know at once."""
    return (
        record.id,
        record.born_ms,
        record.service,
        record.version,
        record.slots,
        record.ready,
        record.leaving,
        record.address,
    )
